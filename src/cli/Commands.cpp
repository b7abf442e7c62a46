#include "cli/Commands.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "cli/AskCommands.h"
#include "cli/LogCommands.h"
#include "cli/OperatorCommands.h"
#include "cli/Session.h"
#include "cli/SheetCommands.h"
#include "core/base/NearestName.h"
#include "runtime/Version.h"
#include <algorithm>
#include <iomanip>
#include <ostream>

namespace quetzallead {

namespace {

/// One command of the tool.
struct Command {
  /// Its words, separated by a blank.
  const char *Name;
  const char *Arguments;
  std::size_t LeastArguments;
  std::size_t MostArguments;
  ExitCode (*Run)(Session &);
  const char *Summary;
};

} // namespace

/// Log files of one command: those of a large fleet.
static constexpr std::size_t MostLogs = 2000;

static constexpr Command Commands[] = {
    {"sheet check", "FILE", 1, 1, sheetCheck, "check a sheet"},
    {"sheet diff", "[FILE] FILE", 1, 2, sheetDiff,
     "changes between two sheets, or from the one in force"},
    {"sheet submit", "FILE", 1, 1, sheetSubmit, "put a sheet in force"},
    {"sheet status", "", 0, 0, showSheetStatus,
     "revisions in force per availability zone"},
    {"sheet history", "", 0, 0, showAudit, "accepted changes, newest first"},
    {"sheet show", "", 0, 0, showSheet, "the sheet in force"},
    {"status", "", 0, 0, showStatus, "state of the instance"},
    {"instances", "", 0, 0, showInstances, "instances and their states"},
    {"services", "", 0, 0, showServices, "services and their shards"},
    {"servers", "", 0, 0, showServers,
     "backend servers and what the instance believes of them"},
    {"drain", "", 0, 0, drainInstance, "stop the instance gracefully"},
    {"explain request", "REQUEST-ID LOG...", 2, MostLogs,
     explainRequestFromLogs,
     "what became of a request, from log files (- is standard input)"},
    {"explain server", "SERVER-ID LOG...", 2, MostLogs, explainServerFromLogs,
     "what was believed of a backend server, from log files"},
    {"explain sheet", "VERSION LOG...", 2, MostLogs, explainSheetFromLogs,
     "where a version of the sheet was taken, from log files"},
    {"explain", "REQUEST-ID", 1, 1, explainRequest,
     "what was tried for a request, where and why"},
    {"audit", "", 0, 0, showAudit, "who changed what, when and why"},
    {"ask survey", "SERVICE [QUERY]", 1, 2, askSurvey, "survey shards"},
    {"ask lookup", "SERVICE KEY [QUERY]", 2, 3, askLookup, "look a key up"},
    {"ask command", "SERVICE KEY COMMAND", 3, 3, askCommand,
     "run a command at most once"},
};

static void printHelp(std::ostream &Out) {
  Out << "Usage: quetzallead [OPTIONS] COMMAND [ARGUMENTS]\n\nCommands:\n";
  constexpr int NameWidth = 36;
  for (const Command &Known : Commands) {
    std::string Usage = std::string(Known.Name) + " " + Known.Arguments;
    Out << "  " << std::left << std::setw(NameWidth) << Usage << Known.Summary
        << "\n";
  }
  Out << "\n" << optionsHelp();
  Out << "\nExit codes: 0 done, 1 refused, 2 wrong usage, 3 unreachable, "
         "4 conflict, 5 unknown.\n";
}

/// Number of words of \p Known if \p Words begin with them, else 0.
static std::size_t matchedWords(const Command &Known,
                                const std::vector<std::string> &Words) {
  std::vector<std::string> Name = absl::StrSplit(Known.Name, ' ');
  if (Words.size() < Name.size() ||
      !std::equal(Name.begin(), Name.end(), Words.begin()))
    return 0;
  return Name.size();
}

static std::string unknownCommand(const std::vector<std::string> &Words) {
  if (Words.empty())
    return "no command given; see --help";
  std::vector<std::string> Names;
  for (const Command &Known : Commands)
    Names.emplace_back(Known.Name);
  std::size_t Count = std::min<std::size_t>(2, Words.size());
  std::string Given = absl::StrJoin(
      Words.begin(), Words.begin() + static_cast<std::ptrdiff_t>(Count), " ");
  std::string Nearest = nearestName(Given, Names);
  if (Nearest.empty())
    return "no such command: " + Given + "; see --help";
  return "no such command: " + Given + "; did you mean \"" + Nearest + "\"?";
}

static ExitCode runCommand(const CommandLine &Line, Session &S) {
  for (const Command &Known : Commands) {
    std::size_t Matched = matchedWords(Known, Line.Words);
    if (Matched == 0)
      continue;
    S.Arguments.assign(Line.Words.begin() +
                           static_cast<std::ptrdiff_t>(Matched),
                       Line.Words.end());
    if (S.Arguments.size() < Known.LeastArguments ||
        S.Arguments.size() > Known.MostArguments)
      return complain(S, ExitCode::Usage,
                      std::string("usage: quetzallead ") + Known.Name + " " +
                          Known.Arguments);
    return Known.Run(S);
  }
  return complain(S, ExitCode::Usage, unknownCommand(Line.Words));
}

ExitCode runTool(int ArgCount, const char *const *Args, HttpClient &Client,
                 std::ostream &Out, std::ostream &Err,
                 const std::function<void(Duration)> &Pause) {
  auto Parsed = capture([&] { return parseCommandLine(ArgCount, Args); });
  if (const auto *Failure = std::get_if<Error>(&Parsed)) {
    Err << "quetzallead: " << Failure->text() << "\n";
    return ExitCode::Usage;
  }
  const auto &Line = std::get<CommandLine>(Parsed);
  if (Line.Help) {
    printHelp(Out);
    return ExitCode::Ok;
  }
  if (Line.Version) {
    Out << "quetzallead " << Version << "\n";
    return ExitCode::Ok;
  }
  Session S{Line, {}, Client, Out, Err, Pause};
  return runCommand(Line, S);
}

} // namespace quetzallead
