#ifndef QUETZALLEAD_TOOLS_FAKES_SERVERFAULTS_H
#define QUETZALLEAD_TOOLS_FAKES_SERVERFAULTS_H

#include "quetzallead/NameTable.h"
#include "quetzallead/Time.h"
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace quetzallead {

/// What goes wrong with one exchange.
enum class ExchangeFault {
  None,
  WrongId,            ///< The reply names an id that was never sent.
  WrongBodyId,        ///< Only the body names an id that was never sent.
  Crossed,            ///< Two replies change places; the first waits for it.
  Duplicate,          ///< The reply is sent twice.
  Cut,                ///< Closed after CutBytes of the reply.
  CloseMidReply,      ///< Closed after half of the reply.
  Malformed,          ///< The body is not JSON.
  CloseBeforeRead,    ///< Closed before the request is read.
  CloseAfterHeaders,  ///< Closed after the request's headers.
  CloseBeforeExecute, ///< Closed after the whole request, not executed.
  CloseAfterExecute,  ///< Closed after executing, without a reply.
};

inline constexpr NamedValue<ExchangeFault> ExchangeFaultNames[] = {
    {ExchangeFault::None, "none"},
    {ExchangeFault::WrongId, "wrong_id"},
    {ExchangeFault::WrongBodyId, "wrong_body_id"},
    {ExchangeFault::Crossed, "crossed"},
    {ExchangeFault::Duplicate, "duplicate"},
    {ExchangeFault::Cut, "cut"},
    {ExchangeFault::CloseMidReply, "close_mid_reply"},
    {ExchangeFault::Malformed, "malformed"},
    {ExchangeFault::CloseBeforeRead, "close_before_read"},
    {ExchangeFault::CloseAfterHeaders, "close_after_headers"},
    {ExchangeFault::CloseBeforeExecute, "close_before_execute"},
    {ExchangeFault::CloseAfterExecute, "close_after_execute"},
};

/// The faults and the state of one running fake backend server. The names of
/// the JSON form are those of the admin calls.
struct ServerFaults {
  /// "latency_ms", "latency_share": time added to a share of the replies.
  Duration Latency;
  double LatencyShare = 1.0;
  /// "service_time_factor".
  double ServiceTimeFactor = 1.0;
  /// "service_time_ms": replaces the mean of the command line.
  std::optional<Duration> ServiceTime;
  /// "frozen": accepts and reads, and does nothing until it is false again.
  bool Frozen = false;
  /// "shed_share": share of requests refused 429.
  double ShedShare = 0;
  /// "queue_limit": waiting requests beyond it are refused 429.
  std::int64_t QueueLimit = 256;
  /// "draining": new requests are refused 503.
  bool Draining = false;
  /// "starting": new requests are refused 503.
  bool Starting = false;
  /// "cold_requests", "cold_factor": the next N take that many times longer.
  std::int64_t ColdRequests = 0;
  double ColdFactor = 10;
  /// "epoch", "oldest", "newest": what the server holds.
  std::uint64_t Epoch = 1;
  std::uint64_t Oldest = 1;
  std::uint64_t Newest = 1;
  /// "exchange", "exchange_share", "exchange_count": a fault of a share of the
  /// exchanges; with a count it ends by itself after so many.
  ExchangeFault Exchange = ExchangeFault::None;
  double ExchangeShare = 1.0;
  std::optional<std::int64_t> ExchangeCount;
  /// "cut_bytes": bytes of the reply that Cut lets through.
  std::int64_t CutBytes = 0;
  /// "reported_load": replaces the load in every reply and in health.
  nlohmann::json ReportedLoad;
  /// "reported_health": replaces the status of the health reply.
  std::optional<std::string> ReportedHealth;
  /// "refuse_connections": accepts and closes at once.
  bool RefuseConnections = false;
  /// "listening": if false, connecting fails.
  bool Listening = true;
};

/// Sets the fields that \p Patch names; null puts a field back to its default.
/// An empty string, or what is wrong, in which case nothing was changed.
std::string mergeFaults(ServerFaults &Faults, const nlohmann::json &Patch);

nlohmann::json toJson(const ServerFaults &Faults);

} // namespace quetzallead

#endif // QUETZALLEAD_TOOLS_FAKES_SERVERFAULTS_H
