#include "runtime/Logger.h"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "runtime/LastEvent.h"
#include "runtime/LogLimiter.h"
#include <algorithm>
#include <atomic>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_feature.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/log/utility/setup/file.hpp>
#include <boost/make_shared.hpp>
#include <fcntl.h>
#include <iostream>
#include <mutex>
#include <optional>
#include <poll.h>
#include <unistd.h>

namespace quetzallead {

/// Lets the formatter print the level by its name.
static std::ostream &operator<<(std::ostream &Out, LogLevel Level) {
  return Out << nameOf(LogLevelNames, Level);
}

namespace {

namespace blog = boost::log;
namespace expr = boost::log::expressions;
namespace keywords = boost::log::keywords;

std::atomic<LogLevel> LeastLevel{LogLevel::Info};

/// Where logLastEvent() writes. Set before the first event.
struct LogTarget {
  std::string File;
  int Descriptor = STDERR_FILENO;
  std::string Instance;
};

LogTarget &logTarget() {
  static LogTarget Target;
  return Target;
}

blog::formatter lineFormatter() {
  return expr::stream << "time="
                      << expr::format_date_time<boost::posix_time::ptime>(
                             "TimeStamp", "%Y-%m-%dT%H:%M:%S.%fZ")
                      << " level=" << expr::attr<LogLevel>("Severity")
                      << " instance=" << expr::attr<std::string>("Instance")
                      << " " << expr::smessage;
}

using EventLogger = blog::sources::severity_logger_mt<LogLevel>;

EventLogger &eventLogger() {
  static EventLogger Logger;
  return Logger;
}

/// A pipe that polls as writable takes this many bytes without waiting.
constexpr std::size_t MostLineBytes = 4096;

std::mutex LimiterMutex;
/// Empty if logging is not bounded.
std::optional<LogLimiter> &limiter() {
  static std::optional<LogLimiter> Limiter;
  return Limiter;
}

/// Writes to standard output what it takes at once, and drops the rest.
class UnblockedBackend : public blog::sinks::basic_formatted_sink_backend<
                             char, blog::sinks::synchronized_feeding> {
public:
  static void consume(const blog::record_view &, const std::string &Text) {
    const std::string Line = Text.substr(0, MostLineBytes - 1) + "\n";
    pollfd Output{STDOUT_FILENO, POLLOUT, 0};
    const bool Room =
        poll(&Output, 1, 0) == 1 && (Output.revents & POLLOUT) != 0;
    if (Room && write(STDOUT_FILENO, Line.data(), Line.size()) > 0)
      return;
    std::lock_guard<std::mutex> Lock(LimiterMutex);
    if (limiter())
      limiter()->noteUnwritten(1);
  }
};

void writeLine(LogLevel Level, absl::string_view Event,
               std::initializer_list<LogField> Fields);

/// False if the event's line is over its share.
bool admitLine(absl::string_view Event) {
  std::uint64_t Dropped = 0;
  bool Admitted = true;
  {
    std::lock_guard<std::mutex> Lock(LimiterMutex);
    if (!limiter())
      return true;
    const TimePoint Now = absl::Now();
    Admitted = limiter()->admit(Event, Now);
    Dropped = limiter()->takeDropped(Now);
  }
  if (Dropped > 0)
    writeLine(LogLevel::Warning, "log_dropped", {{"lines", Dropped}});
  return Admitted;
}

bool isBareCharacter(char C) {
  return absl::ascii_isalnum(static_cast<unsigned char>(C)) ||
         absl::string_view("_-.:/+@%,").find(C) != absl::string_view::npos;
}

bool isBareWord(absl::string_view Value) {
  return !Value.empty() &&
         std::all_of(Value.begin(), Value.end(), isBareCharacter);
}

} // namespace

void initLogging(LogLevel Least, const std::string &File,
                 const std::string &Instance) {
  LeastLevel = Least;
  logTarget() = LogTarget{File, STDERR_FILENO, escapeLogValue(Instance)};
  const boost::shared_ptr<blog::core> Core = blog::core::get();
  Core->remove_all_sinks();
  Core->add_global_attribute("TimeStamp", blog::attributes::utc_clock());
  Core->add_global_attribute(
      "Instance",
      blog::attributes::constant<std::string>(escapeLogValue(Instance)));
  if (File.empty()) {
    blog::add_console_log(std::cerr, keywords::format = lineFormatter(),
                          keywords::auto_flush = true);
    return;
  }
  blog::add_file_log(
      keywords::file_name = File, keywords::open_mode = std::ios::app,
      keywords::format = lineFormatter(), keywords::auto_flush = true);
}

void initBoundedLogging(LogLevel Least, const std::string &Instance,
                        double LinesPerSecond) {
  initLogging(Least, std::string(), Instance);
  limiter().emplace(LinesPerSecond);
  logTarget().Descriptor = STDOUT_FILENO;
  const boost::shared_ptr<blog::core> Core = blog::core::get();
  Core->remove_all_sinks();
  auto Sink =
      boost::make_shared<blog::sinks::synchronous_sink<UnblockedBackend>>();
  Sink->set_formatter(lineFormatter());
  Core->add_sink(Sink);
}

void logEvent(LogLevel Level, absl::string_view Event,
              std::initializer_list<LogField> Fields) {
  if (Level < LeastLevel.load(std::memory_order_relaxed) || !admitLine(Event))
    return;
  writeLine(Level, Event, Fields);
}

namespace {

std::string eventText(absl::string_view Event,
                      std::initializer_list<LogField> Fields) {
  std::string Text = absl::StrCat("event=", escapeLogValue(Event));
  for (const LogField &Field : Fields)
    absl::StrAppend(&Text, " ", Field.Key, "=", escapeLogValue(Field.Value));
  return Text;
}

void writeLine(LogLevel Level, absl::string_view Event,
               std::initializer_list<LogField> Fields) {
  BOOST_LOG_SEV(eventLogger(), Level) << eventText(Event, Fields);
}

} // namespace

void logLastEvent(absl::string_view Event,
                  std::initializer_list<LogField> Fields) {
  const LogTarget &Target = logTarget();
  const std::string Time = absl::FormatTime("%Y-%m-%dT%H:%M:%E6SZ", absl::Now(),
                                            absl::UTCTimeZone());
  const std::string Line = absl::StrCat(
      "time=", Time, " level=", nameOf(LogLevelNames, LogLevel::Error),
      " instance=", Target.Instance, " ", eventText(Event, Fields), "\n");
  const int Opened =
      Target.File.empty()
          ? -1
          : open(Target.File.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
  const int Descriptor = Opened >= 0 ? Opened : Target.Descriptor;
  // A line that cannot be written is lost with the process.
  if (write(Descriptor, Line.data(), std::min(Line.size(), MostLineBytes)) < 0)
    return;
}

std::string escapeLogValue(absl::string_view Value) {
  if (isBareWord(Value))
    return std::string(Value);
  return absl::StrCat("\"", absl::CHexEscape(Value), "\"");
}

} // namespace quetzallead
