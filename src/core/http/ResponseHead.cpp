#include "core/http/ResponseHead.h"
#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include <algorithm>

namespace quetzallead {

static constexpr absl::string_view LineEnd = "\r\n";
static constexpr absl::string_view VersionPrefix = "HTTP/1.";
static constexpr unsigned MinStatus = 100;
static constexpr unsigned MaxStatus = 599;
static constexpr unsigned StatusSwitchingProtocols = 101;
static constexpr unsigned StatusNoContent = 204;

static bool isTokenChar(char C) {
  return absl::ascii_isalnum(static_cast<unsigned char>(C)) ||
         absl::StrContains("!#$%&'*+-.^_`|~", C);
}

/// True for the bytes of field values and reason phrases; those above 127 are
/// opaque.
static bool isTextChar(char C) {
  return C == '\t' || !absl::ascii_iscntrl(static_cast<unsigned char>(C));
}

static bool isToken(absl::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), isTokenChar);
}

static bool isText(absl::string_view Text) {
  return std::all_of(Text.begin(), Text.end(), isTextChar);
}

static absl::string_view stripWhiteSpace(absl::string_view Text) {
  const auto IsSpace = [](char C) { return C == ' ' || C == '\t'; };
  while (!Text.empty() && IsSpace(Text.front()))
    Text.remove_prefix(1);
  while (!Text.empty() && IsSpace(Text.back()))
    Text.remove_suffix(1);
  return Text;
}

static bool consumeDigits(absl::string_view &Text, std::size_t Count,
                          unsigned &Out) {
  if (Text.size() < Count)
    return false;
  for (char C : Text.substr(0, Count)) {
    if (!absl::ascii_isdigit(static_cast<unsigned char>(C)))
      return false;
    Out = Out * 10 + static_cast<unsigned>(C - '0');
  }
  Text.remove_prefix(Count);
  return true;
}

/// Reads "HTTP/1.x NNN reason".
static ResponseDefect readStatusLine(ResponseHead &Head,
                                     absl::string_view Line) {
  static constexpr std::size_t StatusDigits = 3;
  unsigned Status = 0;
  const bool Parsed = absl::ConsumePrefix(&Line, VersionPrefix) &&
                      consumeDigits(Line, 1, Head.MinorVersion) &&
                      absl::ConsumePrefix(&Line, " ") &&
                      consumeDigits(Line, StatusDigits, Status) &&
                      absl::ConsumePrefix(&Line, " ") && isText(Line);
  if (!Parsed)
    return ResponseDefect::StatusLine;
  if (Status < MinStatus || Status > MaxStatus)
    return ResponseDefect::StatusCode;
  Head.Status = Status;
  return Status == StatusSwitchingProtocols && !Head.MayUpgrade
             ? ResponseDefect::Upgrade
             : ResponseDefect::None;
}

/// A list of the same number several times is that number.
static ResponseDefect readContentLength(ResponseHead &Head,
                                        absl::string_view Value) {
  for (absl::string_view Item : absl::StrSplit(Value, ',')) {
    Item = stripWhiteSpace(Item);
    std::uint64_t Length = 0;
    // SimpleAtoi() takes signs and white space too.
    const bool Digits = std::all_of(Item.begin(), Item.end(), [](char C) {
      return absl::ascii_isdigit(static_cast<unsigned char>(C));
    });
    if (!Digits || !absl::SimpleAtoi(Item, &Length) ||
        Head.ContentLength.value_or(Length) != Length)
      return ResponseDefect::ContentLength;
    Head.ContentLength = Length;
  }
  return ResponseDefect::None;
}

static ResponseDefect readField(ResponseHead &Head, absl::string_view Line) {
  if (const ResponseDefect Defect = checkFieldLine(Line);
      Defect != ResponseDefect::None)
    return Defect;
  const FieldLine Field = splitFieldLine(Line);
  if (absl::EqualsIgnoreCase(Field.Name, "Content-Length"))
    return readContentLength(Head, Field.Value);
  if (absl::EqualsIgnoreCase(Field.Name, "Transfer-Encoding")) {
    if (Head.Chunked || !absl::EqualsIgnoreCase(Field.Value, "chunked"))
      return ResponseDefect::TransferCoding;
    Head.Chunked = true;
  }
  if (absl::EqualsIgnoreCase(Field.Name, "Content-Encoding") &&
      !Field.Value.empty() && !absl::EqualsIgnoreCase(Field.Value, "identity"))
    return ResponseDefect::ContentCoding;
  return ResponseDefect::None;
}

/// Checks what no line shows by itself.
static ResponseDefect checkFraming(const ResponseHead &Head) {
  const bool MayBeChunked = Head.MinorVersion > 0 && !Head.ContentLength &&
                            !isInterim(Head) && Head.Status != StatusNoContent;
  return Head.Chunked && !MayBeChunked ? ResponseDefect::TransferCoding
                                       : ResponseDefect::None;
}

void addHeadLine(ResponseHead &Head, absl::string_view Line) {
  const bool Ended = absl::ConsumeSuffix(&Line, LineEnd);
  if (Head.Status == 0) {
    Head.Defect =
        Ended ? readStatusLine(Head, Line) : ResponseDefect::StatusLine;
  } else if (!Ended) {
    Head.Defect = ResponseDefect::FieldValue;
  } else if (Line.empty()) {
    Head.Complete = true;
    Head.Defect = checkFraming(Head);
  } else {
    Head.Defect = readField(Head, Line);
  }
}

std::size_t addHeadLines(ResponseHead &Head, absl::string_view Bytes) {
  std::size_t Read = 0;
  while (!Head.Complete && Head.Defect == ResponseDefect::None) {
    const std::size_t End = Bytes.find('\n', Read);
    if (End == absl::string_view::npos) {
      // What cannot become a status line need not be awaited.
      const absl::string_view Begun = Bytes.substr(Read, VersionPrefix.size());
      if (Head.Status == 0 && !absl::StartsWith(VersionPrefix, Begun))
        Head.Defect = ResponseDefect::StatusLine;
      break;
    }
    addHeadLine(Head, Bytes.substr(Read, End + 1 - Read));
    Read = End + 1;
  }
  return Read;
}

FieldLine splitFieldLine(absl::string_view Line) {
  absl::ConsumeSuffix(&Line, LineEnd);
  const std::size_t Colon = Line.find(':');
  if (Colon == absl::string_view::npos)
    return FieldLine{Line, absl::string_view()};
  return FieldLine{Line.substr(0, Colon),
                   stripWhiteSpace(Line.substr(Colon + 1))};
}

ResponseDefect checkFieldLine(absl::string_view Line) {
  // A folded line continues the value of the one before.
  if (absl::StartsWith(Line, " ") || absl::StartsWith(Line, "\t"))
    return ResponseDefect::FieldValue;
  const FieldLine Field = splitFieldLine(Line);
  if (!absl::StrContains(Line, ':') || !isToken(Field.Name))
    return ResponseDefect::FieldName;
  return isText(Field.Value) ? ResponseDefect::None
                             : ResponseDefect::FieldValue;
}

} // namespace quetzallead
