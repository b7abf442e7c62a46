#ifndef QUETZALLEAD_RELAY_REVISIONEDSTORE_H
#define QUETZALLEAD_RELAY_REVISIONEDSTORE_H

#include "core/http/ResponseDefect.h"
#include "quetzallead/Time.h"
#include "relay/StoreItem.h"
#include <cstdint>
#include <functional>
#include <string>

namespace quetzallead {

/// Client of an external key-value store with revisions: reads and watches keys
/// by prefix, and writes keys under leases. Each call runs its callback exactly
/// once, on the event loop.
class RevisionedStore {
public:
  using PageCallback = std::function<void(StorePage)>;
  using ReplyCallback = std::function<void(StoreReply)>;

  virtual ~RevisionedStore() = default;
  /// Called when a response shows that the store has come back from a copy
  /// since the last one, before the callback of its own call; may be empty.
  /// Revisions and leases from before mean nothing any more.
  std::function<void(std::uint64_t Era)> OnNewEra;
  /// Called when a response shows that the store serves calls, before the
  /// callback of its own call; may be empty. A store that turns a call away for
  /// the number of calls serves others.
  std::function<void()> OnServed;
  /// Called when a response was refused; may be empty.
  std::function<void(const std::string &Address, ResponseDefect)> OnRefused;
  /// Reads items whose keys begin with \p Prefix and sort after \p AfterKey.
  /// \p AllowStale permits a response that is seconds old.
  virtual void read(const std::string &Prefix, const std::string &AfterKey,
                    bool AllowStale, PageCallback Done) = 0;
  /// Returns the changes after \p Revision as soon as there are any, or none
  /// after \p Wait. Ends with Unknown if there is no response after
  /// \p Timeout.
  virtual void watch(const std::string &Prefix, std::uint64_t Revision,
                     Duration Wait, Duration Timeout, PageCallback Done) = 0;
  virtual void grantLease(Duration Ttl, ReplyCallback Done) = 0;
  virtual void renewLease(std::uint64_t Lease, ReplyCallback Done) = 0;
  virtual void endLease(std::uint64_t Lease, ReplyCallback Done) = 0;
  virtual void put(const std::string &Key, const std::string &Value,
                   std::uint64_t Lease, ReplyCallback Done) = 0;
  /// Writes a key without a lease; ends with Conflict if it exists.
  virtual void create(const std::string &Key, const std::string &Value,
                      ReplyCallback Done) = 0;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_REVISIONEDSTORE_H
