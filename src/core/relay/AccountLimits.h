#ifndef QUETZALLEAD_CORE_RELAY_ACCOUNTLIMITS_H
#define QUETZALLEAD_CORE_RELAY_ACCOUNTLIMITS_H

#include "core/relay/ClientAccount.h"
#include "quetzallead/Time.h"
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace quetzallead {

class SharingInstances;

/// Whether a request is within the limit of its account.
struct AccountAdmission {
  bool Admitted = true;
  /// If not: when a token is expected to be available.
  Duration RetryAfter = absl::ZeroDuration();
};

/// Tokens by account name; may be fractions.
using AccountTokens = std::map<std::string, double>;

/// One instance's part of the limits of all client accounts.
///
/// Handles accounts that send more than their limit, and accounts whose callers
/// connect to few instances: each sharing instance owns an equal part of the
/// rate and the burst as a token bucket, and an instance that runs out asks the
/// others, which take the tokens out of their own buckets before they send
/// them. Tokens that are lost on the way are lost, so that the sum never
/// exceeds the limit. Not thread-safe.
class AccountLimits {
public:
  explicit AccountLimits(std::shared_ptr<const SharingInstances> Sharing);

  /// Sets the accounts and their limits. Accounts that stay keep their tokens.
  void updateSheet(const std::vector<ClientAccount> &Accounts, TimePoint Now);

  /// Takes a token for a request on \p Account, if there is one.
  AccountAdmission admit(const std::string &Account, TimePoint Now);
  /// Returns the token of a request that has not been run.
  void refund(const std::string &Account, TimePoint Now);

  /// Whether wants() may be more than empty.
  bool lacksTokens() const { return !Short.empty(); }
  /// Tokens that this instance expects to lack, of accounts that had requests a
  /// moment ago; empty if it lacks none.
  AccountTokens wants(TimePoint Now);
  /// Takes tokens out for another instance that asks for \p Wanted.
  AccountTokens give(const AccountTokens &Wanted, TimePoint Now);
  /// Adds tokens that another instance has given.
  void credit(const AccountTokens &Given, TimePoint Now);

  /// Tokens left on \p Account; infinite if it has no limit.
  double tokens(const std::string &Account, TimePoint Now) const;

private:
  struct Bucket {
    double RatePerSecond = 0;
    double Burst = 0;
    double Tokens = 0;
    TimePoint CountedAt = absl::InfinitePast();
    /// Requests per second, as a moving average at DemandAt.
    double Demand = 0;
    TimePoint DemandAt = absl::InfinitePast();
    /// When the last caller that was refused may return.
    TimePoint LastPlace = absl::InfinitePast();
  };

  double fraction(TimePoint Now) const;
  double capacity(const Bucket &B, TimePoint Now) const;
  /// Brings the tokens up to date.
  void fill(Bucket &B, TimePoint Now) const;
  static double demand(const Bucket &B, TimePoint Now);

  const std::shared_ptr<const SharingInstances> Sharing;
  /// Tokens that an account should have to serve its demand for a moment.
  double goal(const Bucket &B, TimePoint Now) const;

  /// Limited accounts by name.
  std::map<std::string, Bucket> Buckets;
  /// Accounts that had fewer tokens than goal() after their last request.
  std::set<std::string> Short;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_ACCOUNTLIMITS_H
