#ifndef QUETZALLEAD_CORE_BASE_LOGLINE_H
#define QUETZALLEAD_CORE_BASE_LOGLINE_H

#include "absl/strings/string_view.h"
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace quetzallead {

/// One line of a daemon's log: "time=T level=L instance=I event=E" and further
/// key=value pairs.
struct LogLine {
  /// As in the line; sorts as the times do.
  std::string Time;
  std::string Instance;
  std::string Event;
  /// All other pairs in their order, unescaped.
  std::vector<std::pair<std::string, std::string>> Fields;

  /// Null if the line has no such field.
  const std::string *find(absl::string_view Key) const;
};

/// Reads a line; what stands before "time=", such as the prefix of a collector
/// of logs, is passed over. Nothing if it is no line of a daemon.
std::optional<LogLine> parseLogLine(absl::string_view Text);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_BASE_LOGLINE_H
