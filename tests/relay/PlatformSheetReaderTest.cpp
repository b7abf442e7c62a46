#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "platform/PlatformSheet.h"
#include "platform/SheetSplitter.h"
#include <gtest/gtest.h>
#include <pcg_random.hpp>

using namespace quetzallead;

namespace {

constexpr int RouteCount = 600;

std::string routeText(int I, int TimeoutMs) {
  return absl::StrCat(R"({"name": "r)", I,
                      R"(", "host": "h{[\"]}", "prefix": "/)", I,
                      R"(/", "type": "idempotent", "timeout_ms": )", TimeoutMs,
                      I % 3 == 0 ? R"(, "gather": ["x", "y"], "top_k": 5})"
                                 : R"(, "service": "x", "max_attempts": 2})");
}

std::string sheetText(int Version, const std::vector<std::string> &Routes) {
  return absl::StrCat(R"({"version": )", Version, R"(, "routes" : [ )",
                      absl::StrJoin(Routes, " ,\n"),
                      R"(], "limits": {"max_body_bytes": 200, "x": [{}, "]"]},
      "services": [{"name": "x", "max_conns": 26}, {"name": "y"}]})");
}

std::vector<std::string> routeTexts(int Count) {
  std::vector<std::string> Out;
  Out.reserve(static_cast<std::size_t>(Count));
  for (int I = 0; I < Count; ++I)
    Out.push_back(routeText(I, 100));
  return Out;
}

/// All that a sheet says, or "refused".
template <typename Fn> std::string describe(Fn Decode) {
  auto Decoded = capture(Decode);
  if (!std::holds_alternative<RouteSheet>(Decoded))
    return "refused";
  const auto &Sheet = std::get<RouteSheet>(Decoded);
  std::string Out = absl::StrCat(Sheet.Version, ";", Sheet.Limits.MaxBodyBytes);
  for (const Route &R : Sheet.Routes) {
    absl::StrAppend(&Out, "\n", R.Name, ";", R.Host, ";", R.Prefix, ";",
                    static_cast<int>(R.Kind), ";", static_cast<int>(R.Target),
                    ";", absl::ToInt64Microseconds(R.Timeout), ";",
                    R.MaxAttempts, ";", R.MaxRecords);
    for (const RouteService &S : R.Services)
      absl::StrAppend(&Out, ";", S.Name, "=", S.Weight);
  }
  for (const auto &[Name, Service] : Sheet.Services)
    absl::StrAppend(&Out, "\n", Name, "=", Service.ConnectionLimit);
  return Out;
}

std::string read(PlatformSheetReader &Reader, const std::string &Text) {
  return describe([&] { return Reader.read(Text); });
}
std::string decode(const std::string &Text) {
  return describe([&] { return decodePlatformSheet(Text); });
}

} // namespace

// Accounts were copied level by level, until the stack was used up.
TEST(PlatformSheetReaderTest, DeeplyNestedAccountsEndedTheProcess) {
  std::string Text = sheetText(3, routeTexts(2));
  constexpr std::size_t Depth = 500000;
  Text.insert(1, absl::StrCat("\"tenants\": ", std::string(Depth, '['),
                              std::string(Depth, ']'), ", "));
  PlatformSheetReader Reader;
  EXPECT_EQ(read(Reader, Text), decode(Text));
}

TEST(PlatformSheetReaderTest, WholeSheetWasDecodedForOneChangedRoute) {
  std::vector<std::string> Routes = routeTexts(RouteCount);
  PlatformSheetReader Reader;
  EXPECT_EQ(read(Reader, sheetText(1, Routes)), decode(sheetText(1, Routes)));
  const std::uint64_t Before = Reader.decodedCount();
  Routes[RouteCount / 2] = routeText(RouteCount / 2, 250);
  EXPECT_EQ(read(Reader, sheetText(2, Routes)), decode(sheetText(2, Routes)));
  EXPECT_EQ(Reader.decodedCount(), Before + 1);
  // Neither order nor removal is a change of a route.
  std::swap(Routes.front(), Routes.back());
  Routes.pop_back();
  EXPECT_EQ(read(Reader, sheetText(3, Routes)), decode(sheetText(3, Routes)));
  EXPECT_EQ(Reader.decodedCount(), Before + 1);
}

TEST(PlatformSheetReaderTest, ForgetsRoutesThatAreGone) {
  PlatformSheetReader Reader;
  for (int I = 0; I < 3; ++I) {
    const std::uint64_t Before = Reader.decodedCount();
    read(Reader, sheetText(2 * I, routeTexts(10)));
    read(Reader, sheetText(2 * I + 1, routeTexts(1)));
    EXPECT_GE(Reader.decodedCount(), Before + 9);
  }
}

TEST(PlatformSheetReaderTest, UsualFormIsSplit) {
  const auto Split = splitSheet(sheetText(1, routeTexts(4)));
  ASSERT_TRUE(Split);
  EXPECT_EQ(Split->Routes.size(), 4u);
  EXPECT_EQ(Split->Services.size(), 2u);
  EXPECT_EQ(splitSheet(R"({"routes":[],"services":[]} )")->Frame,
            R"({"routes":[],"services":[]} )");
}

TEST(PlatformSheetReaderTest, UnusualFormsAreDecodedAsBefore) {
  PlatformSheetReader Reader;
  const std::string Route = routeText(1, 100);
  for (const std::string &Text :
       {std::string(), std::string("{}"), std::string("[]"),
        std::string(R"({"version": 1, "routes": []})"),
        absl::StrCat(R"({"version": 1, "routes": [], "services": [], )",
                     R"("rout\u0065s": [)", Route, "]}"),
        absl::StrCat(R"({"version": 1, "routes": [], "services": [], )",
                     R"("routes": [)", Route, "]}"),
        absl::StrCat(R"({"version": 1, "services": [], "routes": [)", Route,
                     " ", Route, "]}"),
        absl::StrCat(R"({"version": 1, "services": [], "routes": [)", Route,
                     ",]}"),
        absl::StrCat(R"({"version": 1, "services": [], "routes": [)", Route,
                     "}}"),
        absl::StrCat(R"({"version": 1, "services": [], "routes": [)", Route,
                     "]} x"),
        std::string(R"({"version": 1, "routes": [3], "services": []})"),
        std::string(R"({"version": 1, "routes": {}, "services": []})"),
        std::string(R"({"version": 1, "routes": {"a": )") + Route +
            R"(}, "services": [{"name": "x"}]})"})
    EXPECT_EQ(read(Reader, Text), decode(Text)) << Text;
}

// Sheets that differ by a few bytes, most of them malformed, one after another
// at the same reader.
TEST(PlatformSheetReaderTest, AnyTextIsReadAsIfItWereTheFirst) {
  pcg32 Engine(20261204);
  PlatformSheetReader Reader;
  const std::string Symbols = "{}[]\",:\\ \n0a\xff";
  int Refused = 0;
  constexpr int Texts = 20000;
  for (int I = 0; I < Texts; ++I) {
    std::string Text = sheetText(I, routeTexts(1 + I % 4));
    for (int Edits = static_cast<int>(Engine(4)); Edits > 0; --Edits) {
      const std::size_t At = Engine(static_cast<std::uint32_t>(Text.size()));
      const char Symbol =
          Symbols[Engine(static_cast<std::uint32_t>(Symbols.size()))];
      if (Engine(3) == 0)
        Text.erase(At, 1 + Engine(3));
      else if (Engine(2) == 0)
        Text[At] = Symbol;
      else
        Text.insert(At, 1, Symbol);
    }
    const std::string Expected = decode(Text);
    ASSERT_EQ(read(Reader, Text), Expected) << Text;
    Refused += Expected == "refused" ? 1 : 0;
  }
  EXPECT_GT(Refused, Texts / 10);
  EXPECT_LT(Refused, Texts * 9 / 10);
}
