#ifndef QUETZALLEAD_RUNTIME_LOGGER_H
#define QUETZALLEAD_RUNTIME_LOGGER_H

#include "absl/strings/string_view.h"
#include "quetzallead/NameTable.h"
#include <initializer_list>
#include <string>

namespace quetzallead {

enum class LogLevel { Debug, Info, Warning, Error };

inline constexpr NamedValue<LogLevel> LogLevelNames[] = {
    {LogLevel::Debug, "debug"},
    {LogLevel::Info, "info"},
    {LogLevel::Warning, "warning"},
    {LogLevel::Error, "error"},
};

/// One key=value pair of a log line.
struct LogField {
  LogField(absl::string_view FieldKey, absl::string_view FieldValue)
      : Key(FieldKey), Value(FieldValue) {}
  LogField(absl::string_view FieldKey, const char *FieldValue)
      : Key(FieldKey), Value(FieldValue) {}
  LogField(absl::string_view FieldKey, const std::string &FieldValue)
      : Key(FieldKey), Value(FieldValue) {}
  template <typename Number>
  LogField(absl::string_view FieldKey, Number FieldValue)
      : Key(FieldKey), Value(std::to_string(FieldValue)) {}

  std::string Key;
  std::string Value;
};

/// Sends log lines to \p File, or to standard error if it is empty. Call once,
/// before the first event.
void initLogging(LogLevel Least, const std::string &File,
                 const std::string &Instance);

/// Sends log lines to standard output without ever waiting for its reader, at
/// most \p LinesPerSecond of each event. Lines that find no room are counted,
/// and their number is told by an event "log_dropped". Call once, before the
/// first event.
void initBoundedLogging(LogLevel Least, const std::string &Instance,
                        double LinesPerSecond);

/// Writes one line: time, level, instance, event=NAME and the fields, as
/// key=value pairs. Values are quoted and escaped, so that no input can forge
/// a line. Thread-safe.
void logEvent(LogLevel Level, absl::string_view Event,
              std::initializer_list<LogField> Fields = {});

/// \p Value as it stands in a log line: bare if it is a plain word, otherwise
/// in quotes with backslash escapes.
std::string escapeLogValue(absl::string_view Value);

} // namespace quetzallead

#endif // QUETZALLEAD_RUNTIME_LOGGER_H
