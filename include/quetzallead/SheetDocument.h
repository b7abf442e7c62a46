#ifndef QUETZALLEAD_SHEETDOCUMENT_H
#define QUETZALLEAD_SHEETDOCUMENT_H

#include "quetzallead/AuditEntry.h"
#include "quetzallead/Sheet.h"
#include <cstdint>
#include <string>
#include <vector>

namespace quetzallead {

/// The one value of the store that holds the accepted sheet together with its
/// recent audit entries, so that one compare-and-swap accepts a change and
/// records it. The last entry of Audit is the one that made Revision.
struct SheetDocument {
  /// Grows by one with each accepted change; 0 before the first.
  std::uint64_t Revision = 0;
  /// sheetDigest() of Content.
  std::string Digest;
  Sheet Content;
  /// Oldest first.
  std::vector<AuditEntry> Audit;
  /// Highest revision whose entry was moved from Audit to a block; 0 if none.
  std::uint64_t ArchivedThrough = 0;

  /// Tells this revision from one of the same number in a diverged history;
  /// empty for an empty document.
  const std::string &history() const {
    static const std::string None;
    return Audit.empty() ? None : Audit.back().History;
  }
};

/// True if \p A and \p B are the same revision of the same history.
inline bool sameRevision(const SheetDocument &A, const SheetDocument &B) {
  return A.Revision == B.Revision && A.history() == B.history();
}

/// The order in which documents give way to each other: by revision, and among
/// diverged histories of equal revision by their digests.
inline bool comesAfter(const SheetDocument &A, const SheetDocument &B) {
  if (A.Revision != B.Revision)
    return A.Revision > B.Revision;
  return A.history() > B.history();
}

} // namespace quetzallead

#endif // QUETZALLEAD_SHEETDOCUMENT_H
