#include "support/CoverageCheck.h"
#include "absl/strings/str_cat.h"
#include <map>
#include <set>

namespace quetzallead {

using nlohmann::json;

/// Rows that a fake backend server holds of each shard.
static constexpr std::size_t RowsPerShard = 3;

namespace {

/// Collects what is wrong with one answer.
class CoverageCheck {
public:
  CoverageCheck(const json &AnswerBody, const json &Shards)
      : Body(AnswerBody), Partition(Shards) {}

  std::vector<std::string> run() {
    readMissing();
    readRows();
    checkTotals();
    for (std::size_t Index = 0; Index < Partition.size(); ++Index)
      checkShard(Index);
    return std::move(Faults);
  }

private:
  void expect(bool True, const std::string &Otherwise) {
    if (!True)
      Faults.push_back(Otherwise);
  }

  void readMissing() {
    for (const json &Entry : Body["coverage"]["missing"]) {
      const std::string Shard = Entry["shard"];
      expect(Missing.emplace(Shard, Entry).second, Shard + " is missing twice");
      expect(!Entry.value("reason", "").empty(), Shard + " without a reason");
    }
  }

  void readRows() {
    for (const json &Row : Body["rows"]) {
      expect(Keys[Row["shard"]].insert(Row["key"]).second,
             "a row twice: " + Row.dump());
      expect(Row["version"] == Body["snapshot"]["version"],
             "a row of another version: " + Row.dump());
    }
  }

  void checkTotals() {
    const json &Said = Body["coverage"];
    expect(Said["wanted"] == Partition.size(), "wanted is wrong");
    expect(Said["covered"] == Partition.size() - Missing.size(),
           "covered is wrong");
    expect(Said["complete"] == Missing.empty(), "complete is wrong");
  }

  void checkShard(std::size_t Index) {
    const std::string Shard = Partition[Index]["name"];
    const std::string From = Partition[Index]["from"];
    const bool IsLast = Index + 1 == Partition.size();
    const std::string To =
        IsLast ? std::string()
               : Partition[Index + 1]["from"].get<std::string>();
    const auto Lost = Missing.find(Shard);
    const bool IsMissing = Lost != Missing.end();
    const std::set<std::string> Held = Keys[Shard];
    expect(Held.size() == (IsMissing ? 0 : RowsPerShard),
           absl::StrCat(Shard, " has ", Held.size(), " rows"));
    for (const std::string &Key : Held)
      expect(Key >= From && (IsLast || Key < To),
             absl::StrCat(Key, " is not of ", Shard));
    if (IsMissing)
      expect(Lost->second["from"] == From && Lost->second["to"] == To,
             Shard + " is missing with another range");
    Keys.erase(Shard);
    Missing.erase(Shard);
    if (IsLast)
      expect(Keys.empty() && Missing.empty(), "shards that nobody asked for");
  }

  const json &Body;
  const json &Partition;
  std::map<std::string, json> Missing;
  std::map<std::string, std::set<std::string>> Keys;
  std::vector<std::string> Faults;
};

} // namespace

std::vector<std::string> coverageFaults(const json &Body,
                                        const json &Partition) {
  return CoverageCheck(Body, Partition).run();
}

} // namespace quetzallead
