#include "core/relay/AllowedZones.h"
#include "relay/RelayRequestHarness.h"
#include <gtest/gtest.h>

using namespace quetzallead;

namespace {

const std::map<std::string, std::string> Regions = {
    {"a", "north"}, {"b", "north"}, {"c", "south"}};
using Names = std::set<std::string>;

} // namespace

TEST(AllowedZonesTest, RouteAndAccountBothBind) {
  EXPECT_EQ(allowedZones({}, {}, Regions), nullptr);
  EXPECT_EQ(*allowedZones({"north"}, {}, Regions), (Names{"a", "b"}));
  EXPECT_EQ(*allowedZones({}, {"south"}, Regions), Names{"c"});
  EXPECT_EQ(*allowedZones({"north", "south"}, {"south"}, Regions), Names{"c"});
  EXPECT_EQ(*allowedZones({"north"}, {"south"}, Regions), Names{});
  EXPECT_EQ(*allowedZones({"nowhere"}, {}, Regions), Names{});
}

TEST(AllowedZonesTest, RequestReachesServersOfItsRegionsOnly) {
  RelayRequestHarness H(1);
  H.RequestRoute.Regions = {"south"};
  H.setZoneRegions(Regions);
  for (int I = 0; I < 4; ++I) {
    H.startRequest();
    EXPECT_EQ(H.SentServers.back(), "s0-2");
  }
}

// A hedge or a retry must not leave the region either.
TEST(AllowedZonesTest, RetryStaysInTheRegion) {
  RelayRequestHarness H(1);
  H.RequestRoute.Regions = {"north"};
  H.RequestRoute.MaxAttempts = 3;
  H.setZoneRegions(Regions);
  H.startRequest();
  H.endAttempt(0, AttemptResult::Lost);
  H.advance(absl::Milliseconds(1));
  H.endAttempt(1, AttemptResult::Lost);
  H.advance(absl::Milliseconds(50));
  for (const std::string &Server : H.SentServers)
    EXPECT_NE(Server, "s0-2");
}

TEST(AllowedZonesTest, RequestWithoutAServerInItsRegionIsRejectedUnsent) {
  RelayRequestHarness H(1);
  H.RequestRoute.Regions = {"nowhere"};
  H.setZoneRegions(Regions);
  H.startRequest();
  EXPECT_TRUE(H.SentServers.empty());
  ASSERT_TRUE(H.answered());
  EXPECT_EQ(H.Verdict->Outcome, RelayOutcome::Unservable);
}
