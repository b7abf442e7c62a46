#include "core/relay/InstanceRecord.h"
#include <nlohmann/json.hpp>

namespace quetzallead {

using nlohmann::json;

std::string encodeInstanceRecord(const InstanceRecord &Record) {
  return json{{"name", Record.Name},
              {"zone", Record.Zone},
              {"link", Record.LinkAddress},
              {"weight", Record.Weight}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<InstanceRecord> decodeInstanceRecord(absl::string_view Text) {
  const json Document = json::parse(Text.begin(), Text.end(), nullptr,
                                    /*allow_exceptions=*/false);
  auto HasString = [&](const char *Key) {
    return Document.contains(Key) && Document[Key].is_string();
  };
  const bool Complete = Document.is_object() && HasString("name") &&
                        HasString("zone") && HasString("link") &&
                        Document.contains("weight") &&
                        Document["weight"].is_number();
  if (!Complete)
    return fail(ErrorCode::InvalidArgument, "not an instance record");
  InstanceRecord Out;
  Out.Name = Document["name"].get<std::string>();
  Out.Zone = Document["zone"].get<std::string>();
  Out.LinkAddress = Document["link"].get<std::string>();
  Out.Weight = Document["weight"].get<double>();
  return Out;
}

} // namespace quetzallead
