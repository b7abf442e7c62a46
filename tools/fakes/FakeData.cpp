#include "fakes/FakeData.h"
#include "absl/strings/str_cat.h"

namespace quetzallead {

nlohmann::json fakeRow(const FakeDataSet &Data, const std::string &Key) {
  return {{"key", Key},
          {"shard", Data.Shard},
          {"version", Data.Version},
          {"value", absl::StrCat(Data.Service, "/", Data.Shard, "/", Key, "@",
                                 Data.Version)}};
}

nlohmann::json fakeRows(const FakeDataSet &Data) {
  nlohmann::json Rows = nlohmann::json::array();
  // "-" sorts before letters and digits, so that the keys stay below the first
  // key of the next shard.
  for (int I = 1; I <= FakeRowsPerShard; ++I)
    Rows.push_back(fakeRow(Data, absl::StrCat(Data.From, "-", I)));
  return Rows;
}

} // namespace quetzallead
