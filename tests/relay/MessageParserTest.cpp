#include "relay/MessageParser.h"
#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <string>

using namespace quetzallead;
namespace http = boost::beast::http;

namespace {

constexpr char RequestLine[] = "POST / HTTP/1.1\r\n";
constexpr char Chunked[] = "Transfer-Encoding: chunked\r\n\r\n";
/// Longest name and value that the library holds.
constexpr std::size_t MaxPart = 65533;

MessageLimits limits(std::size_t HeadBytes) {
  MessageLimits Limits;
  Limits.HeadBytes = HeadBytes;
  return Limits;
}

/// Parses \p Bytes, cut before each position of \p Cuts.
boost::beast::error_code parse(RequestParser &Parser, const std::string &Bytes,
                               std::vector<std::size_t> Cuts = {}) {
  boost::beast::error_code EC;
  std::string Unparsed;
  std::sort(Cuts.begin(), Cuts.end());
  Cuts.push_back(Bytes.size());
  std::size_t At = 0;
  for (std::size_t Cut : Cuts) {
    Unparsed.append(Bytes, At, Cut - At);
    At = Cut;
    Unparsed.erase(0, Parser.parse(Unparsed, EC));
    if (EC)
      break;
  }
  return EC;
}

boost::beast::error_code parse(const std::string &Bytes,
                               std::size_t HeadBytes) {
  RequestParser Parser(limits(HeadBytes));
  return parse(Parser, Bytes);
}

std::string field(std::size_t NameBytes, std::size_t ValueBytes) {
  return std::string(NameBytes, 'n') + ": " + std::string(ValueBytes, 'v') +
         "\r\n";
}

std::string withTrailer(const std::string &Trailer) {
  return std::string(RequestLine) + Chunked + "0\r\n" + Trailer + "\r\n";
}

} // namespace

// Beyond these bounds the library throws.
TEST(MessageParserTest, HoldsWhatTheLibraryHolds) {
  const std::size_t Limit = 200000;
  for (const std::string &Field : {field(1, MaxPart), field(MaxPart, 1)}) {
    RequestParser Parser(limits(Limit));
    EXPECT_FALSE(parse(Parser, RequestLine + Field + "\r\n"));
    ASSERT_TRUE(Parser.is_done());
    const auto &Kept = *Parser.message().begin();
    EXPECT_EQ(Kept.name_string().size() + Kept.value().size(), MaxPart + 1);
    EXPECT_FALSE(parse(withTrailer(Field), Limit));
  }
  for (const std::string &Field :
       {field(1, MaxPart + 1), field(MaxPart + 1, 1), field(1, 150000)}) {
    EXPECT_EQ(parse(RequestLine + Field + "\r\n", Limit),
              http::error::header_limit);
    EXPECT_EQ(parse(withTrailer(Field), Limit), http::error::header_limit);
  }
}

TEST(MessageParserTest, TrailerHasTheLimitOfAHead) {
  const std::string Field = field(6, 90);
  std::string Trailer;
  while (Trailer.size() < 2000)
    Trailer += Field;
  EXPECT_FALSE(parse(withTrailer(Trailer), Trailer.size()));
  EXPECT_EQ(parse(withTrailer(Trailer), Trailer.size() - 1),
            http::error::header_limit);
}

TEST(MessageParserTest, ExtensionHasTheLimitOfAHead) {
  const std::string Extension = ";" + std::string(2000, 'x');
  const std::string Bytes = std::string(RequestLine) + Chunked + "1" +
                            Extension + "\r\nb\r\n0\r\n\r\n";
  EXPECT_FALSE(parse(Bytes, Extension.size()));
  EXPECT_EQ(parse(Bytes, Extension.size() - 1), http::error::header_limit);
}

// The length that a request announced was allocated at once; if that failed,
// the process ended.
TEST(MessageParserTest, AnnouncedLengthIsNotAllocated) {
  MessageLimits Limits;
  Limits.BodyBytes = std::uint64_t{1} << 62;
  for (const char *Length : {"4611686018427387904", "10000000000000000"}) {
    RequestParser Parser(Limits);
    EXPECT_FALSE(parse(Parser, std::string(RequestLine) + "Content-Length: " +
                                   Length + "\r\n\r\nbody"));
    EXPECT_EQ(Parser.message().body(), "body");
    EXPECT_LT(Parser.message().body().capacity(), std::size_t{4} << 20);
  }
}

TEST(MessageParserTest, BodyMayLookLikeALastChunk) {
  RequestParser Parser{MessageLimits()};
  EXPECT_FALSE(parse(Parser, std::string(RequestLine) +
                                 "Content-Length: 3\r\n\r\n0\r\n"));
  EXPECT_TRUE(Parser.is_done());
  EXPECT_EQ(Parser.message().body(), "0\r\n");
}

// Assertions of the library ended the process if the last chunk came in pieces.
RC_GTEST_PROP(MessageParserTest, ResultDoesNotDependOnTheCuts, ()) {
  const auto Sizes =
      rc::gen::element<std::size_t>(0, 1, 40, 1000, MaxPart, MaxPart + 1);
  std::string Bytes = RequestLine;
  if (*rc::gen::arbitrary<bool>())
    Bytes += field(*rc::gen::inRange(1, 3000), *Sizes);
  Bytes += Chunked;
  for (int Left = *rc::gen::inRange(0, 3); Left > 0; --Left) {
    const std::size_t Extension = *Sizes;
    Bytes += "3";
    Bytes += Extension > 0 ? ";" + std::string(Extension, 'x') : "";
    Bytes += "\r\nabc\r\n";
  }
  Bytes += "0\r\n";
  for (int Left = *rc::gen::inRange(0, 3); Left > 0; --Left)
    Bytes += field(*rc::gen::inRange(1, 100), *Sizes);
  Bytes += "\r\n";
  const int Length = static_cast<int>(Bytes.size());
  // Mostly near the end, where the framing is.
  const auto Cuts = *rc::gen::container<std::vector<std::size_t>>(rc::gen::map(
      rc::gen::oneOf(rc::gen::inRange(0, Length),
                     rc::gen::inRange(std::max(0, Length - 12), Length)),
      [](int At) { return static_cast<std::size_t>(At); }));
  RequestParser Whole(limits(100000));
  RequestParser Pieces(limits(100000));
  const auto Expected = parse(Whole, Bytes);
  RC_ASSERT(parse(Pieces, Bytes, Cuts) == Expected);
  RC_ASSERT(Pieces.is_done() == Whole.is_done());
  if (Whole.is_done())
    RC_ASSERT(Pieces.message().body() == Whole.message().body());
}
