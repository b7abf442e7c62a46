#ifndef QUETZALLEAD_CORE_CONFIG_SHEETADOPTION_H
#define QUETZALLEAD_CORE_CONFIG_SHEETADOPTION_H

#include <cstdint>
#include <memory>
#include <string>

namespace quetzallead {

struct SheetDocument;
struct SheetStep;

// Which document governs this instance, and whether the store has it.

/// Takes \p Document into force if it comes after the one in force. Entries of
/// the one that gives way are kept if the other lacks them.
void adoptDocument(SheetStep &Step,
                   const std::shared_ptr<const SheetDocument> &Document);

/// Compares the document in force with the store's, null if the key does not
/// exist, after it was offered to adoptDocument(). If the store is behind or
/// lacks entries, starts to write and returns true.
bool writeBack(SheetStep &Step,
               const std::shared_ptr<const SheetDocument> &Stored,
               std::uint64_t Index);

/// Notes whether the store seems to hold another document than the one in
/// force. An answer that was overtaken may say so wrongly; writeBack() then
/// finds the key moved.
void compareWithStore(SheetStep &Step,
                      const std::shared_ptr<const SheetDocument> &Stored);

/// Takes in that a peer holds \p Revision; asks it for a higher one.
void peerAnnounced(SheetStep &Step, const std::string &Peer,
                   std::uint64_t Revision);

/// True while peers may yet tell of a revision above \p Revision, the store's.
bool mustHearPeers(const SheetStep &Step, std::uint64_t Revision);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_CONFIG_SHEETADOPTION_H
