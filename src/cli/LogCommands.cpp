#include "cli/LogCommands.h"
#include "absl/strings/str_cat.h"
#include "cli/LogStory.h"
#include "cli/Session.h"
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>

namespace quetzallead {

static constexpr const char *StandardInput = "-";

static void readLines(std::istream &In, std::vector<LogLine> &Lines) {
  for (std::string Text; std::getline(In, Text);)
    if (std::optional<LogLine> Line = parseLogLine(Text))
      Lines.push_back(std::move(*Line));
}

/// The path of the first file that cannot be read, if any.
static std::optional<std::string>
readFiles(const std::vector<std::string> &Paths, std::vector<LogLine> &Lines) {
  for (const std::string &Path : Paths) {
    if (Path == StandardInput) {
      readLines(std::cin, Lines);
      continue;
    }
    std::ifstream File(Path);
    if (!File)
      return Path;
    readLines(File, Lines);
  }
  return std::nullopt;
}

static void printJson(Session &S, const LogStory &Story) {
  nlohmann::ordered_json Out;
  Out["dropped_lines"] = Story.Dropped;
  Out["lines"] = nlohmann::ordered_json::array();
  for (const LogLine &Line : Story.Lines) {
    nlohmann::ordered_json Item = {{"time", Line.Time},
                                   {"instance", Line.Instance},
                                   {"event", Line.Event}};
    for (const auto &[Key, Value] : Line.Fields)
      Item["fields"][Key] = Value;
    Out["lines"].push_back(std::move(Item));
  }
  // Bytes of callers need not be UTF-8.
  S.Out << Out.dump(2, ' ', true,
                    nlohmann::ordered_json::error_handler_t::replace)
        << "\n";
}

static void printText(Session &S, const LogStory &Story) {
  for (const LogLine &Line : Story.Lines)
    S.Out << Line.Time << " " << Line.Instance << " " << describeLine(Line)
          << "\n";
  if (Story.Dropped > 0)
    S.Out << Story.Dropped
          << " lines were left out around it; the story may have gaps\n";
}

static ExitCode tell(Session &S, StorySubject Subject) {
  const std::string Id = S.Arguments[0];
  std::vector<LogLine> Lines;
  const auto Unread =
      readFiles({S.Arguments.begin() + 1, S.Arguments.end()}, Lines);
  if (Unread)
    return complain(S, ExitCode::Usage,
                    absl::StrCat(*Unread, ": cannot be read"));
  const LogStory Story = tellStory(Lines, Subject, Id);
  if (Story.Own == 0)
    return complain(S, ExitCode::Refused,
                    absl::StrCat("no line of ", Lines.size(), " is about ",
                                 nameOf(StorySubjectNames, Subject), " ", Id));
  if (S.Line.Json)
    printJson(S, Story);
  else
    printText(S, Story);
  return ExitCode::Ok;
}

ExitCode explainRequestFromLogs(Session &S) {
  return tell(S, StorySubject::Request);
}
ExitCode explainServerFromLogs(Session &S) {
  return tell(S, StorySubject::Server);
}
ExitCode explainSheetFromLogs(Session &S) {
  return tell(S, StorySubject::Sheet);
}

} // namespace quetzallead
