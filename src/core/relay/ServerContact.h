#ifndef QUETZALLEAD_CORE_RELAY_SERVERCONTACT_H
#define QUETZALLEAD_CORE_RELAY_SERVERCONTACT_H

#include "quetzallead/NameTable.h"
#include "quetzallead/Time.h"

namespace quetzallead {

/// The backend servers of all services, as one instance observes them.
struct ServerContactSample {
  /// Servers that accept attempts.
  int Listed = 0;
  /// Those of them that could not be reached any more, or owe a response that
  /// became overdue, after a server was heard from last.
  int Silent = 0;
  /// Those of them that cannot be reached.
  int Unreachable = 0;
};

enum class ContactState {
  InContact,
  Suspected, ///< No server has been heard from for a while; probes are due.
  Lost,      ///< The probes have not been answered either.
  Returning, ///< Servers are heard from again, since recently.
};

inline constexpr NamedValue<ContactState> ContactStateNames[] = {
    {ContactState::InContact, "in_contact"},
    {ContactState::Suspected, "suspected"},
    {ContactState::Lost, "lost"},
    {ContactState::Returning, "returning"},
};

/// Tells whether an instance has lost the backend servers altogether, so that
/// its requests have to go to an instance that has not.
///
/// Handles partitions of one instance from all servers, where connections hang,
/// are reset or are refused, and links that come and go. Servers that are down
/// or slow and zones that are cut off are no loss: any sign of any server
/// disproves it. Several servers have to be silent at once, since each of them
/// may pause. Silence alone only raises a suspicion, as all requests in flight
/// may be long ones; the kernel of a server answers a new connection whatever
/// the server does. After a return the state is kept for a while, longer with
/// each loss. Not thread-safe.
class ServerContact {
public:
  /// An attempt has been sent to a server.
  void onSent(TimePoint Now);
  /// A server has responded, or has accepted a connection.
  void onHeard(TimePoint Now);
  /// Every probe of a suspicion has failed.
  void onProbesFailed(TimePoint Now);
  /// Moves on to the state that \p Sample and the time ask for. Call when
  /// nextCheck() is due and what sockets have received has been handled.
  void advance(const ServerContactSample &Sample, TimePoint Now);

  ContactState state() const { return State; }
  /// Whether requests of other instances can be served. During a return they
  /// are once most servers are reachable: the others may know no better
  /// instance.
  bool servesOthers() const {
    return State == ContactState::Returning ? MostReachable
                                            : State != ContactState::Lost;
  }
  /// When advance() is due if attempts are in flight or servers cannot be
  /// reached; infinite if only onHeard() can change the state.
  TimePoint nextCheck(TimePoint Now) const;
  /// When a server was heard from last.
  TimePoint heardAt() const { return HeardAt; }
  /// Losses since the last long time in contact.
  int losses() const { return Losses; }

private:
  void lose(TimePoint Now);
  /// Since when servers have been silent: the last sign, or the first attempt
  /// after it.
  TimePoint silentSince() const;
  Duration returnTime() const;

  ContactState State = ContactState::InContact;
  TimePoint HeardAt = absl::InfinitePast();
  /// When the first attempt after HeardAt was sent, if there was one.
  TimePoint AwaitedSince = absl::InfinitePast();
  TimePoint SuspectedAt = absl::InfinitePast();
  TimePoint ReturnedAt = absl::InfinitePast();
  /// When the state last became InContact after a loss.
  TimePoint RegainedAt = absl::InfinitePast();
  int Losses = 0;
  /// At the last advance(), most servers were reachable.
  bool MostReachable = false;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_SERVERCONTACT_H
