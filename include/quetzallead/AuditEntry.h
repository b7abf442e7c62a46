#ifndef QUETZALLEAD_AUDITENTRY_H
#define QUETZALLEAD_AUDITENTRY_H

#include "quetzallead/Time.h"
#include <cstdint>
#include <string>
#include <vector>

namespace quetzallead {

/// One accepted change of the sheet: who changed what, when and why.
struct AuditEntry {
  /// The revision that the change made.
  std::uint64_t Revision = 0;
  /// The revision that it started from.
  std::uint64_t BaseRevision = 0;
  /// Identifies the submission; no two entries share one.
  std::string SubmissionId;
  std::string Author;
  std::string Reason;
  TimePoint Time;
  /// Digest of the sheet that came into force.
  std::string Digest;
  /// Number of changes against the base.
  std::uint64_t ChangeCount = 0;
  /// The first of these changes, one line each.
  std::vector<std::string> Changes;
  /// SHA-256 over this entry and the History of the one before it. Equal
  /// values mean equal histories.
  std::string History;
  /// True if the change was accepted by a store that had lost later revisions
  /// and gave way to them.
  bool Superseded = false;

  friend bool operator==(const AuditEntry &A, const AuditEntry &B) {
    return A.Revision == B.Revision && A.BaseRevision == B.BaseRevision &&
           A.SubmissionId == B.SubmissionId && A.Author == B.Author &&
           A.Reason == B.Reason && A.Time == B.Time && A.Digest == B.Digest &&
           A.ChangeCount == B.ChangeCount && A.Changes == B.Changes &&
           A.History == B.History && A.Superseded == B.Superseded;
  }
};

} // namespace quetzallead

#endif // QUETZALLEAD_AUDITENTRY_H
