#ifndef QUETZALLEAD_TOOLS_FAKES_JOURNALENTRY_H
#define QUETZALLEAD_TOOLS_FAKES_JOURNALENTRY_H

#include "quetzallead/Time.h"
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace quetzallead {

/// What a fake backend server noted of one attempt that it read whole.
struct JournalEntry {
  std::uint64_t Sequence = 0;
  /// The tier's identifier of the attempt.
  std::string Id;
  std::string Server;
  std::string Service;
  std::string Shard;
  /// True for a command, false for a query.
  bool Command = false;
  std::string Key;
  /// Content of a command.
  nlohmann::json Content;
  std::uint64_t Epoch = 0;
  std::uint64_t Version = 0;
  /// True once it held a slot.
  bool Begun = false;
  /// True once its effect took place.
  bool Executed = false;
  bool Cancelled = false;
  /// Status of the reply; 0 if none was sent.
  int Status = 0;
  TimePoint ReceivedAt = absl::InfinitePast();
  TimePoint BegunAt = absl::InfinitePast();
  TimePoint FinishedAt = absl::InfinitePast();
};

/// The JSON form of \p Entry; times are milliseconds since the Unix epoch.
nlohmann::json toJson(const JournalEntry &Entry);

} // namespace quetzallead

#endif // QUETZALLEAD_TOOLS_FAKES_JOURNALENTRY_H
