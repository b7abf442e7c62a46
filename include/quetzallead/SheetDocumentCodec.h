#ifndef QUETZALLEAD_SHEETDOCUMENTCODEC_H
#define QUETZALLEAD_SHEETDOCUMENTCODEC_H

#include "absl/strings/string_view.h"
#include "quetzallead/Error.h"
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace quetzallead {

struct AuditEntry;
struct SheetDocument;

/// Reads a document as formatDocument() writes it, and checks it: every key,
/// the sheet's own rules, its digest, and that the last entry made the
/// revision. Fails with InvalidArgument.
Result<SheetDocument> parseDocument(absl::string_view Text);

/// As parseDocument(), from parsed JSON.
Result<SheetDocument> documentFromJson(const nlohmann::json &Json);

nlohmann::json documentToJson(const SheetDocument &Document);

/// The text that stands in the store.
std::string formatDocument(const SheetDocument &Document);

/// A block of audit entries, as it stands under its own key.
std::string formatAuditBlock(const std::vector<AuditEntry> &Entries);
Result<std::vector<AuditEntry>> parseAuditBlock(absl::string_view Text);

/// One entry as it stands in documents, blocks and operators' answers.
nlohmann::json auditEntryToJson(const AuditEntry &Entry);

} // namespace quetzallead

#endif // QUETZALLEAD_SHEETDOCUMENTCODEC_H
