#ifndef QUETZALLEAD_SHEETSTOREOPTIONS_H
#define QUETZALLEAD_SHEETSTOREOPTIONS_H

#include "quetzallead/Time.h"
#include <cstddef>
#include <string>

namespace quetzallead {

/// Times and bounds of a SheetStore.
struct SheetStoreOptions {
  std::string SheetKey = "quetzallead/sheet";
  /// Blocks stand under this prefix and the highest revision they hold.
  std::string AuditPrefix = "quetzallead/audit/";
  /// Entries kept in the document before the oldest go to a block.
  std::size_t MaxAuditInside = 128;
  /// Entries moved at once.
  std::size_t AuditBlockSize = 64;
  /// Largest value that is written to the store, bytes.
  std::size_t MaxDocumentBytes = 1000000;
  /// Submissions waiting at one instance.
  std::size_t MaxQueue = 32;
  /// Time after which an operator is told that the outcome is not known yet.
  Duration AnswerWithin = absl::Seconds(5);
  /// Time for which an unknown submission is settled in the background.
  Duration SettleWithin = absl::Minutes(10);
  /// Waiting time of one watch.
  Duration WatchWait = absl::Seconds(5);
  /// Pause after a failed store call; doubles up to RetryMost, with jitter.
  Duration RetryLeast = absl::Milliseconds(50);
  Duration RetryMost = absl::Seconds(2);
  /// Time for which a fresh instance lets peers speak before it accepts.
  Duration JoinWait = absl::Seconds(2);
  /// Time for which a peer's announcement of a higher revision holds up
  /// submissions.
  Duration PeerMemory = absl::Seconds(10);
  /// Time after which a peer that was asked for its document is given up.
  Duration FetchWithin = absl::Seconds(1);
};

} // namespace quetzallead

#endif // QUETZALLEAD_SHEETSTOREOPTIONS_H
