#ifndef QUETZALLEAD_DAEMON_FLEETSERVICE_H
#define QUETZALLEAD_DAEMON_FLEETSERVICE_H

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "core/command/IssuerStanding.h"
#include "core/membership/Membership.h"
#include "daemon/FleetHandlers.h"
#include "daemon/PeerCalls.h"
#include "quetzallead/Error.h"
#include "quetzallead/PosixMutex.h"
#include "runtime/TimerService.h"
#include "transport/http/HttpMessage.h"
#include "transport/peer/PeerTransport.h"
#include <atomic>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace quetzallead {

struct Settings;
struct Ticket;

/// This instance's place among the others: membership, links, and calls to
/// instances by name. Thread-safe.
class FleetService {
public:
  FleetService(const Settings &S, std::uint64_t Incarnation,
               TimerService &Timers, FleetHandlers Handlers);
  ~FleetService();

  /// Starts listening for peers and joining the fleet. Fails with Unavailable
  /// if the address cannot be bound.
  Result<void> start(const std::vector<std::string> &PeerKeys);
  /// From now on what other instances say is ignored and nothing is sent.
  void quiesce() { Quiet = true; }
  /// Ends all links. Calls still open end without an answer.
  void stop();

  /// The platform's instance list as it was read last.
  void listed(const std::vector<ListedInstance> &List);
  void sheetInForce(std::uint64_t Revision);
  /// Tells all instances of a backend server.
  void noticeServer(const std::string &Server, ServerNoticeState State);
  /// Tells all instances that this one is leaving.
  void leave();
  /// Tells all instances who answers for this incarnation's tickets.
  void depart(std::vector<std::string> Successors);

  /// Calls the instance \p Name. \p Done is called exactly once.
  void call(const std::string &Name, const std::string &Type,
            nlohmann::json Body, Duration Timeout, PeerCallDone Done);

  /// What is known of the incarnation that issued \p T.
  IssuerStanding standingOf(const Ticket &T) const;
  /// Rank among the live instances of this zone, from 0; none if leaving.
  std::optional<std::size_t> rankOf(const std::string &Duty) const;
  std::vector<std::string> successors(std::size_t Count) const;
  /// Up to \p Count present instances that have a later sheet in force than
  /// \p Revision.
  std::vector<MemberRecord> withLaterSheet(std::uint64_t Revision,
                                           std::size_t Count) const;
  /// This instance and all that it knows of.
  std::vector<MemberRecord> members() const;
  /// Name of this instance.
  std::string self() const;
  /// "ip:port" of the peer listener.
  std::string address() const;
  /// Operators' view of members().
  HttpResponse instances() const;

private:
  /// Something to be sent once a link stands.
  struct Parked {
    PeerFrame Frame;
    /// Empty for a frame that wants no answer.
    PeerCallDone Done;
    TimePoint Deadline;
  };

  void tick(TimePoint Now);
  void perform(MembershipActions Actions);
  void deliver(const SendGossip &Action, TimePoint Now);
  void sendOrPark(const std::string &Name, const std::string &Address,
                  Parked Item);
  void transmit(PeerId Id, Parked Item);
  void sendParked(const std::string &Name, PeerId Id);
  std::optional<PeerId> linkTo(const std::string &Name) const;
  void onConnected(PeerId Id, const PeerIdentity &Peer);
  void onDisconnected(PeerId Id);
  void onConnectFailed(const std::string &Address);
  void onFrame(const PeerFrame &Frame);
  void expireParked(TimePoint Now);
  void updateCount();

  TimerService &Timers;
  const FleetHandlers Handlers;
  const std::vector<std::string> Seeds;
  const std::string Listen;
  mutable PosixMutex Mutex;
  Membership Members ABSL_GUARDED_BY(Mutex);
  absl::flat_hash_map<std::string, PeerId> LinkOf ABSL_GUARDED_BY(Mutex);
  absl::flat_hash_map<PeerId, std::string> NameOf ABSL_GUARDED_BY(Mutex);
  /// By name of the instance.
  absl::flat_hash_map<std::string, std::deque<Parked>>
      ParkedFor ABSL_GUARDED_BY(Mutex);
  std::atomic<bool> Quiet{false};
  int LastCount ABSL_GUARDED_BY(Mutex) = 1;
  std::unique_ptr<PeerTransport> Transport;
  std::shared_ptr<TimerService::Subscription> Ticker;
};

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_FLEETSERVICE_H
