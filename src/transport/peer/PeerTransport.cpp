// The thread sanitizer does not model fences, which the compiler reports; the
// mutex of the library's task queue orders what is posted.
#ifdef __SANITIZE_THREAD__
#define BOOST_ASIO_DISABLE_FENCED_BLOCK
#endif

#include "transport/peer/PeerTransport.h"
#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "runtime/Endpoint.h"
#include "runtime/PeerScope.h"
#include "runtime/TimerService.h"
#include "transport/peer/CheckedPeerResponse.h"
#include "transport/peer/PeerCodec.h"
#include "transport/peer/PeerHandshake.h"
#include "transport/peer/PeerLinkChoice.h"
#include <atomic>
#include <mutex>
#include <thread>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace quetzallead {
namespace {

namespace asio = boost::asio;
namespace opcode = websocketpp::frame::opcode;
namespace closecode = websocketpp::close::status;
using websocketpp::connection_hdl;

constexpr const char *PeerResource = "/peer";
/// Largest frame before the peer has proved its key, bytes.
constexpr std::size_t MaxHandshakeFrameBytes = 4096;
/// Connections that may be authenticating at the same time.
constexpr std::size_t MaxHandshakes = 256;
constexpr long HandshakeTimeoutMs = 3000;
constexpr long CloseTimeoutMs = 1000;
constexpr Duration TickPeriod = absl::Milliseconds(100);
/// Time that the destructor gives the closing handshakes.
constexpr Duration StopLimit = absl::Seconds(1);

// The library's names.
// NOLINTBEGIN(readability-identifier-naming)
struct ServerConfig : websocketpp::config::asio {
  static const std::size_t max_message_size = MaxPeerFrameBytes;
  static const std::size_t max_http_body_size = MaxHandshakeFrameBytes;
  static const long timeout_open_handshake = HandshakeTimeoutMs;
  static const long timeout_close_handshake = CloseTimeoutMs;
};

struct ClientConfig : websocketpp::config::asio_client {
  using response_type = CheckedPeerResponse;
  static const std::size_t max_message_size = MaxPeerFrameBytes;
  static const std::size_t max_http_body_size = MaxHandshakeFrameBytes;
  static const long timeout_open_handshake = HandshakeTimeoutMs;
  static const long timeout_close_handshake = CloseTimeoutMs;
};
// NOLINTEND(readability-identifier-naming)

using Server = websocketpp::server<ServerConfig>;
using Client = websocketpp::client<ClientConfig>;

/// Bytes of a WebSocket frame on the wire; a client's frames carry a mask.
std::size_t wireBytes(std::size_t Payload, bool Masked) {
  constexpr std::size_t MaskBytes = 4;
  std::size_t Header = Payload < 126 ? 2 : Payload < 65536 ? 4 : 10;
  return Header + (Masked ? MaskBytes : 0) + Payload;
}

/// One connection to a peer, from the end of its HTTP upgrade. Only Queued is
/// touched by other threads.
struct Link {
  Link(PeerId LinkId, PeerHandshake Authentication, std::string RemoteAddress)
      : Id(LinkId), Handshake(std::move(Authentication)),
        Remote(std::move(RemoteAddress)) {}

  const PeerId Id;
  PeerHandshake Handshake;
  /// The dialled address, or where the connection came from.
  const std::string Remote;
  TimePoint Opened;
  TimePoint LastReceived;
  TimePoint LastPing;
  bool Announced = false;
  bool Closed = false;
  std::atomic<std::size_t> Queued{0};

  std::function<bool(const std::string &Bytes)> Send;
  std::function<void()> Ping;
  std::function<void(closecode::value, const std::string &Reason)> Close;
  std::function<void(std::size_t Bytes)> LimitFrames;
  std::function<std::size_t()> BufferedBytes;
};

using LinkPtr = std::shared_ptr<Link>;

/// A call that waits for its answer.
struct OpenCall {
  PeerId Peer = 0;
  PeerTransport::CallCompletion Done;
  std::shared_ptr<TimerService::Subscription> Deadline;
};

struct AtomicCounters {
  std::atomic<std::uint64_t> BytesIn{0};
  std::atomic<std::uint64_t> BytesOut{0};
  std::atomic<std::uint64_t> FramesIn{0};
  std::atomic<std::uint64_t> FramesOut{0};
  std::atomic<std::uint64_t> StrangersRefused{0};
  std::atomic<std::uint64_t> BadFrames{0};
  std::atomic<std::uint64_t> QueueOverflows{0};
  std::atomic<std::uint64_t> DeadLinks{0};
};

/// The shared part of the transport. All state without a lock belongs to the
/// one thread that runs Io. Responders and timers hold it weakly.
class PeerHub : public std::enable_shared_from_this<PeerHub> {
public:
  PeerHub(PeerTransportOptions HubOptions, PeerTransportHandlers HubHandlers,
          TimerService &HubTimers)
      : Options(std::move(HubOptions)), Handlers(std::move(HubHandlers)),
        Timers(HubTimers), NextId(1), NextCall(1) {}

  /// Empty on success, else the reason.
  std::string listen(const asio::ip::tcp::endpoint &Endpoint);
  void run();
  void stop();

  int port() const { return Port; }
  void connect(const std::string &Address);
  void disconnect(PeerId Id);
  bool send(PeerId Id, const PeerEnvelope &Envelope);
  void call(PeerId Id, const PeerFrame &Frame, Duration Timeout,
            PeerTransport::CallCompletion Done);
  PeerTransportCounters counters() const;

private:
  void setUpServer();
  void setUpClient();
  void dial(const std::string &Address);
  void onDialFailed(const std::string &Address, const std::string &Reason);
  void onServerFail(const connection_hdl &Handle);
  template <typename Endpoint>
  void openLink(Endpoint &Via, const connection_hdl &Handle,
                PeerHandshake Handshake, const std::string &Remote);
  template <typename Endpoint>
  void bindLink(Endpoint &Via, const connection_hdl &Handle, const LinkPtr &L);

  template <typename MessagePtr>
  void onMessage(const LinkPtr &L, const MessagePtr &Message);
  void onControl(const LinkPtr &L, std::size_t Payload);
  void onClosed(const LinkPtr &L, closecode::value LocalCode);
  void authenticate(const LinkPtr &L, const PeerFrame &Frame);
  void establish(const LinkPtr &L);
  PeerLinkRank rank(const Link &L) const;
  void dispatch(const LinkPtr &L, PeerEnvelope Envelope);
  void dispatchCall(const LinkPtr &L, PeerEnvelope Envelope);

  LinkPtr find(PeerId Id) const;
  void post(std::function<void()> Task);
  void enqueue(const LinkPtr &L, std::string Bytes);
  void write(const LinkPtr &L, const std::string &Bytes);
  void overflow(const LinkPtr &L);
  void drop(const LinkPtr &L, closecode::value Code, const std::string &Reason);
  void refuse(const LinkPtr &L, std::atomic<std::uint64_t> &Counter,
              const char *Event, const std::string &Detail);
  void reportRefused(const char *Event, const std::string &Remote,
                     const std::string &Detail);
  void startCall(const LinkPtr &L, std::uint64_t Call, OpenCall &Open,
                 const std::string &Bytes);
  void endCall(std::uint64_t Call, PeerCallOutcome Outcome);
  void loseCalls(PeerId Id);
  void tick();
  void tickLink(const LinkPtr &L, TimePoint Now);
  void shutDown();

  PeerTransportOptions Options;
  const PeerTransportHandlers Handlers;
  TimerService &Timers;
  asio::io_service Io;
  Server Acceptor;
  Client Dialler;
  int Port = 0;
  std::thread Thread;
  std::shared_ptr<TimerService::Subscription> Ticks;
  std::atomic<bool> TickPosted{false};
  bool ShuttingDown = false;
  AtomicCounters Totals;
  std::atomic<PeerId> NextId;
  std::atomic<std::uint64_t> NextCall;

  /// Every open connection, authenticated or not.
  absl::flat_hash_set<LinkPtr> Links;
  absl::flat_hash_map<std::string, LinkPtr> ByInstance;
  absl::flat_hash_set<std::string> Dialling;
  absl::flat_hash_map<std::uint64_t, OpenCall> Calls;

  mutable std::mutex Lock;
  /// The authenticated links.
  absl::flat_hash_map<PeerId, LinkPtr> Established;
};

template <typename Endpoint> void silence(Endpoint &E) {
  E.clear_access_channels(websocketpp::log::alevel::all);
  E.clear_error_channels(websocketpp::log::elevel::all);
}

template <typename Endpoint> void sendSmallFramesAtOnce(Endpoint &E) {
  E.set_tcp_post_init_handler([&E](const connection_hdl &Handle) {
    websocketpp::lib::error_code Code;
    auto Connection = E.get_con_from_hdl(Handle, Code);
    boost::system::error_code Ignored;
    if (Connection)
      Connection->get_raw_socket().set_option(asio::ip::tcp::no_delay(true),
                                              Ignored);
  });
}

std::string PeerHub::listen(const asio::ip::tcp::endpoint &Endpoint) {
  setUpServer();
  setUpClient();
  websocketpp::lib::error_code Code;
  Acceptor.set_reuse_addr(true);
  Acceptor.listen(Endpoint, Code);
  if (!Code)
    Acceptor.start_accept(Code);
  if (Code)
    return Code.message();
  boost::system::error_code Ignored;
  Port = Acceptor.get_local_endpoint(Ignored).port();
  if (Options.Self.Address.empty())
    Options.Self.Address =
        absl::StrCat(Endpoint.address().to_string(), ":", Port);
  return std::string();
}

void PeerHub::setUpServer() {
  websocketpp::lib::error_code Code;
  silence(Acceptor);
  Acceptor.init_asio(&Io, Code);
  sendSmallFramesAtOnce(Acceptor);
  Acceptor.set_validate_handler([this](const connection_hdl &Handle) {
    websocketpp::lib::error_code Missing;
    auto Connection = Acceptor.get_con_from_hdl(Handle, Missing);
    std::size_t Handshakes = Links.size() - ByInstance.size();
    return Connection && Connection->get_resource() == PeerResource &&
           Handshakes < MaxHandshakes;
  });
  Acceptor.set_fail_handler(
      [this](const connection_hdl &Handle) { onServerFail(Handle); });
  Acceptor.set_open_handler([this](const connection_hdl &Handle) {
    websocketpp::lib::error_code Missing;
    auto Connection = Acceptor.get_con_from_hdl(Handle, Missing);
    if (Connection)
      openLink(Acceptor, Handle,
               PeerHandshake::accept(Options.Self, Options.Keys),
               Connection->get_remote_endpoint());
  });
}

void PeerHub::setUpClient() {
  websocketpp::lib::error_code Code;
  silence(Dialler);
  Dialler.init_asio(&Io, Code);
  sendSmallFramesAtOnce(Dialler);
}

void PeerHub::run() {
  std::weak_ptr<PeerHub> Weak = weak_from_this();
  Ticks = Timers.every(TickPeriod, [Weak](TimePoint) {
    std::shared_ptr<PeerHub> Self = Weak.lock();
    // One tick at a time, however slow the thread is.
    if (Self && !Self->TickPosted.exchange(true))
      Self->post([Raw = Self.get()] { Raw->tick(); });
  });
  Thread = std::thread([this] { Io.run(); });
}

void PeerHub::stop() {
  Ticks.reset();
  post([this] { shutDown(); });
  std::weak_ptr<PeerHub> Weak = weak_from_this();
  auto Limit = Timers.at(Timers.now() + StopLimit, [Weak](TimePoint) {
    if (std::shared_ptr<PeerHub> Self = Weak.lock())
      Self->Io.stop();
  });
  Thread.join();
}

void PeerHub::shutDown() {
  ShuttingDown = true;
  websocketpp::lib::error_code Ignored;
  Acceptor.stop_listening(Ignored);
  std::vector<LinkPtr> Open(Links.begin(), Links.end());
  for (const LinkPtr &L : Open)
    drop(L, closecode::going_away, "stopping");
  // What remains in Io are closing handshakes and unfinished dials.
}

void PeerHub::post(std::function<void()> Task) { Io.post(std::move(Task)); }

void PeerHub::connect(const std::string &Address) {
  post([this, Address] { dial(Address); });
}

void PeerHub::dial(const std::string &Address) {
  if (ShuttingDown || Dialling.contains(Address))
    return;
  for (const auto &Entry : ByInstance)
    if (Entry.second->Handshake.peer().Address == Address)
      return;
  websocketpp::lib::error_code Code;
  auto Connection = Dialler.get_connection(
      absl::StrCat("ws://", Address, PeerResource), Code);
  Dialling.insert(Address);
  if (Code) {
    onDialFailed(Address, Code.message());
    return;
  }
  Connection->set_open_handler([this, Address](const connection_hdl &Handle) {
    openLink(Dialler, Handle, PeerHandshake::dial(Options.Self, Options.Keys),
             Address);
  });
  Connection->set_fail_handler([this, Address](const connection_hdl &Handle) {
    websocketpp::lib::error_code Missing;
    auto Failed = Dialler.get_con_from_hdl(Handle, Missing);
    onDialFailed(Address, Failed ? Failed->get_ec().message() : "failed");
  });
  Dialler.connect(Connection);
}

void PeerHub::onDialFailed(const std::string &Address,
                           const std::string &Reason) {
  Dialling.erase(Address);
  if (Handlers.OnConnectFailed && !ShuttingDown)
    Handlers.OnConnectFailed(Address, Reason);
}

void PeerHub::onServerFail(const connection_hdl &Handle) {
  websocketpp::lib::error_code Missing;
  auto Failed = Acceptor.get_con_from_hdl(Handle, Missing);
  ++Totals.StrangersRefused;
  reportRefused("peer_stranger", Failed ? Failed->get_remote_endpoint() : "",
                Failed ? Failed->get_ec().message() : "");
}

template <typename Endpoint>
void PeerHub::openLink(Endpoint &Via, const connection_hdl &Handle,
                       PeerHandshake Handshake, const std::string &Remote) {
  auto L =
      std::make_shared<Link>(NextId.fetch_add(1), std::move(Handshake), Remote);
  L->Opened = L->LastReceived = L->LastPing = Timers.now();
  bindLink(Via, Handle, L);
  Links.insert(L);
  L->LimitFrames(MaxHandshakeFrameBytes);
  if (L->Handshake.isDialler())
    write(L, encodePeerEnvelope(
                 {PeerFrameKind::Message, 0, L->Handshake.hello()}));
}

template <typename Endpoint>
void PeerHub::bindLink(Endpoint &Via, const connection_hdl &Handle,
                       const LinkPtr &L) {
  auto Connection = Via.get_con_from_hdl(Handle);
  Connection->set_message_handler(
      [this, L](const connection_hdl &,
                typename Endpoint::message_ptr Message) {
        onMessage(L, Message);
      });
  Connection->set_ping_handler(
      [this, L](const connection_hdl &, const std::string &Payload) {
        onControl(L, Payload.size());
        return true;
      });
  Connection->set_pong_handler(
      [this, L](const connection_hdl &, const std::string &Payload) {
        onControl(L, Payload.size());
      });
  Connection->set_close_handler([this, L, &Via](const connection_hdl &Closed) {
    websocketpp::lib::error_code Missing;
    auto Ended = Via.get_con_from_hdl(Closed, Missing);
    onClosed(L,
             Ended ? Ended->get_local_close_code() : closecode::abnormal_close);
  });
  // The link holds its connection weakly; the connection holds the link.
  L->Send = [&Via, Handle](const std::string &Bytes) {
    websocketpp::lib::error_code Code;
    Via.send(Handle, Bytes, opcode::binary, Code);
    return !Code;
  };
  L->Ping = [&Via, Handle] {
    websocketpp::lib::error_code Ignored;
    Via.ping(Handle, std::string(), Ignored);
  };
  L->Close = [&Via, Handle](closecode::value Code, const std::string &Reason) {
    websocketpp::lib::error_code Ignored;
    Via.close(Handle, Code, Reason, Ignored);
  };
  L->LimitFrames = [&Via, Handle](std::size_t Bytes) {
    websocketpp::lib::error_code Missing;
    if (auto Limited = Via.get_con_from_hdl(Handle, Missing))
      Limited->set_max_message_size(Bytes);
  };
  L->BufferedBytes = [&Via, Handle]() -> std::size_t {
    websocketpp::lib::error_code Missing;
    auto Buffering = Via.get_con_from_hdl(Handle, Missing);
    return Buffering ? Buffering->get_buffered_amount() : 0;
  };
}

template <typename MessagePtr>
void PeerHub::onMessage(const LinkPtr &L, const MessagePtr &Message) {
  if (L->Closed)
    return;
  const PeerScope Scope(
      "reading a frame",
      [](const void *Peer) { return static_cast<const Link *>(Peer)->Remote; },
      L.get());
  const std::string &Bytes = Message->get_payload();
  Totals.BytesIn += wireBytes(Bytes.size(), !L->Handshake.isDialler());
  ++Totals.FramesIn;
  L->LastReceived = Timers.now();
  std::optional<PeerEnvelope> Envelope;
  if (Message->get_opcode() == opcode::binary)
    Envelope = decodePeerEnvelope(Bytes);
  if (!Envelope)
    refuse(L, Totals.BadFrames, "peer_bad_frame", "malformed frame");
  else if (L->Announced)
    dispatch(L, std::move(*Envelope));
  else
    authenticate(L, Envelope->Frame);
}

void PeerHub::onControl(const LinkPtr &L, std::size_t Payload) {
  Totals.BytesIn += wireBytes(Payload, !L->Handshake.isDialler());
  L->LastReceived = Timers.now();
}

void PeerHub::onClosed(const LinkPtr &L, closecode::value LocalCode) {
  if (!L->Closed && LocalCode == closecode::message_too_big)
    refuse(L, Totals.BadFrames, "peer_bad_frame", "oversized frame");
  else if (!L->Closed && LocalCode == closecode::protocol_error)
    refuse(L, Totals.BadFrames, "peer_bad_frame", "protocol error");
  else
    drop(L, closecode::normal, "closed");
}

void PeerHub::authenticate(const LinkPtr &L, const PeerFrame &Frame) {
  std::optional<PeerFrame> Reply = L->Handshake.receive(Frame);
  if (L->Handshake.state() == PeerHandshake::State::Failed) {
    refuse(L, Totals.StrangersRefused, "peer_stranger", L->Handshake.defect());
    return;
  }
  if (Reply)
    write(L,
          encodePeerEnvelope({PeerFrameKind::Message, 0, std::move(*Reply)}));
  if (L->Handshake.state() == PeerHandshake::State::Done)
    establish(L);
}

PeerLinkRank PeerHub::rank(const Link &L) const {
  const PeerIdentity &Peer = L.Handshake.peer();
  bool SelfIsFirst = Options.Self.Instance < Peer.Instance;
  return {Peer.Incarnation, SelfIsFirst == L.Handshake.isDialler()};
}

void PeerHub::establish(const LinkPtr &L) {
  if (L->Handshake.isDialler())
    Dialling.erase(L->Remote);
  LinkPtr &Slot = ByInstance[L->Handshake.peer().Instance];
  LinkPtr Replaced = Slot;
  if (Replaced && !replacesLink(rank(*L), rank(*Replaced))) {
    drop(L, closecode::normal, "another link stands");
    return;
  }
  Slot = L;
  L->Announced = true;
  L->LimitFrames(MaxPeerFrameBytes);
  {
    std::lock_guard<std::mutex> Guard(Lock);
    Established.emplace(L->Id, L);
  }
  if (Handlers.OnConnected)
    Handlers.OnConnected(L->Id, L->Handshake.peer());
  if (Replaced)
    drop(Replaced, closecode::normal, "replaced by another link");
}

void PeerHub::dispatch(const LinkPtr &L, PeerEnvelope Envelope) {
  switch (Envelope.Kind) {
  case PeerFrameKind::Message:
    if (Handlers.OnFrame)
      Handlers.OnFrame(L->Id, std::move(Envelope.Frame));
    return;
  case PeerFrameKind::Call:
    dispatchCall(L, std::move(Envelope));
    return;
  case PeerFrameKind::Answer:
    auto Found = Calls.find(Envelope.CallId);
    // Only the peer that was asked may answer.
    if (Found != Calls.end() && Found->second.Peer == L->Id)
      endCall(Envelope.CallId,
              {PeerCallStatus::Answered, std::move(Envelope.Frame.Body)});
    return;
  }
}

void PeerHub::dispatchCall(const LinkPtr &L, PeerEnvelope Envelope) {
  if (!Handlers.OnCall)
    return;
  std::weak_ptr<PeerHub> Weak = weak_from_this();
  std::string Type = Envelope.Frame.Type;
  Handlers.OnCall(
      L->Id, std::move(Envelope.Frame),
      [Weak, Id = L->Id, Call = Envelope.CallId, Type](nlohmann::json Body) {
        if (std::shared_ptr<PeerHub> Self = Weak.lock())
          Self->send(Id,
                     {PeerFrameKind::Answer, Call, {Type, std::move(Body)}});
      });
}

LinkPtr PeerHub::find(PeerId Id) const {
  std::lock_guard<std::mutex> Guard(Lock);
  auto Found = Established.find(Id);
  return Found == Established.end() ? nullptr : Found->second;
}

void PeerHub::disconnect(PeerId Id) {
  if (LinkPtr L = find(Id))
    post([this, L] { drop(L, closecode::normal, "disconnected"); });
}

bool PeerHub::send(PeerId Id, const PeerEnvelope &Envelope) {
  LinkPtr L = find(Id);
  if (!L)
    return false;
  std::string Bytes = encodePeerEnvelope(Envelope);
  if (Bytes.size() > MaxPeerFrameBytes)
    return false;
  if (L->Queued + Bytes.size() > Options.MaxQueuedBytes) {
    post([this, L] { overflow(L); });
    return false;
  }
  enqueue(L, std::move(Bytes));
  return true;
}

void PeerHub::enqueue(const LinkPtr &L, std::string Bytes) {
  L->Queued += Bytes.size();
  post([this, L, Moved = std::move(Bytes)] {
    L->Queued -= Moved.size();
    write(L, Moved);
  });
}

void PeerHub::write(const LinkPtr &L, const std::string &Bytes) {
  if (L->Closed || !L->Send(Bytes))
    return;
  Totals.BytesOut += wireBytes(Bytes.size(), L->Handshake.isDialler());
  ++Totals.FramesOut;
  if (L->BufferedBytes() > Options.MaxQueuedBytes)
    overflow(L);
}

void PeerHub::overflow(const LinkPtr &L) {
  if (L->Closed)
    return;
  ++Totals.QueueOverflows;
  drop(L, closecode::try_again_later, "too much waits to be sent");
}

void PeerHub::drop(const LinkPtr &L, closecode::value Code,
                   const std::string &Reason) {
  if (L->Closed)
    return;
  L->Closed = true;
  Links.erase(L);
  auto Found = ByInstance.find(L->Handshake.peer().Instance);
  if (Found != ByInstance.end() && Found->second == L)
    ByInstance.erase(Found);
  {
    std::lock_guard<std::mutex> Guard(Lock);
    Established.erase(L->Id);
  }
  L->Close(Code, Reason);
  loseCalls(L->Id);
  if (L->Announced && Handlers.OnDisconnected && !ShuttingDown)
    Handlers.OnDisconnected(L->Id, Reason);
  if (!L->Announced && L->Handshake.isDialler() &&
      L->Handshake.state() != PeerHandshake::State::Done)
    onDialFailed(L->Remote, Reason);
}

void PeerHub::refuse(const LinkPtr &L, std::atomic<std::uint64_t> &Counter,
                     const char *Event, const std::string &Detail) {
  ++Counter;
  reportRefused(Event, L->Remote, Detail);
  drop(L, closecode::policy_violation, Detail);
}

void PeerHub::reportRefused(const char *Event, const std::string &Remote,
                            const std::string &Detail) {
  if (Handlers.OnRefused && !ShuttingDown)
    Handlers.OnRefused(Event, Remote, Detail);
}

void PeerHub::call(PeerId Id, const PeerFrame &Frame, Duration Timeout,
                   PeerTransport::CallCompletion Done) {
  std::uint64_t Call = NextCall.fetch_add(1);
  std::string Bytes = encodePeerEnvelope({PeerFrameKind::Call, Call, Frame});
  LinkPtr L = find(Id);
  if (!L || Bytes.size() > MaxPeerFrameBytes ||
      L->Queued + Bytes.size() > Options.MaxQueuedBytes) {
    Done({PeerCallStatus::NotSent, nullptr});
    return;
  }
  std::weak_ptr<PeerHub> Weak = weak_from_this();
  OpenCall Open;
  Open.Peer = Id;
  Open.Done = std::move(Done);
  Open.Deadline = Timers.at(Timers.now() + Timeout, [Weak, Call](TimePoint) {
    if (std::shared_ptr<PeerHub> Self = Weak.lock())
      Self->post([Raw = Self.get(), Call] {
        Raw->endCall(Call, {PeerCallStatus::Lost, nullptr});
      });
  });
  L->Queued += Bytes.size();
  post([this, L, Call, Shared = std::make_shared<OpenCall>(std::move(Open)),
        Moved = std::move(Bytes)] { startCall(L, Call, *Shared, Moved); });
}

void PeerHub::startCall(const LinkPtr &L, std::uint64_t Call, OpenCall &Open,
                        const std::string &Bytes) {
  L->Queued -= Bytes.size();
  if (L->Closed) {
    Open.Done({PeerCallStatus::NotSent, nullptr});
    return;
  }
  Calls.emplace(Call, std::move(Open));
  write(L, Bytes);
}

void PeerHub::endCall(std::uint64_t Call, PeerCallOutcome Outcome) {
  auto Found = Calls.find(Call);
  if (Found == Calls.end())
    return;
  OpenCall Ended = std::move(Found->second);
  Calls.erase(Found);
  Ended.Done(std::move(Outcome));
}

void PeerHub::loseCalls(PeerId Id) {
  std::vector<std::uint64_t> Lost;
  for (const auto &Entry : Calls)
    if (Entry.second.Peer == Id)
      Lost.push_back(Entry.first);
  for (std::uint64_t Call : Lost)
    endCall(Call, {PeerCallStatus::Lost, nullptr});
}

void PeerHub::tick() {
  TickPosted = false;
  TimePoint Now = Timers.now();
  std::vector<LinkPtr> Open(Links.begin(), Links.end());
  for (const LinkPtr &L : Open)
    tickLink(L, Now);
}

void PeerHub::tickLink(const LinkPtr &L, TimePoint Now) {
  if (!L->Announced) {
    if (Now - L->Opened > Options.HandshakeLimit)
      refuse(L, Totals.StrangersRefused, "peer_stranger", "no proof in time");
    return;
  }
  if (Now - L->LastReceived > Options.DeadAfter) {
    ++Totals.DeadLinks;
    drop(L, closecode::going_away, "the peer fell silent");
    return;
  }
  if (Now - L->LastReceived < Options.PingAfter ||
      Now - L->LastPing < Options.PingAfter)
    return;
  L->LastPing = Now;
  L->Ping();
  Totals.BytesOut += wireBytes(0, L->Handshake.isDialler());
}

PeerTransportCounters PeerHub::counters() const {
  PeerTransportCounters Out;
  Out.BytesIn = Totals.BytesIn;
  Out.BytesOut = Totals.BytesOut;
  Out.FramesIn = Totals.FramesIn;
  Out.FramesOut = Totals.FramesOut;
  Out.StrangersRefused = Totals.StrangersRefused;
  Out.BadFrames = Totals.BadFrames;
  Out.QueueOverflows = Totals.QueueOverflows;
  Out.DeadLinks = Totals.DeadLinks;
  return Out;
}

/// The caller's handle; ends the hub's thread when it goes.
class WebSocketPeerTransport : public PeerTransport {
public:
  explicit WebSocketPeerTransport(std::shared_ptr<PeerHub> SharedHub)
      : Hub(std::move(SharedHub)) {
    Hub->run();
  }
  ~WebSocketPeerTransport() override { WebSocketPeerTransport::stop(); }

  void stop() override {
    if (!Stopped)
      Hub->stop();
    Stopped = true;
  }

  int port() const override { return Hub->port(); }
  void connect(const std::string &Address) override { Hub->connect(Address); }
  void disconnect(PeerId Id) override { Hub->disconnect(Id); }
  bool send(PeerId Id, const PeerFrame &Frame) override {
    return Hub->send(Id, {PeerFrameKind::Message, 0, Frame});
  }
  void call(PeerId Id, const PeerFrame &Frame, Duration Timeout,
            CallCompletion Done) override {
    Hub->call(Id, Frame, Timeout, std::move(Done));
  }
  PeerTransportCounters counters() const override { return Hub->counters(); }

private:
  std::shared_ptr<PeerHub> Hub;
  bool Stopped = false;
};

} // namespace

Result<std::unique_ptr<PeerTransport>>
PeerTransport::make(PeerTransportOptions Options,
                    PeerTransportHandlers Handlers, TimerService &Timers) {
  if (Options.Keys.empty() || Options.Self.Instance.empty() ||
      Options.Self.Zone.empty())
    return fail(ErrorCode::InvalidArgument,
                "the peer transport needs a key, an instance name and a zone");
  std::string Listen = Options.Listen;
  BOOST_LEAF_AUTO(Endpoint, parseEndpoint(Listen));
  auto Hub = std::make_shared<PeerHub>(std::move(Options), std::move(Handlers),
                                       Timers);
  std::string Defect = Hub->listen(Endpoint);
  if (!Defect.empty())
    return fail(ErrorCode::Unavailable, absl::StrCat("cannot listen: ", Defect),
                std::move(Listen));
  return std::unique_ptr<PeerTransport>(
      std::make_unique<WebSocketPeerTransport>(std::move(Hub)));
}

} // namespace quetzallead
