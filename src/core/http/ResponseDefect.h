#ifndef QUETZALLEAD_CORE_HTTP_RESPONSEDEFECT_H
#define QUETZALLEAD_CORE_HTTP_RESPONSEDEFECT_H

#include "quetzallead/NameTable.h"

namespace quetzallead {

/// Why what a server sent does not count as a response.
enum class ResponseDefect {
  None,
  StatusLine,       ///< Not an HTTP/1.x status line.
  StatusCode,       ///< Outside 100 to 599.
  Upgrade,          ///< To a protocol that the request did not ask for.
  FieldName,        ///< Not a token followed by a colon.
  FieldValue,       ///< Holds a control byte, or is folded.
  ContentLength,    ///< Not a number, or several.
  TransferCoding,   ///< Not chunked alone, or where it must not be.
  ContentCoding,    ///< The body is not the one that was asked for.
  Framing,          ///< Chunks or trailer fields cannot be parsed.
  TooLarge,         ///< A head, a body or the framing exceeds its limit.
  InterimResponses, ///< More of them than a head may have bytes.
  OtherRequest,     ///< The response names another request.
  Unstamped,        ///< A success without the server's stamp.
};

inline constexpr NamedValue<ResponseDefect> ResponseDefectNames[] = {
    {ResponseDefect::None, "none"},
    {ResponseDefect::StatusLine, "status_line"},
    {ResponseDefect::StatusCode, "status_code"},
    {ResponseDefect::Upgrade, "upgrade"},
    {ResponseDefect::FieldName, "field_name"},
    {ResponseDefect::FieldValue, "field_value"},
    {ResponseDefect::ContentLength, "content_length"},
    {ResponseDefect::TransferCoding, "transfer_coding"},
    {ResponseDefect::ContentCoding, "content_coding"},
    {ResponseDefect::Framing, "framing"},
    {ResponseDefect::TooLarge, "too_large"},
    {ResponseDefect::InterimResponses, "interim_responses"},
    {ResponseDefect::OtherRequest, "other_request"},
    {ResponseDefect::Unstamped, "unstamped"},
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_HTTP_RESPONSEDEFECT_H
