#include "core/relay/AccountTable.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include <cmath>
#include <random>
#include <xxhash.h>

namespace quetzallead {

AccountTable::AccountTable(const std::vector<ClientAccount> &Accounts) {
  for (const ClientAccount &Account : Accounts)
    for (const std::string &Key : Account.Keys)
      ByKey.emplace(hashOf(Key), &Account);
}

AccountTable::KeyHash AccountTable::hashOf(absl::string_view Key) {
  // Seeded, so that nobody can prepare a text with the hash of a key.
  static const std::uint64_t Seed =
      (std::uint64_t{std::random_device()()} << 32) | std::random_device()();
  const XXH128_hash_t Hash =
      XXH3_128bits_withSeed(Key.data(), Key.size(), Seed);
  return {Hash.high64, Hash.low64};
}

const ClientAccount *AccountTable::find(absl::string_view Key) const {
  auto Found = ByKey.find(hashOf(Key));
  return Found != ByKey.end() ? Found->second : nullptr;
}

static bool isRate(double Value) { return std::isfinite(Value) && Value >= 0; }

std::optional<Error>
findAccountFault(const std::vector<ClientAccount> &Accounts) {
  absl::flat_hash_set<absl::string_view> Names;
  absl::flat_hash_map<absl::string_view, absl::string_view> Holders;
  for (const ClientAccount &A : Accounts) {
    if (A.Name.empty())
      return Error{ErrorCode::InvalidArgument, "an account has no name", ""};
    if (!Names.insert(A.Name).second)
      return Error{ErrorCode::InvalidArgument, "two accounts have this name",
                   A.Name};
    if (!isRate(A.RatePerSecond) || !isRate(A.Burst))
      return Error{ErrorCode::InvalidArgument,
                   "rate and burst must be finite and not negative", A.Name};
    for (const std::string &Key : A.Keys) {
      if (Key.empty())
        return Error{ErrorCode::InvalidArgument, "a key is empty", A.Name};
      const auto [Holder, New] = Holders.emplace(Key, A.Name);
      // The key itself is a secret.
      if (!New && Holder->second != A.Name)
        return Error{ErrorCode::InvalidArgument,
                     absl::StrCat("a key is also held by ", Holder->second),
                     A.Name};
    }
  }
  return std::nullopt;
}

} // namespace quetzallead
