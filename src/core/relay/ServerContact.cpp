#include "core/relay/ServerContact.h"
#include <algorithm>

namespace quetzallead {

/// Silence of all servers that is looked into. Instances with callers hear from
/// a server every few milliseconds.
static constexpr Duration SuspiciousSilence = absl::Milliseconds(50);
/// Servers that have to be silent, or all if fewer are listed.
static constexpr int MinSilentServers = 3;
/// Time within which a server accepts a connection, unless the machine of the
/// instance or the network is overloaded.
static constexpr Duration ProbeTimeout = absl::Milliseconds(120);
/// How long servers must be heard from again after a loss. Doubled with each
/// loss, so that a link that comes and goes is not relied on.
static constexpr Duration MinReturnTime = absl::Milliseconds(250);
static constexpr Duration MaxReturnTime = absl::Seconds(4);
/// A return that has not brought most servers back by then is none.
static constexpr Duration MaxReturning = absl::Seconds(6);
/// Time in contact after which earlier losses are forgotten.
static constexpr Duration LossMemory = absl::Seconds(30);

void ServerContact::onSent(TimePoint Now) {
  if (AwaitedSince <= HeardAt)
    AwaitedSince = Now;
}

TimePoint ServerContact::silentSince() const {
  return std::max(HeardAt, AwaitedSince);
}

void ServerContact::onHeard(TimePoint Now) {
  HeardAt = std::max(HeardAt, Now);
  if (State == ContactState::Suspected) {
    State = ContactState::InContact;
  } else if (State == ContactState::Lost) {
    State = ContactState::Returning;
    ReturnedAt = Now;
  }
}

void ServerContact::onProbesFailed(TimePoint Now) {
  if (State == ContactState::Suspected)
    lose(Now);
}

void ServerContact::lose(TimePoint Now) {
  if (Now - RegainedAt > LossMemory)
    Losses = 0;
  ++Losses;
  MostReachable = false;
  State = ContactState::Lost;
}

Duration ServerContact::returnTime() const {
  const int Doublings = std::clamp(Losses - 1, 0, 8);
  return std::min(MaxReturnTime,
                  MinReturnTime * static_cast<double>(1 << Doublings));
}

void ServerContact::advance(const ServerContactSample &Sample, TimePoint Now) {
  MostReachable = Sample.Unreachable * 2 <= Sample.Listed;
  const bool AllSilent =
      Sample.Listed > 0 && Now - silentSince() >= SuspiciousSilence &&
      Sample.Silent >= std::min(MinSilentServers, Sample.Listed);
  switch (State) {
  case ContactState::InContact:
    if (AllSilent) {
      State = ContactState::Suspected;
      SuspectedAt = Now;
    }
    return;
  case ContactState::Suspected:
    if (Now - SuspectedAt >= ProbeTimeout)
      lose(Now);
    return;
  case ContactState::Lost:
    return;
  case ContactState::Returning:
    if (AllSilent) {
      lose(Now);
    } else if (Now - ReturnedAt >= returnTime() && MostReachable) {
      State = ContactState::InContact;
      RegainedAt = Now;
    } else if (Now - ReturnedAt >= MaxReturning) {
      State = ContactState::Lost;
    }
    return;
  }
}

TimePoint ServerContact::nextCheck(TimePoint Now) const {
  switch (State) {
  case ContactState::InContact:
    return std::max(silentSince(), Now - SuspiciousSilence / 2) +
           SuspiciousSilence;
  case ContactState::Suspected:
    return SuspectedAt + ProbeTimeout;
  case ContactState::Lost:
    break;
  case ContactState::Returning:
    return Now + SuspiciousSilence;
  }
  return absl::InfiniteFuture();
}

} // namespace quetzallead
