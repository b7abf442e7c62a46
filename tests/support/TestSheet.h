#ifndef QUETZALLEAD_TESTS_SUPPORT_TESTSHEET_H
#define QUETZALLEAD_TESTS_SUPPORT_TESTSHEET_H

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace quetzallead {

class LoopbackAddresses;

/// The service of a test's sheet.
struct TestSheetShape {
  std::vector<std::string> Zones = {"a", "b", "c"};
  /// Shards, at most 26; each has one server in every zone.
  int Shards = 3;
  int Slots = 4;
  int Connections = 100;
  double ConnectMs = 0;
  int TimeoutMs = 5000;
  double LeastCoverage = 1.0;
  int CoverageWaitMs = 5000;
  std::string Hedge = "none";
};

inline constexpr const char *TestService = "register";

/// A sheet document with one service, TestService, that takes all kinds of
/// requests. Shards are called s0, s1, ...; the server of s0 in zone a is
/// called s0-a.
nlohmann::json makeTestSheet(const TestSheetShape &Shape,
                             LoopbackAddresses &Addresses);

/// A key of shard \p Index.
std::string testKey(int Index);

} // namespace quetzallead

#endif // QUETZALLEAD_TESTS_SUPPORT_TESTSHEET_H
