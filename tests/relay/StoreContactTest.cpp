#include "core/relay/StoreContact.h"
#include <gtest/gtest.h>

using namespace quetzallead;

namespace {

const TimePoint Start = absl::UnixEpoch() + absl::Hours(1);

TimePoint at(int Millis) { return Start + absl::Milliseconds(Millis); }

} // namespace

TEST(StoreContactTest, HandsOverWhileAnotherHomeHasTheStore) {
  StoreContact Contact;
  Contact.onHomeInContact(at(0));
  EXPECT_FALSE(Contact.handsOver(at(0)));
  Contact.onLost(FollowedData::Servers, at(0));
  EXPECT_FALSE(Contact.handsOver(at(400)));
  EXPECT_TRUE(Contact.handsOver(at(600)));
  Contact.onBack(FollowedData::Servers);
  EXPECT_FALSE(Contact.handsOver(at(700)));
}

TEST(StoreContactTest, ServesOnIfNoHomeHasTheStore) {
  StoreContact Contact;
  Contact.onHomeInContact(at(0));
  Contact.onLost(FollowedData::Sheet, at(0));
  Contact.onLost(FollowedData::Servers, at(10));
  EXPECT_TRUE(Contact.lost(at(4000)));
  EXPECT_FALSE(Contact.handsOver(at(4000)));
}

// Both homes of a zone that is cut off lose the store, the second one a little
// later.
TEST(StoreContactTest, ServesOnSoonAfterTheLastHomeLostTheStore) {
  StoreContact Contact;
  Contact.onLost(FollowedData::Sheet, at(0));
  Contact.onHomeInContact(at(500));
  EXPECT_TRUE(Contact.handsOver(at(600)));
  EXPECT_FALSE(Contact.handsOver(at(2000)));
}

TEST(StoreContactTest, RepeatedLossesKeepTheFirstTime) {
  StoreContact Contact;
  Contact.onLost(FollowedData::Sheet, at(0));
  Contact.onLost(FollowedData::Sheet, at(450));
  EXPECT_TRUE(Contact.lost(at(500)));
}

TEST(StoreContactTest, NewerSheetOfAnotherHomeShowsAHangingWatch) {
  StoreContact Contact;
  Contact.onSheetFromHome(at(0));
  EXPECT_FALSE(Contact.lost(at(400)));
  EXPECT_TRUE(Contact.lost(at(500)));
  Contact.onSheetFromStore();
  EXPECT_FALSE(Contact.lost(at(600)));
}
