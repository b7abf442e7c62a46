#include "core/base/Cbor.h"

#include <nlohmann/json.hpp>

namespace quetzallead {
namespace {

using nlohmann::json;

/// Accepts whatever stays within the limits on depth and stated lengths.
class LimitChecker : public nlohmann::json_sax<json> {
public:
  explicit LimitChecker(std::size_t InputBytes) : MaxElements(InputBytes) {}

  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t &) override { return true; }
  bool string(string_t &) override { return true; }
  bool binary(binary_t &) override { return true; }
  bool key(string_t &) override { return true; }
  bool start_object(std::size_t Elements) override { return enter(Elements); }
  bool end_object() override { return leave(); }
  bool start_array(std::size_t Elements) override { return enter(Elements); }
  bool end_array() override { return leave(); }
  bool parse_error(std::size_t, const std::string &,
                   const nlohmann::detail::exception &) override {
    return false;
  }

private:
  /// The parser's mark of a container that states no length.
  static constexpr std::size_t NoLength = static_cast<std::size_t>(-1);

  bool enter(std::size_t Elements) {
    ++Depth;
    // Each element takes at least one byte.
    return Depth <= MaxCborDepth &&
           (Elements == NoLength || Elements <= MaxElements);
  }
  bool leave() {
    --Depth;
    return true;
  }

  std::size_t MaxElements;
  std::size_t Depth = 0;
};

} // namespace

json parseCbor(absl::string_view Bytes) {
  LimitChecker Checker(Bytes.size());
  if (!json::sax_parse(Bytes.begin(), Bytes.end(), &Checker,
                       json::input_format_t::cbor))
    return json(json::value_t::discarded);
  return json::from_cbor(Bytes.begin(), Bytes.end(), true, false);
}

std::string cborOf(const json &Value) {
  std::string Bytes;
  json::to_cbor(Value, Bytes);
  return Bytes;
}

} // namespace quetzallead
