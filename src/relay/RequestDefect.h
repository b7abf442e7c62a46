#ifndef QUETZALLEAD_RELAY_REQUESTDEFECT_H
#define QUETZALLEAD_RELAY_REQUESTDEFECT_H

#include "quetzallead/NameTable.h"

namespace quetzallead {

/// Why a request is refused before it has been read to its end.
enum class RequestDefect {
  Malformed,
  HeadTooLarge, ///< Also a trailer, an extension or a single field.
  BodyTooLarge,
  Incomplete, ///< The rest has not come in time.
  NoMemory,   ///< Memory is too short to read on.
};

inline constexpr NamedValue<RequestDefect> RequestDefectNames[] = {
    {RequestDefect::Malformed, "malformed"},
    {RequestDefect::HeadTooLarge, "head_too_large"},
    {RequestDefect::BodyTooLarge, "body_too_large"},
    {RequestDefect::Incomplete, "incomplete"},
    {RequestDefect::NoMemory, "no_memory"},
};

/// The status of the response to a request with \p Defect.
unsigned statusOf(RequestDefect Defect);

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_REQUESTDEFECT_H
