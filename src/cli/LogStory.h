#ifndef QUETZALLEAD_CLI_LOGSTORY_H
#define QUETZALLEAD_CLI_LOGSTORY_H

#include "core/base/LogLine.h"
#include "quetzallead/NameTable.h"
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace quetzallead {

/// What the story of a log is about.
enum class StorySubject { Request, Server, Sheet };

inline constexpr NamedValue<StorySubject> StorySubjectNames[] = {
    {StorySubject::Request, "request"},
    {StorySubject::Server, "server"},
    {StorySubject::Sheet, "sheet"},
};

/// The lines that tell what became of a request, a backend server or a version
/// of the sheet, in the order of time.
struct LogStory {
  std::vector<LogLine> Lines;
  /// Lines about the subject itself; the others are what the instances that it
  /// met believed by then.
  std::size_t Own = 0;
  /// Lines that those instances left out around it.
  std::uint64_t Dropped = 0;
};

/// Tells the story of \p Id from \p Lines of any number of instances, in any
/// order.
LogStory tellStory(const std::vector<LogLine> &Lines, StorySubject Subject,
                   const std::string &Id);

/// What \p Line says, in plain words and with its figures.
std::string describeLine(const LogLine &Line);

} // namespace quetzallead

#endif // QUETZALLEAD_CLI_LOGSTORY_H
