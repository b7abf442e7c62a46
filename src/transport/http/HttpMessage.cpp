#include "transport/http/HttpMessage.h"
#include "absl/strings/match.h"

namespace quetzallead {

const std::string *HttpFields::find(absl::string_view Name) const {
  for (const HttpField &Field : Fields)
    if (absl::EqualsIgnoreCase(Field.Name, Name))
      return &Field.Value;
  return nullptr;
}

} // namespace quetzallead
