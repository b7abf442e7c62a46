#include "core/base/Cbor.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>
#include <vector>

namespace quetzallead {
namespace {

using nlohmann::json;

constexpr char ArrayOfOne = '\x81';

std::string nested(std::size_t Depth) {
  return std::string(Depth, ArrayOfOne) + std::string(1, '\x01');
}

TEST(CborTest, ReadsWhatItWrites) {
  const json Value = {{"a", {1, -2, "x"}}, {"b", nullptr}};
  EXPECT_EQ(parseCbor(cborOf(Value)), Value);
}

TEST(CborTest, LimitsDepth) {
  EXPECT_FALSE(parseCbor(nested(MaxCborDepth)).is_discarded());
  EXPECT_TRUE(parseCbor(nested(MaxCborDepth + 1)).is_discarded());
  EXPECT_TRUE(parseCbor(nested(1'000'000)).is_discarded());
}

TEST(CborTest, RefusesStatedLengthsBeyondTheInput) {
  EXPECT_TRUE(parseCbor("\x9B"
                        "aaaaaaaa")
                  .is_discarded());
  EXPECT_TRUE(parseCbor("\xBB"
                        "aaaaaaaa")
                  .is_discarded());
  EXPECT_TRUE(parseCbor("\x5B"
                        "aaaaaaaa")
                  .is_discarded());
  EXPECT_TRUE(parseCbor("\x7B"
                        "aaaaaaaa")
                  .is_discarded());
}

TEST(CborTest, RefusesTrailingBytes) {
  EXPECT_TRUE(parseCbor("\x01\x01").is_discarded());
  EXPECT_TRUE(parseCbor("").is_discarded());
}

RC_GTEST_PROP(CborProperty, AnyBytesAreReadOrRefused,
              (const std::vector<char> &Bytes)) {
  const json Value = parseCbor({Bytes.data(), Bytes.size()});
  if (!Value.is_discarded())
    // Compared as bytes, since a NaN differs from itself.
    RC_ASSERT(cborOf(parseCbor(cborOf(Value))) == cborOf(Value));
}

} // namespace
} // namespace quetzallead
