#ifndef QUETZALLEAD_CORE_CONFIG_SHEETSTORESTATE_H
#define QUETZALLEAD_CORE_CONFIG_SHEETSTORESTATE_H

#include "core/config/PendingSubmission.h"
#include "quetzallead/SheetDocument.h"
#include "quetzallead/SheetStoreOptions.h"
#include "quetzallead/Time.h"
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace quetzallead {

/// What the one outstanding call to the store, besides the watch, is for.
enum class StoreCall {
  None,
  ReadDocument,
  WriteSubmission,
  WriteBack,
  ReadBlock,
  WriteBlock,
};

/// What a SheetStore knows. The functions of this folder work on it.
struct SheetStoreState {
  SheetStoreOptions Options;
  std::minstd_rand Random;
  std::optional<TimePoint> StartedAt;

  /// The document in force.
  std::shared_ptr<const SheetDocument> Held;
  /// Entries of diverged histories that the document in force lacks.
  std::vector<AuditEntry> Orphans;
  /// The store was last seen with another document or none.
  bool StoreBehind = false;
  /// The first is the one being worked on.
  std::deque<PendingSubmission> Queue;

  StoreCall Current = StoreCall::None;
  std::uint64_t CurrentCall = 0;
  std::uint64_t LastCall = 0;
  /// Number of store calls in a row that did not help, and when the next is
  /// due.
  int Failures = 0;
  TimePoint RetryAt = absl::InfinitePast();
  /// What the current write of a document carries.
  std::shared_ptr<const SheetDocument> Written;

  /// The entries that go to a block next, and its key.
  std::vector<AuditEntry> BlockEntries;
  std::string BlockKey;
  /// True once the store holds all of BlockEntries under BlockKey.
  bool BlockConfirmed = false;
  /// True if the key holds something unreadable, which is left alone.
  bool BlockUnusable = false;

  bool OnDuty = false;
  std::uint64_t WatchCall = 0;
  std::uint64_t WatchIndex = 0;
  int WatchFailures = 0;
  TimePoint WatchAt = absl::InfinitePast();

  /// The last value of the store that was parsed, and what it was.
  std::string ParsedValue;
  std::shared_ptr<const SheetDocument> Parsed;

  bool HeardPeers = false;
  /// The highest revision a peer announced, and until when it counts.
  std::uint64_t PeerRevision = 0;
  TimePoint PeerRevisionUntil = absl::InfinitePast();
  TimePoint FetchUntil = absl::InfinitePast();
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_CONFIG_SHEETSTORESTATE_H
