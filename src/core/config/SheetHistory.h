#ifndef QUETZALLEAD_CORE_CONFIG_SHEETHISTORY_H
#define QUETZALLEAD_CORE_CONFIG_SHEETHISTORY_H

#include "quetzallead/Time.h"
#include <cstddef>
#include <string>
#include <vector>

namespace quetzallead {

struct AuditEntry;
struct SheetDocument;
struct Submission;

/// The entry of the submission \p Id in \p Document; null if it has none.
const AuditEntry *findEntry(const SheetDocument &Document,
                            const std::string &Id);

/// Entries of \p Loser that \p Winner has neither inside nor in its blocks;
/// empty unless their histories diverged.
std::vector<AuditEntry> entriesMissingFrom(const SheetDocument &Winner,
                                           const SheetDocument &Loser);

/// The document that accepting \p What makes of \p Base. The first \p Archived
/// entries of the audit are left out.
SheetDocument nextDocument(const SheetDocument &Base, const Submission &What,
                           std::size_t Archived, TimePoint Now);

/// The document that records \p Orphans, entries of a diverged history, as
/// superseded by \p Winner, whose sheet stays in force under a new revision.
SheetDocument joinHistories(const SheetDocument &Winner,
                            const std::vector<AuditEntry> &Orphans,
                            TimePoint Now);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_CONFIG_SHEETHISTORY_H
