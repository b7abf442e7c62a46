#include "core/membership/PartnerSet.h"

#include "absl/strings/str_cat.h"
#include "core/membership/MemberTable.h"
#include <algorithm>
#include <gtest/gtest.h>
#include <set>

namespace quetzallead {
namespace {

const TimePoint Start = absl::FromUnixSeconds(1'700'000'000);
constexpr int Zones = 8;

class PartnerSetTest : public ::testing::Test {
protected:
  PartnerSetTest() {
    for (int I = 0; I < 80; ++I) {
      MemberRecord R;
      R.Name = absl::StrCat("i", I);
      R.Zone = absl::StrCat("z", I % Zones);
      R.Incarnation = 1;
      Members.put(R, Start);
    }
    Self = Members.find("i0")->Record;
  }

  std::set<std::string> zones() const {
    std::set<std::string> Found;
    for (const std::string &Name : Partners.names())
      Found.insert(Members.find(Name)->Record.Zone);
    return Found;
  }

  MemberTable Members;
  MemberRecord Self;
  PartnerSet Partners;
  std::mt19937_64 Engine{5};
};

TEST_F(PartnerSetTest, HasAPartnerInEveryZone) {
  Partners.refresh(Members, Self, Start, Engine);
  EXPECT_EQ(zones().size(), static_cast<std::size_t>(Zones));
  EXPECT_EQ(Partners.names().size(), PartnerSet::OwnZonePartners + Zones - 1);
}

TEST_F(PartnerSetTest, ReplacesTheDeadAndKeepsTheRest) {
  Partners.refresh(Members, Self, Start, Engine);
  const std::vector<std::string> Before = Partners.names();
  MemberRecord Lost = Members.find(Before[2])->Record;
  Lost.Health = MemberState::Dead;
  Members.put(Lost, Start);
  Partners.refresh(Members, Self, Start, Engine);
  EXPECT_EQ(zones().size(), static_cast<std::size_t>(Zones));
  int Kept = 0;
  for (const std::string &Name : Partners.names()) {
    EXPECT_NE(Name, Lost.Name);
    Kept += std::count(Before.begin(), Before.end(), Name) > 0 ? 1 : 0;
  }
  EXPECT_EQ(Kept, static_cast<int>(Before.size()) - 1);
}

TEST_F(PartnerSetTest, TakesTurns) {
  Partners.refresh(Members, Self, Start, Engine);
  std::set<std::string> Seen;
  for (std::size_t I = 0; I < Partners.names().size(); ++I)
    Seen.insert(Partners.next());
  EXPECT_EQ(Seen.size(), Partners.names().size());
}

} // namespace
} // namespace quetzallead
