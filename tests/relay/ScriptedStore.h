#ifndef QUETZALLEAD_TESTS_RELAY_SCRIPTEDSTORE_H
#define QUETZALLEAD_TESTS_RELAY_SCRIPTEDSTORE_H

#include "relay/RevisionedStore.h"
#include <string>
#include <vector>

namespace quetzallead {

/// Fake store that records each call; the test completes the latest one with
/// respondPage() or respond().
class ScriptedStore : public RevisionedStore {
public:
  struct Call {
    std::string Method;
    std::string Key;
    std::uint64_t Revision = 0;
    PageCallback OnPage;
    ReplyCallback OnReply;
    /// Set for a watch.
    Duration Wait = absl::ZeroDuration();
    Duration Timeout = absl::ZeroDuration();
  };

  void read(const std::string &Prefix, const std::string &AfterKey,
            bool AllowStale, PageCallback Done) override {
    Calls.push_back({AllowStale ? "read_stale" : "read",
                     AfterKey.empty() ? Prefix : AfterKey,
                     0,
                     std::move(Done),
                     {}});
  }
  void watch(const std::string &Prefix, std::uint64_t Revision, Duration Wait,
             Duration Timeout, PageCallback Done) override {
    Calls.push_back(
        {"watch", Prefix, Revision, std::move(Done), {}, Wait, Timeout});
  }
  void grantLease(Duration, ReplyCallback Done) override {
    Calls.push_back({"grant", "", 0, {}, std::move(Done)});
  }
  void renewLease(std::uint64_t Lease, ReplyCallback Done) override {
    Calls.push_back({"renew", "", Lease, {}, std::move(Done)});
  }
  void endLease(std::uint64_t Lease, ReplyCallback Done) override {
    Calls.push_back({"end", "", Lease, {}, std::move(Done)});
  }
  void put(const std::string &Key, const std::string &, std::uint64_t Lease,
           ReplyCallback Done) override {
    Calls.push_back({"put", Key, Lease, {}, std::move(Done)});
  }
  void create(const std::string &Key, const std::string &,
              ReplyCallback Done) override {
    Calls.push_back({"create", Key, 0, {}, std::move(Done)});
  }

  /// Completes the latest call, a read or watch.
  void respondPage(StoreOutcome Outcome, std::vector<StoreItem> Items = {},
                   std::uint64_t Revision = 0, bool More = false) {
    PageCallback Done = std::move(Calls.back().OnPage);
    Done(StorePage{Outcome, std::move(Items), More, Revision});
  }
  /// Completes the latest call, a lease or write call.
  void respond(StoreOutcome Outcome, std::uint64_t Lease = 0) {
    ReplyCallback Done = std::move(Calls.back().OnReply);
    Done(StoreReply{Outcome, Lease});
  }

  std::vector<Call> Calls;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TESTS_RELAY_SCRIPTEDSTORE_H
