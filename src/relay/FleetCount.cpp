#include "relay/FleetCount.h"
#include "absl/hash/hash.h"
#include <algorithm>

namespace quetzallead {

/// Life of the lease: an instance that is lost is counted this long.
static constexpr Duration LeaseLife = absl::Seconds(15);
/// Between two renewals, so that one may be lost; the count is read with each.
static constexpr Duration RenewPeriod = absl::Seconds(5);
/// From registering to the first count.
static constexpr Duration FirstCountPause = absl::Seconds(2);
/// Before the next try after a failure.
static constexpr Duration FailurePause = absl::Seconds(1);

FleetCount::FleetCount(RevisionedStore &GivenStore, LoopTimers &GivenTimers,
                       std::string GivenPrefix, std::string GivenName,
                       std::function<void(int)> GivenOnCount)
    : Store(GivenStore), Timers(GivenTimers), Prefix(std::move(GivenPrefix)),
      Name(std::move(GivenName)), OnCount(std::move(GivenOnCount)),
      Engine(absl::Hash<std::string>()(Name)) {}

void FleetCount::start() { grant(); }

void FleetCount::later(Duration Pause) {
  const double Spread =
      0.75 + 0.5 * (static_cast<double>(Engine()) / 4294967296.0);
  Timer = Timers.at(LoopTimers::now() + Pause * Spread,
                    [this](TimePoint) { step(); });
}

void FleetCount::step() {
  if (Left)
    return;
  if (Lease == 0)
    grant();
  else if (!Registered)
    put();
  else
    renew();
}

void FleetCount::grant() {
  Store.grantLease(LeaseLife, [this](StoreReply Reply) {
    if (Reply.Outcome != StoreOutcome::Done) {
      later(FailurePause);
      return;
    }
    Lease = Reply.Lease;
    put();
  });
}

void FleetCount::put() {
  Store.put(Prefix + Name, Name, Lease, [this](StoreReply Reply) {
    if (Reply.Outcome == StoreOutcome::NotFound)
      Lease = 0;
    Registered = Reply.Outcome == StoreOutcome::Done;
    // Instances that start together are counted once all have registered.
    later(Registered ? FirstCountPause : FailurePause);
  });
}

void FleetCount::renew() {
  Store.renewLease(Lease, [this](StoreReply Reply) {
    if (Reply.Outcome == StoreOutcome::NotFound) {
      Lease = 0;
      Registered = false;
      grant();
      return;
    }
    if (Reply.Outcome == StoreOutcome::Done)
      count(std::string(), 0);
    else
      later(FailurePause);
  });
}

void FleetCount::count(const std::string &After, int Before) {
  Store.read(Prefix, After, true, [this, Before](StorePage Page) {
    const int Sum = Before + static_cast<int>(Page.Items.size());
    if (Page.Outcome == StoreOutcome::Done && Page.More &&
        !Page.Items.empty()) {
      count(Page.Items.back().Key, Sum);
      return;
    }
    if (Page.Outcome == StoreOutcome::Done && Sum > 0)
      OnCount(Sum);
    later(RenewPeriod);
  });
}

void FleetCount::leave() {
  Left = true;
  Timer.reset();
  if (Lease != 0)
    Store.endLease(Lease, [](StoreReply) {});
}

} // namespace quetzallead
