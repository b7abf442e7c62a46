#include "core/base/JsonText.h"
#include "absl/strings/str_cat.h"
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace quetzallead {

using nlohmann::json;

namespace {

/// Checks limits and repeated keys without building a document.
class JsonScanner : public nlohmann::json_sax<json> {
public:
  explicit JsonScanner(const JsonLimits &ScanLimits) : Limits(ScanLimits) {}

  const Error &error() const { return Problem; }

  bool null() override { return count(); }
  bool boolean(bool) override { return count(); }
  bool number_integer(number_integer_t) override { return count(); }
  bool number_unsigned(number_unsigned_t) override { return count(); }
  bool number_float(number_float_t, const string_t &) override {
    return count();
  }
  bool string(string_t &) override { return count(); }
  bool binary(binary_t &) override { return count(); }
  bool start_object(std::size_t) override { return open(); }
  bool end_object() override { return close(); }
  bool start_array(std::size_t) override { return open(); }
  bool end_array() override { return close(); }

  bool key(string_t &Name) override {
    if (Open.back().insert(Name).second)
      return true;
    return refuse("this key stands twice in one object", Name);
  }

  bool parse_error(std::size_t, const std::string &,
                   const nlohmann::detail::exception &Failure) override {
    std::string What = Failure.what();
    std::size_t PrefixEnd = What.find("] ");
    if (PrefixEnd != std::string::npos)
      What.erase(0, PrefixEnd + 2);
    return refuse(What, std::string());
  }

private:
  bool refuse(std::string Message, std::string Where) {
    Problem =
        Error{ErrorCode::InvalidArgument, std::move(Message), std::move(Where)};
    return false;
  }

  bool count() {
    if (++Values <= Limits.MaxValues)
      return true;
    return refuse(absl::StrCat("more than ", Limits.MaxValues, " values"),
                  std::string());
  }

  bool open() {
    Open.emplace_back();
    if (Open.size() <= Limits.MaxDepth)
      return count();
    return refuse(absl::StrCat("nested deeper than ", Limits.MaxDepth),
                  std::string());
  }

  bool close() {
    Open.pop_back();
    return true;
  }

  JsonLimits Limits;
  std::size_t Values = 0;
  /// Keys seen so far in each open object or array.
  std::vector<std::set<std::string>> Open;
  Error Problem;
};

} // namespace

Result<json> parseJsonText(absl::string_view Text, const JsonLimits &Limits) {
  if (Text.size() > Limits.MaxBytes)
    return fail(ErrorCode::InvalidArgument,
                absl::StrCat("longer than ", Limits.MaxBytes, " bytes"));
  JsonScanner Scanner(Limits);
  bool Strict = true;
  bool IgnoreComments = true;
  if (!json::sax_parse(Text.begin(), Text.end(), &Scanner,
                       json::input_format_t::json, Strict, IgnoreComments))
    return leaf::new_error(Scanner.error());
  bool AllowExceptions = false;
  json Parsed = json::parse(Text.begin(), Text.end(), nullptr, AllowExceptions,
                            IgnoreComments);
  if (Parsed.is_discarded())
    return fail(ErrorCode::InvalidArgument, "malformed JSON");
  return Parsed;
}

bool nestsWithin(absl::string_view Text, std::size_t MaxDepth) {
  std::size_t Depth = 0;
  bool InString = false;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    char C = Text[Index];
    if (InString) {
      if (C == '\\')
        ++Index;
      InString = C != '"';
      continue;
    }
    InString = C == '"';
    if ((C == '[' || C == '{') && ++Depth > MaxDepth)
      return false;
    if ((C == ']' || C == '}') && Depth > 0)
      --Depth;
  }
  return true;
}

} // namespace quetzallead
