#ifndef QUETZALLEAD_TOOLS_FAKES_FAKEDATA_H
#define QUETZALLEAD_TOOLS_FAKES_FAKEDATA_H

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace quetzallead {

/// Names the data of one shard at one version.
struct FakeDataSet {
  std::string Service;
  std::string Shard;
  /// First key of the shard.
  std::string From;
  std::uint64_t Version = 0;
};

/// Rows of each shard.
inline constexpr int FakeRowsPerShard = 3;

/// The rows of \p Data in key order:
/// `{"key", "shard", "version", "value"}`.
nlohmann::json fakeRows(const FakeDataSet &Data);

/// The row of \p Key; every key of the shard's range has one.
nlohmann::json fakeRow(const FakeDataSet &Data, const std::string &Key);

} // namespace quetzallead

#endif // QUETZALLEAD_TOOLS_FAKES_FAKEDATA_H
