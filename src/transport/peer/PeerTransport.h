#ifndef QUETZALLEAD_TRANSPORT_PEER_PEERTRANSPORT_H
#define QUETZALLEAD_TRANSPORT_PEER_PEERTRANSPORT_H

#include "quetzallead/Error.h"
#include "quetzallead/NameTable.h"
#include "quetzallead/Time.h"
#include "transport/peer/PeerFrame.h"
#include "transport/peer/PeerIdentity.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace quetzallead {

class TimerService;

/// Names one link to one incarnation of a peer; never reused by a process.
using PeerId = std::uint64_t;

/// What came of a call to a peer.
enum class PeerCallStatus {
  Answered, ///< The peer's answer is in the body.
  NotSent,  ///< There was no link: the peer cannot have received the call.
  Lost,     ///< The link broke or the time ran out: unknown.
};

inline constexpr NamedValue<PeerCallStatus> PeerCallStatusNames[] = {
    {PeerCallStatus::Answered, "answered"},
    {PeerCallStatus::NotSent, "not_sent"},
    {PeerCallStatus::Lost, "lost"},
};

/// The end of a call to a peer.
struct PeerCallOutcome {
  PeerCallStatus Status = PeerCallStatus::NotSent;
  /// Valid if Status is Answered.
  nlohmann::json Body;
};

/// Who this instance is and where it listens for peers.
struct PeerTransportOptions {
  /// "ip:port"; port 0 takes a free one.
  std::string Listen;
  /// This instance. An empty address is replaced by the bound one.
  PeerIdentity Self;
  /// Shared keys. Proofs by any of them are accepted; own proofs use the first.
  /// To replace a key, append the new one everywhere, then move it to the
  /// front, then drop the old one.
  std::vector<std::string> Keys;
  /// Outbound bytes that may wait on a link; beyond, the link is dropped.
  std::size_t MaxQueuedBytes = 8 << 20;
  /// Silence after which a ping is sent.
  Duration PingAfter = absl::Seconds(1);
  /// Silence after which a link counts as dead.
  Duration DeadAfter = absl::Milliseconds(2500);
  /// Limit on connection set-up and authentication.
  Duration HandshakeLimit = absl::Seconds(3);
};

/// Totals since the start.
struct PeerTransportCounters {
  std::uint64_t BytesIn = 0;
  std::uint64_t BytesOut = 0;
  std::uint64_t FramesIn = 0;
  std::uint64_t FramesOut = 0;
  /// Connections refused because they spoke no WebSocket or gave no proof.
  std::uint64_t StrangersRefused = 0;
  /// Links closed over an oversized or malformed frame.
  std::uint64_t BadFrames = 0;
  /// Links dropped because too much waited to be sent.
  std::uint64_t QueueOverflows = 0;
  /// Links closed because the peer fell silent.
  std::uint64_t DeadLinks = 0;
};

/// Called on the transport's thread; must not block. Empty ones are skipped.
struct PeerTransportHandlers {
  using Responder = std::function<void(nlohmann::json Body)>;

  /// A link is up. If it replaces another link to the same instance, the other
  /// one's OnDisconnected follows.
  std::function<void(PeerId, const PeerIdentity &)> OnConnected;
  std::function<void(PeerId, const std::string &Reason)> OnDisconnected;
  /// connect() to this address came to nothing.
  std::function<void(const std::string &Address, const std::string &Reason)>
      OnConnectFailed;
  std::function<void(PeerId, PeerFrame)> OnFrame;
  /// A call came in. The responder may be called once, on any thread, also
  /// after the link or the transport is gone; then nothing happens.
  std::function<void(PeerId, PeerFrame, Responder)> OnCall;
  /// Something was refused, for the log: \p Event is a plain word.
  std::function<void(const std::string &Event, const std::string &Remote,
                     const std::string &Detail)>
      OnRefused;
};

/// Links to the other instances, over WebSocket with CBOR frames. Both sides
/// prove a shared key before any other frame is accepted. There is at most one
/// link per pair of instances: of two, the one dialled by the instance whose
/// name sorts first is kept.
class PeerTransport {
public:
  using CallCompletion = std::function<void(PeerCallOutcome)>;

  /// Starts listening. Fails with Unavailable if the address cannot be bound
  /// and with InvalidArgument without a key or a name. \p Timers must outlive
  /// the transport.
  static Result<std::unique_ptr<PeerTransport>>
  make(PeerTransportOptions Options, PeerTransportHandlers Handlers,
       TimerService &Timers);
  /// Closes all links; calls still open end as Lost. Not for use on the
  /// transport's thread.
  virtual ~PeerTransport() = default;

  /// Closes all links and ends the thread; no handler runs afterwards, and
  /// calls have no effect. The destructor does the same. Not thread-safe.
  virtual void stop() = 0;

  /// The bound port.
  virtual int port() const = 0;
  /// Dials \p Address, "ip:port", once. Does nothing if a link to a peer with
  /// that listener stands or is being dialled. Ends in OnConnected,
  /// OnConnectFailed, or, if the link loses against another one, in neither.
  virtual void connect(const std::string &Address) = 0;
  /// Ends the link.
  virtual void disconnect(PeerId Id) = 0;
  /// Queues \p Frame. False if there is no such link, if the frame is larger
  /// than MaxPeerFrameBytes, or if the link was dropped over its queue; true
  /// does not mean that it arrived.
  virtual bool send(PeerId Id, const PeerFrame &Frame) = 0;
  /// Queues \p Frame and waits for the peer's answer. \p Done is called exactly
  /// once, on the transport's thread, or before call() returns with NotSent.
  virtual void call(PeerId Id, const PeerFrame &Frame, Duration Timeout,
                    CallCompletion Done) = 0;
  virtual PeerTransportCounters counters() const = 0;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TRANSPORT_PEER_PEERTRANSPORT_H
