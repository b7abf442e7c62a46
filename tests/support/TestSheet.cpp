#include "support/TestSheet.h"
#include "absl/strings/str_cat.h"
#include "support/LoopbackAddresses.h"

namespace quetzallead {

using nlohmann::json;

static json makeServer(const TestSheetShape &Shape, const std::string &Name,
                       const std::string &Zone, LoopbackAddresses &Addresses) {
  return {{"name", Name},
          {"zone", Zone},
          {"address", Addresses.next()},
          {"slots", Shape.Slots},
          {"connections", Shape.Connections},
          {"connect_ms", Shape.ConnectMs}};
}

static json makeShard(const TestSheetShape &Shape, int Index,
                      LoopbackAddresses &Addresses) {
  const std::string Name = absl::StrCat("s", Index);
  json Servers = json::array();
  for (const std::string &Zone : Shape.Zones)
    Servers.push_back(
        makeServer(Shape, absl::StrCat(Name, "-", Zone), Zone, Addresses));
  const std::string From =
      Index == 0 ? "" : std::string(1, static_cast<char>('a' + Index));
  return {{"name", Name}, {"from", From}, {"servers", std::move(Servers)}};
}

json makeTestSheet(const TestSheetShape &Shape, LoopbackAddresses &Addresses) {
  json Shards = json::array();
  for (int Index = 0; Index < Shape.Shards; ++Index)
    Shards.push_back(makeShard(Shape, Index, Addresses));
  const json Service = {{"name", TestService},
                        {"epoch", 1},
                        {"priority", "ordinary"},
                        {"requests", {"survey", "lookup", "command"}},
                        {"timeout_ms", Shape.TimeoutMs},
                        {"least_coverage", Shape.LeastCoverage},
                        {"coverage_wait_ms", Shape.CoverageWaitMs},
                        {"hedge", {{"policy", Shape.Hedge}, {"delay_ms", 20}}},
                        {"shards", std::move(Shards)}};
  return {{"format", 1},
          {"deployment", "test"},
          {"zones", Shape.Zones},
          {"services", json::array({Service})}};
}

std::string testKey(int Index) {
  return absl::StrCat(std::string(1, static_cast<char>('a' + Index)), "1");
}

} // namespace quetzallead
