#include "core/base/LogLine.h"
#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/strip.h"
#include <algorithm>

namespace quetzallead {

const std::string *LogLine::find(absl::string_view Key) const {
  for (const auto &[Name, Value] : Fields)
    if (Name == Key)
      return &Value;
  return nullptr;
}

/// Takes a value off the front of \p Rest; false if its quotes do not end.
static bool takeValue(absl::string_view &Rest, std::string &Value) {
  if (!absl::ConsumePrefix(&Rest, "\"")) {
    const std::size_t End = std::min(Rest.find(' '), Rest.size());
    Value = std::string(Rest.substr(0, End));
    Rest.remove_prefix(End);
    return true;
  }
  std::size_t End = 0;
  while (End < Rest.size() && Rest[End] != '"')
    End += Rest[End] == '\\' ? 2 : 1;
  if (End >= Rest.size() || !absl::CUnescape(Rest.substr(0, End), &Value))
    return false;
  Rest.remove_prefix(End + 1);
  return true;
}

std::optional<LogLine> parseLogLine(absl::string_view Text) {
  const std::size_t Begin = Text.find("time=");
  if (Begin == absl::string_view::npos)
    return std::nullopt;
  LogLine Line;
  absl::string_view Rest = absl::StripTrailingAsciiWhitespace(Text);
  Rest.remove_prefix(std::min(Begin, Rest.size()));
  while (!Rest.empty()) {
    const std::size_t Equals = Rest.find('=');
    if (Equals == absl::string_view::npos)
      return std::nullopt;
    const std::string Key(Rest.substr(0, Equals));
    Rest.remove_prefix(Equals + 1);
    std::string Value;
    if (!takeValue(Rest, Value))
      return std::nullopt;
    Rest = absl::StripLeadingAsciiWhitespace(Rest);
    if (Key == "time")
      Line.Time = std::move(Value);
    else if (Key == "instance")
      Line.Instance = std::move(Value);
    else if (Key == "event")
      Line.Event = std::move(Value);
    else if (Key != "level")
      Line.Fields.emplace_back(Key, std::move(Value));
  }
  if (Line.Time.empty() || Line.Event.empty())
    return std::nullopt;
  return Line;
}

} // namespace quetzallead
