#include "runtime/Logger.h"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include <algorithm>
#include <atomic>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_feature.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/log/utility/setup/file.hpp>
#include <iostream>

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

void logEvent(LogLevel Level, absl::string_view Event,
              std::initializer_list<LogField> Fields) {
  if (Level < LeastLevel.load(std::memory_order_relaxed))
    return;
  std::string Line = absl::StrCat("event=", escapeLogValue(Event));
  for (const LogField &Field : Fields)
    absl::StrAppend(&Line, " ", Field.Key, "=", escapeLogValue(Field.Value));
  BOOST_LOG_SEV(eventLogger(), Level) << Line;
}

std::string escapeLogValue(absl::string_view Value) {
  if (isBareWord(Value))
    return std::string(Value);
  return absl::StrCat("\"", absl::CHexEscape(Value), "\"");
}

} // namespace quetzallead
