#ifndef QUETZALLEAD_RELAY_REVISIONEDSTORE_H
#define QUETZALLEAD_RELAY_REVISIONEDSTORE_H

#include "quetzallead/Time.h"
#include "relay/StoreItem.h"
#include <functional>
#include <string>

namespace quetzallead {

/// A key-value store outside that counts revisions: reads by prefix, waits for
/// changes, and keeps keys under leases. Callbacks run on the event loop, once
/// for each call.
class RevisionedStore {
public:
  using PageDone = std::function<void(StorePage)>;
  using ReplyDone = std::function<void(StoreReply)>;

  virtual ~RevisionedStore() = default;
  /// Items whose keys begin with \p Prefix and lie behind \p After. \p Stale
  /// allows an answer that is seconds old.
  virtual void read(const std::string &Prefix, const std::string &After,
                    bool Stale, PageDone Done) = 0;
  /// Changes after \p Revision, as soon as there is one, or none once \p Wait
  /// is over.
  virtual void watch(const std::string &Prefix, std::uint64_t Revision,
                     Duration Wait, PageDone Done) = 0;
  virtual void grantLease(Duration Life, ReplyDone Done) = 0;
  virtual void renewLease(std::uint64_t Lease, ReplyDone Done) = 0;
  virtual void endLease(std::uint64_t Lease, ReplyDone Done) = 0;
  virtual void put(const std::string &Key, const std::string &Value,
                   std::uint64_t Lease, ReplyDone Done) = 0;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_REVISIONEDSTORE_H
