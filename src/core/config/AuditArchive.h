#ifndef QUETZALLEAD_CORE_CONFIG_AUDITARCHIVE_H
#define QUETZALLEAD_CORE_CONFIG_AUDITARCHIVE_H

#include "quetzallead/SheetEvent.h"
#include "quetzallead/WriteOutcome.h"
#include <cstddef>
#include <string>
#include <vector>

namespace quetzallead {

struct AuditEntry;
struct SheetDocument;
struct SheetStep;
struct SheetStoreState;

// Old audit entries move from the document to blocks of their own. A block is
// read and, where entries are missing, written before the document that drops
// them, so any instance may repeat any part of it.

/// If \p Document holds more entries than it may and their block does not yet
/// stand in the store, starts to make it stand and returns true.
bool startArchiving(SheetStep &Step, const SheetDocument &Document);

/// Number of leading entries of \p Document that stand in a block and may be
/// left out of the next document.
std::size_t archivedEntries(const SheetStoreState &S,
                            const SheetDocument &Document);

void blockRead(SheetStep &Step, const SheetEvent::StoreRead &Event);
void blockWritten(SheetStep &Step, WriteOutcome Outcome);

/// Entries of \p Inside, which is newer, and \p Blocks, oldest first and each
/// submission once.
std::vector<AuditEntry>
auditTrail(const std::vector<std::vector<AuditEntry>> &Blocks,
           const std::vector<AuditEntry> &Inside);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_CONFIG_AUDITARCHIVE_H
