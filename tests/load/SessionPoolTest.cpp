#include "load/SessionPool.h"
#include <gtest/gtest.h>

namespace quetzallead {
namespace {

TEST(SessionPoolTest, TicketIsHandedOutOnce) {
  SessionPool Pool(1);
  Pool.update(0, CallerSession{"token", "ticket", {}});
  EXPECT_EQ(Pool.take(0, false).Ticket, "");
  EXPECT_EQ(Pool.take(0, true).Ticket, "ticket");
  EXPECT_EQ(Pool.take(0, true).Ticket, "");
  EXPECT_EQ(Pool.take(0, true).Token, "token");
}

TEST(SessionPoolTest, UpdateKeepsUnspentTicket) {
  SessionPool Pool(1);
  Pool.update(0, CallerSession{"first", "ticket", {}});
  Pool.update(0, CallerSession{"second", "", {{"s", 3}}});
  const CallerSession Session = Pool.take(0, true);
  EXPECT_EQ(Session.Token, "second");
  EXPECT_EQ(Session.Ticket, "ticket");
  EXPECT_EQ(Session.seenVersion("s"), 3U);
  EXPECT_EQ(Session.seenVersion("t"), 0U);
}

} // namespace
} // namespace quetzallead
