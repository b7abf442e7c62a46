#include "runtime/Endpoint.h"
#include <gtest/gtest.h>

using namespace quetzallead;

static std::string parsed(const std::string &Text) {
  auto Read = capture([&] { return parseEndpoint(Text); });
  auto *Found = std::get_if<boost::asio::ip::tcp::endpoint>(&Read);
  return Found == nullptr ? ""
                          : Found->address().to_string() + " " +
                                std::to_string(Found->port());
}

TEST(EndpointTest, ReadsAddressesOfBothKinds) {
  EXPECT_EQ(parsed("127.0.0.1:80"), "127.0.0.1 80");
  EXPECT_EQ(parsed("[::1]:65535"), "::1 65535");
  EXPECT_EQ(parsed("127.0.0.1:0"), "127.0.0.1 0");
}

TEST(EndpointTest, RefusesWhatIsNoAddress) {
  for (const char *Text : {"", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:-1",
                           "127.0.0.1:65536", "name:80", "127.0.0.1:80x"})
    EXPECT_EQ(parsed(Text), "") << Text;
}
