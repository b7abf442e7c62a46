#ifndef QUETZALLEAD_CORE_HTTP_RESPONSEHEAD_H
#define QUETZALLEAD_CORE_HTTP_RESPONSEHEAD_H

#include "absl/strings/string_view.h"
#include "core/http/ResponseDefect.h"
#include <cstddef>
#include <cstdint>
#include <optional>

namespace quetzallead {

/// The head of a response as far as it decides whether the response counts, by
/// RFC 9110 and RFC 9112. All readers of responses use it: what their libraries
/// accept differs, and is more.
struct ResponseHead {
  /// The request has asked for another protocol; set before the first line.
  bool MayUpgrade = false;
  /// The first defect found.
  ResponseDefect Defect = ResponseDefect::None;
  /// 0 until the status line has been read.
  unsigned Status = 0;
  /// Of an HTTP/1 version.
  unsigned MinorVersion = 0;
  bool Chunked = false;
  std::optional<std::uint64_t> ContentLength;
  /// The empty line at the end has been read.
  bool Complete = false;
};

/// Adds the next line, up to its line feed, to a head that is neither complete
/// nor defective.
void addHeadLine(ResponseHead &Head, absl::string_view Line);

/// Adds the complete lines that \p Bytes begin with, up to the end of the head
/// or a defect, and returns their size.
std::size_t addHeadLines(ResponseHead &Head, absl::string_view Bytes);

/// True for a response that another one to the same request follows.
inline bool isInterim(const ResponseHead &Head) {
  return Head.Status >= 100 && Head.Status < 200;
}

struct FieldLine {
  absl::string_view Name;
  /// Without the white space around it.
  absl::string_view Value;
};

/// Splits a line of a head or a trailer, with or without its CR LF.
FieldLine splitFieldLine(absl::string_view Line);

/// The defect of a field line alone, whatever the field means.
ResponseDefect checkFieldLine(absl::string_view Line);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_HTTP_RESPONSEHEAD_H
