#include "core/http/ResponseHead.h"
#include "absl/strings/str_cat.h"
#include "support/BrokenAnswers.h"
#include <gtest/gtest.h>

using namespace quetzallead;

namespace {

ResponseHead read(const std::string &Bytes) {
  ResponseHead Head;
  addHeadLines(Head, Bytes);
  return Head;
}

ResponseDefect defectOfFields(const std::string &Fields,
                              const std::string &StatusLine = "HTTP/1.1 200 "
                                                              "OK") {
  return read(StatusLine + "\r\n" + Fields + "\r\n").Defect;
}

} // namespace

TEST(ResponseHeadTest, StatusesFrom100To599Count) {
  for (unsigned Status = 0; Status < 1000; ++Status) {
    const std::string Digits =
        absl::StrCat(Status / 100, Status / 10 % 10, Status % 10);
    const ResponseHead Head = read("HTTP/1.1 " + Digits + " x\r\n\r\n");
    const ResponseDefect Expected = Status < 100 || Status > 599
                                        ? ResponseDefect::StatusCode
                                    : Status == 101 ? ResponseDefect::Upgrade
                                                    : ResponseDefect::None;
    EXPECT_EQ(Head.Defect, Expected) << Digits;
    EXPECT_EQ(Head.Complete, Expected == ResponseDefect::None);
    EXPECT_EQ(isInterim(Head), Status >= 100 && Status < 200) << Digits;
  }
}

TEST(ResponseHeadTest, EachByteOfANameAndAValue) {
  const std::string Tokens = "!#$%&'*+-.^_`|~0123456789"
                             "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                             "abcdefghijklmnopqrstuvwxyz";
  for (int Byte = 0; Byte < 256; ++Byte) {
    const std::string Text(1, static_cast<char>(Byte));
    const bool InToken = Tokens.find(Text) != std::string::npos;
    // A colon ends the name.
    const bool Sound = InToken || Byte == ':';
    EXPECT_EQ(defectOfFields("X" + Text + "Y: 1\r\n") == ResponseDefect::None,
              Sound)
        << Byte;
    const bool InValue = Byte == '\t' || (Byte >= ' ' && Byte != 0x7f);
    EXPECT_EQ(defectOfFields("X: a" + Text + "b\r\n") == ResponseDefect::None,
              InValue)
        << Byte;
  }
}

TEST(ResponseHeadTest, NamesWhatIsWrong) {
  EXPECT_EQ(read("ICY 200 OK\r\n").Defect, ResponseDefect::StatusLine);
  EXPECT_EQ(read("HTTP/2.0 200 OK\r\n").Defect, ResponseDefect::StatusLine);
  EXPECT_EQ(defectOfFields("X Y: 1\r\n"), ResponseDefect::FieldName);
  EXPECT_EQ(defectOfFields("X\r\n"), ResponseDefect::FieldName);
  EXPECT_EQ(defectOfFields(": 1\r\n"), ResponseDefect::FieldName);
  EXPECT_EQ(defectOfFields("X: a\x01\r\n"), ResponseDefect::FieldValue);
  EXPECT_EQ(defectOfFields("X: a\r\n b\r\n"), ResponseDefect::FieldValue);
  EXPECT_EQ(defectOfFields("Content-Length: 1\r\nContent-Length: 2\r\n"),
            ResponseDefect::ContentLength);
  EXPECT_EQ(defectOfFields("Transfer-Encoding: gzip, chunked\r\n"),
            ResponseDefect::TransferCoding);
  EXPECT_EQ(defectOfFields("Transfer-Encoding: chunked\r\n"
                           "Content-Length: 1\r\n"),
            ResponseDefect::TransferCoding);
  EXPECT_EQ(defectOfFields("Transfer-Encoding: chunked\r\n", "HTTP/1.0 200 OK"),
            ResponseDefect::TransferCoding);
  EXPECT_EQ(defectOfFields("Content-Encoding: br\r\n"),
            ResponseDefect::ContentCoding);
}

TEST(ResponseHeadTest, TheSameLengthSeveralTimesIsThatLength) {
  const ResponseHead Head = read("HTTP/1.1 200 OK\r\nContent-Length: 7, 7\r\n"
                                 "content-length: 7\r\n\r\n");
  EXPECT_EQ(Head.Defect, ResponseDefect::None);
  EXPECT_EQ(Head.ContentLength, 7u);
}

TEST(ResponseHeadTest, WhatCannotBecomeAStatusLineIsRefusedAtOnce) {
  EXPECT_EQ(read("").Defect, ResponseDefect::None);
  EXPECT_EQ(read("HTT").Defect, ResponseDefect::None);
  EXPECT_EQ(read("HTTP/1.1 2").Defect, ResponseDefect::None);
  EXPECT_EQ(read("HTTP/2").Defect, ResponseDefect::StatusLine);
  EXPECT_EQ(read(std::string(1, '\0')).Defect, ResponseDefect::StatusLine);
}

// Bytes arrive in pieces: a defect must not depend on where they are cut.
TEST(ResponseHeadTest, LinesMayArriveInPieces) {
  for (const BrokenAnswer &Answer : brokenAnswers()) {
    const ResponseHead Whole = read(Answer.Bytes);
    ResponseHead Pieces;
    std::size_t Read = 0;
    for (std::size_t End = 1; End <= Answer.Bytes.size(); ++End)
      Read += addHeadLines(
          Pieces, absl::string_view(Answer.Bytes).substr(Read, End - Read));
    EXPECT_EQ(Pieces.Defect, Whole.Defect) << Answer.Name;
    EXPECT_EQ(Pieces.Complete, Whole.Complete) << Answer.Name;
  }
}
