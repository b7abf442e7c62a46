#include "relay/InstanceRegistry.h"
#include "absl/hash/hash.h"
#include <algorithm>

namespace quetzallead {

/// Time to live of the lease: how long a failed instance is still counted.
static constexpr Duration LeaseTtl = absl::Seconds(15);
/// Interval between lease renewals, short enough that one may fail before the
/// lease expires. Each renewal is followed by a count.
static constexpr Duration RenewInterval = absl::Seconds(5);
/// Delay from registration to the first renewal and count.
static constexpr Duration FirstCountDelay = absl::Seconds(2);
/// Delay before a failed call is retried.
static constexpr Duration RetryDelay = absl::Seconds(1);

InstanceRegistry::InstanceRegistry(RevisionedStore &GivenStore,
                                   LoopTimers &GivenTimers,
                                   std::string GivenPrefix,
                                   std::string GivenName,
                                   std::function<void(int)> GivenOnCount)
    : Store(GivenStore), Timers(GivenTimers), Prefix(std::move(GivenPrefix)),
      Name(std::move(GivenName)), OnCount(std::move(GivenOnCount)),
      Engine(absl::Hash<std::string>()(Name)) {}

void InstanceRegistry::start() { grantLease(); }

void InstanceRegistry::scheduleAdvance(Duration Delay) {
  const double JitterFactor =
      0.75 + 0.5 * (static_cast<double>(Engine()) / 4294967296.0);
  Timer = Timers.at(LoopTimers::now() + Delay * JitterFactor,
                    [this](TimePoint) { advance(); });
}

void InstanceRegistry::advance() {
  if (Deregistered)
    return;
  if (Lease == 0)
    grantLease();
  else if (!Registered)
    putRegistration();
  else
    renewLease();
}

void InstanceRegistry::grantLease() {
  Store.grantLease(LeaseTtl, [this](StoreReply Reply) {
    if (Reply.Outcome != StoreOutcome::Done) {
      scheduleAdvance(RetryDelay);
      return;
    }
    Lease = Reply.Lease;
    putRegistration();
  });
}

void InstanceRegistry::putRegistration() {
  Store.put(Prefix + Name, Name, Lease, [this](StoreReply Reply) {
    if (Reply.Outcome == StoreOutcome::NotFound)
      Lease = 0;
    Registered = Reply.Outcome == StoreOutcome::Done;
    // The delay lets instances that start together all register before the
    // first count.
    scheduleAdvance(Registered ? FirstCountDelay : RetryDelay);
  });
}

void InstanceRegistry::renewLease() {
  Store.renewLease(Lease, [this](StoreReply Reply) {
    if (Reply.Outcome == StoreOutcome::NotFound) {
      Lease = 0;
      Registered = false;
      grantLease();
      return;
    }
    if (Reply.Outcome == StoreOutcome::Done)
      countInstances(std::string(), 0);
    else
      scheduleAdvance(RetryDelay);
  });
}

void InstanceRegistry::countInstances(const std::string &AfterKey,
                                      int CountSoFar) {
  Store.read(Prefix, AfterKey, true, [this, CountSoFar](StorePage Page) {
    const int Total = CountSoFar + static_cast<int>(Page.Items.size());
    if (Page.Outcome == StoreOutcome::Done && Page.HasMore &&
        !Page.Items.empty()) {
      countInstances(Page.Items.back().Key, Total);
      return;
    }
    if (Page.Outcome == StoreOutcome::Done && Total > 0)
      OnCount(Total);
    scheduleAdvance(RenewInterval);
  });
}

void InstanceRegistry::deregister() {
  Deregistered = true;
  Timer.reset();
  if (Lease != 0)
    Store.endLease(Lease, [](StoreReply) {});
}

} // namespace quetzallead
