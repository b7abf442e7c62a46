#ifndef QUETZALLEAD_TOOLS_FAKES_JOURNAL_H
#define QUETZALLEAD_TOOLS_FAKES_JOURNAL_H

#include "absl/strings/string_view.h"
#include "fakes/JournalEntry.h"
#include <cstddef>
#include <deque>
#include <memory>

namespace quetzallead {

/// The attempts that the servers of one process received, oldest first.
class Journal {
public:
  /// Keeps the latest \p MaxEntries.
  explicit Journal(std::size_t MaxEntries) : Limit(MaxEntries) {}

  /// Adds an entry, which its server goes on filling in.
  std::shared_ptr<JournalEntry> add(JournalEntry Entry);
  void clear();
  /// Entries of \p Server, or of all servers if it is empty:
  /// `{"dropped": N, "entries": [...]}`.
  nlohmann::json toJson(absl::string_view Server) const;

private:
  const std::size_t Limit;
  std::uint64_t NextSequence = 1;
  /// Entries lost to the limit since the last clear().
  std::uint64_t Dropped = 0;
  std::deque<std::shared_ptr<JournalEntry>> Entries;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TOOLS_FAKES_JOURNAL_H
