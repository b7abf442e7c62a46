#ifndef QUETZALLEAD_SHEETDELTA_H
#define QUETZALLEAD_SHEETDELTA_H

#include "quetzallead/Error.h"
#include <cstdint>
#include <string>

namespace quetzallead {

struct SheetDocument;

/// A document as one instance hands it to another: as a patch against the
/// revision that the other holds, or whole.
struct SheetDelta {
  /// Revision that the patch applies to; 0 if Body is the whole document.
  std::uint64_t FromRevision = 0;
  std::uint64_t ToRevision = 0;
  /// SHA-256 of the text of the document that results.
  std::string Digest;
  /// A JSON patch (RFC 6902), or the document's text.
  std::string Body;
};

/// The shorter of a patch from \p Held and the whole of \p Document. \p Held
/// may be null.
SheetDelta makeDelta(const SheetDocument *Held, const SheetDocument &Document);

/// The document that \p Delta results in at an instance that holds \p Held,
/// which may be null. Fails with Conflict if the patch is against another
/// revision or gives another document, and then the whole one is to be asked
/// for; with InvalidArgument if it is malformed.
Result<SheetDocument> applyDelta(const SheetDocument *Held,
                                 const SheetDelta &Delta);

} // namespace quetzallead

#endif // QUETZALLEAD_SHEETDELTA_H
