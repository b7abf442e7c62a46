#include "core/relay/SheetHistory.h"
#include "absl/strings/str_cat.h"
#include "core/base/Cbor.h"
#include "core/base/TextDelta.h"
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <numeric>
#include <pcg_random.hpp>
#include <vector>

using namespace quetzallead;

namespace {

constexpr int RouteCount = 600;

std::string sheetText(int Version, const std::vector<int> &Routes) {
  std::string Out =
      absl::StrCat(R"({"version": )", Version, R"(, "routes": [)");
  for (std::size_t I = 0; I < Routes.size(); ++I)
    absl::StrAppend(&Out, I == 0 ? "" : ",", R"({"name": "route-)", Routes[I],
                    R"(", "prefix": "/a/", "service": "s", "timeout_ms": 90})");
  return Out + "]}";
}

std::vector<int> routes(int Count) {
  std::vector<int> Out(static_cast<std::size_t>(Count));
  std::iota(Out.begin(), Out.end(), 0);
  return Out;
}

} // namespace

TEST(SheetHistoryTest, WholeSheetWasSentForOneChangedRoute) {
  SheetHistory Home;
  SheetHistory Asker;
  std::vector<int> Routes = routes(RouteCount);
  Home.add(1, sheetText(1, Routes));
  const std::string First = Home.updateFrom(0);
  EXPECT_TRUE(isSheetUpdate(First));
  EXPECT_FALSE(isSheetUpdate(Home.text()));
  ASSERT_EQ(Asker.apply(First), Home.text());
  Asker.add(1, *Asker.apply(First));
  Routes[RouteCount / 2] = -1;
  Home.add(2, sheetText(2, Routes));
  const std::string Second = Home.updateFrom(1);
  EXPECT_LT(Second.size(), 300u);
  EXPECT_EQ(Asker.apply(Second), Home.text());
}

TEST(SheetHistoryTest, VersionsNoLongerRememberedGetTheWholeSheet) {
  SheetHistory Home;
  SheetHistory Asker;
  for (int Version = 1; Version <= 8; ++Version)
    Home.add(static_cast<std::uint64_t>(Version),
             sheetText(Version, routes(Version)));
  for (std::uint64_t Known = 0; Known < 8; ++Known) {
    SheetHistory Behind;
    if (Known > 0)
      Behind.add(Known, sheetText(static_cast<int>(Known),
                                  routes(static_cast<int>(Known))));
    EXPECT_EQ(Behind.apply(Home.updateFrom(Known)), Home.text()) << Known;
  }
}

TEST(SheetHistoryTest, UpdateAppliesAlthoughANewerVersionHasArrived) {
  SheetHistory Home;
  SheetHistory Asker;
  Home.add(1, sheetText(1, routes(5)));
  Asker.add(1, Home.text());
  Home.add(2, sheetText(2, routes(6)));
  const std::string Update = Home.updateFrom(1);
  Asker.add(3, sheetText(3, routes(7)));
  EXPECT_EQ(Asker.apply(Update), Home.text());
}

TEST(SheetHistoryTest, OtherTextUnderTheSameVersionIsNotMixed) {
  SheetHistory Home;
  SheetHistory Asker;
  Home.add(1, sheetText(1, routes(5)));
  Asker.add(1, sheetText(1, {0, 1, 9, 3, 4}));
  Home.add(2, sheetText(2, routes(6)));
  EXPECT_EQ(Asker.apply(Home.updateFrom(1)), std::nullopt);
  EXPECT_EQ(Asker.apply(Home.updateFrom(0)), Home.text());
}

TEST(SheetHistoryTest, AnyMessageIsAppliedOrRefused) {
  SheetHistory Home;
  Home.add(1, sheetText(1, routes(5)));
  SheetHistory Asker;
  Asker.add(1, Home.text());
  Home.add(2, sheetText(2, {0, 1, 7, 3, 4, 5}));
  const std::string Update = Home.updateFrom(1);
  pcg32 Engine(20261204);
  for (int I = 0; I < 20000; ++I) {
    std::string Message = Update;
    for (std::uint32_t Edits = 1 + Engine(3); Edits > 0; --Edits)
      Message[Engine(static_cast<std::uint32_t>(Message.size()))] =
          static_cast<char>(Engine(256));
    const auto Text = Asker.apply(Message);
    EXPECT_TRUE(!Text || *Text == Home.text()) << *Text;
  }
}

TEST(TextDeltaTest, LeadsFromAnyTextToAnyOther) {
  pcg32 Engine(20261204);
  const std::string Symbols = "a{}}\"";
  auto Random = [&] {
    std::string Out;
    for (std::uint32_t Size = Engine(40); Size > 0; --Size)
      Out += Symbols[Engine(static_cast<std::uint32_t>(Symbols.size()))];
    return Out;
  };
  for (int I = 0; I < 20000; ++I) {
    const std::string Old = Random();
    const std::string New = Random();
    const auto Delta = parseCbor(cborOf(textDelta(Old, New)));
    ASSERT_EQ(applyTextDelta(Old, Delta, New.size()), New) << Old;
    if (!New.empty()) {
      ASSERT_EQ(applyTextDelta(Old, Delta, New.size() - 1), std::nullopt);
    }
  }
}

TEST(TextDeltaTest, RefusesWhatDoesNotFit) {
  using nlohmann::json;
  for (const json &Delta :
       {json(), json(3), json::array({json::array({0, 3})}),
        json::array({json::array({3, 1})}), json::array({json::array({0})}),
        json::array({json::array({-1, 1})}), json::array({json::object()}),
        json::array({json::array({1, ~std::uint64_t{0}})})})
    EXPECT_EQ(applyTextDelta("{}{}", Delta, 100), std::nullopt) << Delta.dump();
}
