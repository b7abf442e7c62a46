#ifndef QUETZALLEAD_TESTS_SUPPORT_BROKENANSWERS_H
#define QUETZALLEAD_TESTS_SUPPORT_BROKENANSWERS_H

#include <ostream>
#include <string>
#include <vector>

namespace quetzallead {

/// Bytes of a server that are no response in HTTP/1.1.
struct BrokenAnswer {
  const char *Name;
  std::string Bytes;
};

inline std::ostream &operator<<(std::ostream &Out, const BrokenAnswer &Answer) {
  return Out << Answer.Name;
}

/// What the broken answers have in their heads and bodies, and no other answer.
inline constexpr char BrokenStamp[] = "broken-stamp";
inline constexpr char BrokenBody[] = "broken-body";

/// A head that begins with \p StatusLine and has \p Fields, and a body.
inline std::string answerBytes(const std::string &StatusLine,
                               const std::string &Fields = "") {
  return StatusLine + "\r\nServer-Stamp: " + BrokenStamp +
         "\r\nContent-Length: 11\r\n" + Fields + "\r\n" + BrokenBody;
}

/// As answerBytes(), with no length but what \p Fields says.
inline std::string framedBytes(const std::string &Fields,
                               const std::string &Body,
                               const std::string &StatusLine = "HTTP/1.1 200 "
                                                               "OK") {
  return StatusLine + "\r\nServer-Stamp: " + BrokenStamp + "\r\n" + Fields +
         "\r\n" + Body;
}

inline std::vector<BrokenAnswer> brokenAnswers() {
  using namespace std::string_literals;
  const std::string Ok = "HTTP/1.1 200 OK";
  const std::string Chunked = "Transfer-Encoding: chunked\r\n";
  const std::string InChunks = "b\r\nbroken-body\r\n0\r\n\r\n";
  const std::string Whole = answerBytes(Ok);
  return {
      {"Status000", answerBytes("HTTP/1.1 000 OK")},
      {"Status001", answerBytes("HTTP/1.1 001 OK")},
      {"Status020", answerBytes("HTTP/1.1 020 OK")},
      {"Status099", answerBytes("HTTP/1.1 099 OK")},
      {"Status600", answerBytes("HTTP/1.1 600 OK")},
      {"Status700", answerBytes("HTTP/1.1 700 OK")},
      {"Status999", answerBytes("HTTP/1.1 999 OK")},
      {"StatusTwoDigits", answerBytes("HTTP/1.1 20 OK")},
      {"StatusFourDigits", answerBytes("HTTP/1.1 2000 OK")},
      {"StatusMissing", answerBytes("HTTP/1.1 ")},
      {"StatusWithoutBlank", answerBytes("HTTP/1.1 200")},
      {"StatusSigned", answerBytes("HTTP/1.1 +20 OK")},
      {"StatusLetter", answerBytes("HTTP/1.1 2x0 OK")},
      {"StatusNul", answerBytes("HTTP/1.1 2\0000 OK"s)},
      {"StatusAfterTab", answerBytes("HTTP/1.1\t200 OK")},
      {"StatusAfterTwoBlanks", answerBytes("HTTP/1.1  200 OK")},
      {"ReasonNul", answerBytes("HTTP/1.1 200 O\0K"s)},
      {"ReasonControl", answerBytes("HTTP/1.1 200 O\x01K")},
      {"ReasonCarriageReturn", answerBytes("HTTP/1.1 200 O\rK")},
      {"Version09", answerBytes("HTTP/0.9 200 OK")},
      {"Version20", answerBytes("HTTP/2.0 200 OK")},
      {"VersionLowerCase", answerBytes("http/1.1 200 OK")},
      {"VersionLong", answerBytes("HTTP/1.10 200 OK")},
      {"OtherProtocol", answerBytes("ICY 200 OK")},
      {"NoProtocol", "broken-body\r\n\r\n"},
      {"EmptyLineFirst", "\r\n" + Whole},
      {"BareLineFeeds", "HTTP/1.1 200 OK\nServer-Stamp: broken-stamp\n"
                        "Content-Length: 11\n\nbroken-body"},
      {"NameBlank", answerBytes(Ok, "X Name: 1\r\n")},
      {"NameTab", answerBytes(Ok, "X\tName: 1\r\n")},
      {"NameControl", answerBytes(Ok, "X\x01Name: 1\r\n")},
      {"NameNul", answerBytes(Ok, "X\0Name: 1\r\n"s)},
      {"NameDelete", answerBytes(Ok, "X\x7fName: 1\r\n")},
      {"NameBeyondAscii", answerBytes(Ok, "X\xe9Name: 1\r\n")},
      {"NameSeparator", answerBytes(Ok, "X(Name): 1\r\n")},
      {"NameBlankBeforeColon", answerBytes(Ok, "X-Name : 1\r\n")},
      {"NameEmpty", answerBytes(Ok, ": 1\r\n")},
      {"NameWithoutColon", answerBytes(Ok, "X-Name\r\n")},
      {"NameLineFeed", answerBytes(Ok, "X\nName: 1\r\n")},
      {"ValueNul", answerBytes(Ok, "X-Name: a\0b\r\n"s)},
      {"ValueControl", answerBytes(Ok, "X-Name: a\x01"
                                       "b\r\n")},
      {"ValueDelete", answerBytes(Ok, "X-Name: a\x7f"
                                      "b\r\n")},
      {"ValueCarriageReturn", answerBytes(Ok, "X-Name: a\rb\r\n")},
      {"ValueLineFeed", answerBytes(Ok, "X-Name: a\nX-Other: b\r\n")},
      {"LineFolded", answerBytes(Ok, "X-Name: a\r\n b\r\n")},
      {"FirstLineFolded", "HTTP/1.1 200 OK\r\n X-Name: 1\r\n"
                          "Server-Stamp: broken-stamp\r\n"
                          "Content-Length: 11\r\n\r\nbroken-body"},
      {"LengthSigned", framedBytes("Content-Length: +11\r\n", BrokenBody)},
      {"LengthNegative", framedBytes("Content-Length: -11\r\n", BrokenBody)},
      {"LengthHexadecimal", framedBytes("Content-Length: 0xb\r\n", BrokenBody)},
      {"LengthEmpty", framedBytes("Content-Length: \r\n", BrokenBody)},
      {"LengthFraction", framedBytes("Content-Length: 11.0\r\n", BrokenBody)},
      {"LengthList", framedBytes("Content-Length: 11, 12\r\n", BrokenBody)},
      {"LengthTwice", answerBytes(Ok, "Content-Length: 12\r\n")},
      {"LengthBeyond64Bits",
       framedBytes("Content-Length: 18446744073709551627\r\n", BrokenBody)},
      {"LengthAndChunks", answerBytes(Ok, Chunked)},
      {"ChunksAndLength",
       framedBytes(Chunked + "Content-Length: 11\r\n", InChunks)},
      {"CodingUnknown", framedBytes("Transfer-Encoding: gzip\r\n", BrokenBody)},
      {"CodingBeforeChunks",
       framedBytes("Transfer-Encoding: gzip, chunked\r\n", InChunks)},
      {"CodingIdentity",
       framedBytes("Transfer-Encoding: identity\r\n", BrokenBody)},
      {"ChunkedTwice",
       framedBytes("Transfer-Encoding: chunked, chunked\r\n", InChunks)},
      {"ChunkedTwoFields", framedBytes(Chunked + Chunked, InChunks)},
      {"ChunkedInVersion10", framedBytes(Chunked, InChunks, "HTTP/1.0 200 OK")},
      {"ChunkedWithoutContent",
       framedBytes(Chunked, InChunks, "HTTP/1.1 204 No Content")},
      {"ChunkSizeMissing",
       framedBytes(Chunked, "\r\nbroken-body\r\n0\r\n\r\n")},
      {"ChunkSizeLetter",
       framedBytes(Chunked, "x\r\nbroken-body\r\n0\r\n\r\n")},
      {"ChunkSizeSigned",
       framedBytes(Chunked, "+b\r\nbroken-body\r\n0\r\n\r\n")},
      {"ChunkSizePrefix",
       framedBytes(Chunked, "0xb\r\nbroken-body\r\n0\r\n\r\n")},
      {"ChunkSizeBeyond64Bits",
       framedBytes(Chunked, "1000000000000000b\r\nbroken-body\r\n0\r\n\r\n")},
      {"ChunkTooShort", framedBytes(Chunked, "5\r\nbroken-body\r\n0\r\n\r\n")},
      {"TrailerName", framedBytes(Chunked, "b\r\nbroken-body\r\n0\r\n"
                                           "X Name: 1\r\n\r\n")},
      {"TrailerValue", framedBytes(Chunked, "b\r\nbroken-body\r\n0\r\n"
                                            "X-Name: a\x01\r\n\r\n")},
      {"TrailerValueTooLong",
       framedBytes(Chunked, "b\r\nbroken-body\r\n0\r\nX-Name: " +
                                std::string(70000, 'x') + "\r\n\r\n")},
      {"TrailerNameTooLong",
       framedBytes(Chunked, "b\r\nbroken-body\r\n0\r\n" +
                                std::string(70000, 'x') + ": 1\r\n\r\n")},
      {"ContentCoding", answerBytes(Ok, "Content-Encoding: gzip\r\n")},
      {"OtherProtocolNext",
       answerBytes("HTTP/1.1 101 Switching Protocols", "Upgrade: x\r\n")},
      {"InterimStatus", "HTTP/1.1 099 Continue\r\n\r\n" + Whole},
      {"InterimName", "HTTP/1.1 100 Continue\r\nX Name: 1\r\n\r\n" + Whole},
      {"InterimValue",
       "HTTP/1.1 103 Early Hints\r\nX-Name: a\x01\r\n\r\n" + Whole},
      {"InterimChunked",
       "HTTP/1.1 100 Continue\r\n" + Chunked + "\r\n" + Whole},
      {"InterimWithBytes", "HTTP/1.1 100 Continue\r\n\r\nbroken" + Whole},
  };
}

} // namespace quetzallead

#endif // QUETZALLEAD_TESTS_SUPPORT_BROKENANSWERS_H
