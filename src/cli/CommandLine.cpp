#include "cli/CommandLine.h"
#include "core/base/JsonReader.h"
#include <boost/program_options.hpp>
#include <sstream>

namespace quetzallead {

namespace options = boost::program_options;

static constexpr unsigned MaxTimeoutMs = 600000;

static options::options_description describeOptions() {
  options::options_description Known("Options");
  auto Add = Known.add_options();
  Add("help,h", "print this and exit");
  Add("version", "print the version and exit");
  Add("json", "print answers as JSON");
  Add("admin", options::value<std::string>(),
      "ip:port of an instance's listener for operators (127.0.0.1:20001)");
  Add("token-file", options::value<std::string>(),
      "file that holds the operator token");
  Add("caller", options::value<std::string>(),
      "ip:port of an instance's listener for callers (127.0.0.1:20000)");
  Add("timeout-ms", options::value<unsigned>(), "limit on one call (10000)");
  Add("author", options::value<std::string>(),
      "sheet submit: who makes the change");
  Add("reason", options::value<std::string>(), "sheet submit: why");
  Add("base", options::value<std::uint64_t>(),
      "sheet submit: revision the sheet was made from (the one in force)");
  Add("id", options::value<std::string>(),
      "sheet submit: submission id, to settle an earlier one");
  Add("settle-ms", options::value<unsigned>(),
      "sheet submit: time to ask again while the outcome is unknown (60000)");
  Add("merge", options::value<std::string>(),
      "ask survey: rows, ordered or count");
  Add("order-by", options::value<std::string>(), "ask survey: field");
  Add("limit", options::value<std::uint64_t>(), "ask survey: most rows");
  Add("shard", options::value<std::vector<std::string>>(),
      "ask survey: only this shard; may be repeated");
  return Known;
}

template <typename T>
static void take(const options::variables_map &Given, const char *Name,
                 T &Value) {
  if (Given.count(Name) > 0)
    Value = Given[Name].as<T>();
}

template <typename T>
static void take(const options::variables_map &Given, const char *Name,
                 std::optional<T> &Value) {
  if (Given.count(Name) > 0)
    Value = Given[Name].as<T>();
}

static void takeMilliseconds(const options::variables_map &Given,
                             const char *Name, Duration &Value) {
  if (Given.count(Name) > 0)
    Value = absl::Milliseconds(Given[Name].as<unsigned>());
}

static CommandLine readOptions(const options::variables_map &Given) {
  CommandLine Line;
  Line.Help = Given.count("help") > 0;
  Line.Version = Given.count("version") > 0;
  Line.Json = Given.count("json") > 0;
  take(Given, "admin", Line.Admin);
  take(Given, "caller", Line.Caller);
  take(Given, "token-file", Line.TokenFile);
  takeMilliseconds(Given, "timeout-ms", Line.Timeout);
  take(Given, "author", Line.Author);
  take(Given, "reason", Line.Reason);
  take(Given, "id", Line.SubmissionId);
  take(Given, "base", Line.BaseRevision);
  takeMilliseconds(Given, "settle-ms", Line.SettleTime);
  take(Given, "merge", Line.Merge);
  take(Given, "order-by", Line.OrderBy);
  take(Given, "limit", Line.Limit);
  take(Given, "shard", Line.Shards);
  take(Given, "word", Line.Words);
  return Line;
}

static Result<options::variables_map> parseOptions(int ArgCount,
                                                   const char *const *Args) {
  options::options_description All = describeOptions();
  All.add_options()("word", options::value<std::vector<std::string>>());
  options::positional_options_description Words;
  Words.add("word", -1);
  options::variables_map Given;
  // The library reports by exceptions.
  try {
    options::store(options::command_line_parser(ArgCount, Args)
                       .options(All)
                       .positional(Words)
                       .run(),
                   Given);
  } catch (const options::error &Failure) {
    return fail(ErrorCode::InvalidArgument, Failure.what());
  }
  return Given;
}

Result<CommandLine> parseCommandLine(int ArgCount, const char *const *Args) {
  Result<options::variables_map> Given = parseOptions(ArgCount, Args);
  if (!Given)
    return Given.error();
  CommandLine Line = readOptions(Given.value());
  if (!isSocketAddress(Line.Admin))
    return fail(ErrorCode::InvalidArgument, "must be ip:port", "--admin");
  if (!isSocketAddress(Line.Caller))
    return fail(ErrorCode::InvalidArgument, "must be ip:port", "--caller");
  if (Line.Timeout <= absl::ZeroDuration() ||
      Line.Timeout > absl::Milliseconds(MaxTimeoutMs))
    return fail(ErrorCode::InvalidArgument, "must be from 1 to 600000",
                "--timeout-ms");
  if (!Line.SubmissionId.empty() && !isPlainName(Line.SubmissionId))
    return fail(ErrorCode::InvalidArgument, "is not a submission id", "--id");
  return Line;
}

std::string optionsHelp() {
  std::ostringstream Text;
  Text << describeOptions();
  return Text.str();
}

} // namespace quetzallead
