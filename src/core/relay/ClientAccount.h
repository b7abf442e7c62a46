#ifndef QUETZALLEAD_CORE_RELAY_CLIENTACCOUNT_H
#define QUETZALLEAD_CORE_RELAY_CLIENTACCOUNT_H

#include <string>
#include <vector>

namespace quetzallead {

/// A customer of the callers' side: whose requests count together.
struct ClientAccount {
  std::string Name;
  /// Secrets by which callers prove that they act for the account. Must not be
  /// logged or sent to a backend server.
  std::vector<std::string> Keys;
  /// Precedes the priority of the route; 0 is served first.
  int Priority = 0;
  /// Requests per second over all instances; 0 for no limit.
  double RatePerSecond = 0;
  /// Requests that may exceed RatePerSecond for a short time.
  double Burst = 0;
  /// Regions that requests of the account may reach; empty for all.
  std::vector<std::string> Regions;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_CLIENTACCOUNT_H
