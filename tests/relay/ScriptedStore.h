#ifndef QUETZALLEAD_TESTS_RELAY_SCRIPTEDSTORE_H
#define QUETZALLEAD_TESTS_RELAY_SCRIPTEDSTORE_H

#include "relay/RevisionedStore.h"
#include <string>
#include <vector>

namespace quetzallead {

/// A store that notes each call; the test answers it when it likes.
class ScriptedStore : public RevisionedStore {
public:
  struct Call {
    std::string What;
    std::string Key;
    std::uint64_t Revision = 0;
    PageDone OnPage;
    ReplyDone OnReply;
    /// Of a watch.
    Duration Wait = absl::ZeroDuration();
  };

  void read(const std::string &Prefix, const std::string &After, bool Stale,
            PageDone Done) override {
    Calls.push_back({Stale ? "read_stale" : "read",
                     After.empty() ? Prefix : After,
                     0,
                     std::move(Done),
                     {}});
  }
  void watch(const std::string &Prefix, std::uint64_t Revision, Duration Wait,
             PageDone Done) override {
    Calls.push_back({"watch", Prefix, Revision, std::move(Done), {}, Wait});
  }
  void grantLease(Duration, ReplyDone Done) override {
    Calls.push_back({"grant", "", 0, {}, std::move(Done)});
  }
  void renewLease(std::uint64_t Lease, ReplyDone Done) override {
    Calls.push_back({"renew", "", Lease, {}, std::move(Done)});
  }
  void endLease(std::uint64_t Lease, ReplyDone Done) override {
    Calls.push_back({"end", "", Lease, {}, std::move(Done)});
  }
  void put(const std::string &Key, const std::string &, std::uint64_t Lease,
           ReplyDone Done) override {
    Calls.push_back({"put", Key, Lease, {}, std::move(Done)});
  }

  /// Answers the last call.
  void page(StoreOutcome Outcome, std::vector<StoreItem> Items = {},
            std::uint64_t Revision = 0, bool More = false) {
    PageDone Done = std::move(Calls.back().OnPage);
    Done(StorePage{Outcome, std::move(Items), More, Revision});
  }
  void reply(StoreOutcome Outcome, std::uint64_t Lease = 0) {
    ReplyDone Done = std::move(Calls.back().OnReply);
    Done(StoreReply{Outcome, Lease});
  }

  std::vector<Call> Calls;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TESTS_RELAY_SCRIPTEDSTORE_H
