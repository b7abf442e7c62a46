#ifndef QUETZALLEAD_DAEMON_COMMANDSERVICE_H
#define QUETZALLEAD_DAEMON_COMMANDSERVICE_H

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "core/command/CommandLedger.h"
#include "daemon/BackendCodec.h"
#include "daemon/CommandJob.h"
#include "daemon/DecisionRecord.h"
#include "daemon/QueryEnvironment.h"
#include "quetzallead/PosixMutex.h"
#include "quetzallead/ReplicaMask.h"
#include "runtime/TimerService.h"
#include "transport/http/HttpMessage.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace quetzallead {

class ClusterDirectory;
struct BackendServerSpec;
struct ForwardedCommand;
struct HttpCall;
struct HttpOutcome;
struct ServiceView;

/// Carries out the command ledger's actions: sends commands to backend servers
/// at most once, forwards those of other issuers to them, and answers callers.
/// Thread-safe.
class CommandService {
public:
  using Completion = std::function<void(HttpResponse)>;
  using AnswerCompletion = std::function<void(CommandAnswer)>;
  /// Sends \p Bytes to the instance \p To; calls back with its answer, or with
  /// nothing if it did not come.
  using Forwarder = std::function<void(
      const std::string &To, std::string Bytes, Duration Timeout,
      std::function<void(std::optional<std::string>)> Done)>;

  CommandService(ClusterDirectory &Directory, QueryEnvironment Env,
                 std::string Instance, std::uint64_t Incarnation,
                 std::shared_ptr<const KeyRing> Keys,
                 CommandLedger::StandingOf Standing, Forwarder Forward);

  /// A ticket to offer to a caller; empty while draining.
  std::string issueTicket(TimePoint Now);
  /// Follows a rotation of the keys.
  void replaceKeys(std::shared_ptr<const KeyRing> Keys);
  /// Runs a command that a caller sent here.
  void run(CommandJob Job, const Completion &OnDone);
  /// Runs a command that another instance forwarded here.
  void runForwarded(ForwardedCommand Command, AnswerCompletion OnDone);

  /// Begins a planned stop; see CommandLedger::drain().
  void drain();
  bool isDrained() const;
  /// Encoded last words, once drained.
  std::vector<std::string> lastWords() const;
  /// Takes the last word of another instance; false if it was not held.
  bool takeOver(absl::string_view Bytes);

private:
  class Attempt;
  struct Pending {
    CommandJob Job;
    TimePoint Deadline;
    bool Forwarded = false;
    std::shared_ptr<const ServiceView> Service;
    std::size_t Shard = 0;
    ReplicaMask Tried = 0;
    AnswerCompletion OnDone;
    DecisionRecord Record;
  };

  void arrive(CommandJob Job, TimePoint Deadline, bool Forwarded,
              AnswerCompletion OnDone);
  /// Feeds one event to the ledger and carries out what follows.
  void dispatch(const std::function<CommandActions(CommandLedger &)> &Feed);
  void answer(AnswerCommand Action);
  void startAttempt(const RunAttempt &Action);
  void forward(const ForwardCommand &Action);
  void onForwarded(std::uint64_t ArrivalId,
                   const std::optional<std::string> &Reply);
  void onPermit(const std::shared_ptr<Attempt> &A, std::size_t Replica,
                TimePoint Now);
  void onExchange(const std::shared_ptr<Attempt> &A, HttpOutcome Outcome);
  void endWaiting(const std::shared_ptr<Attempt> &A);
  void endWithoutReplica(const std::shared_ptr<Attempt> &A);
  static HttpCall makeCall(const Pending &P, const Attempt &A,
                           const BackendServerSpec &Server, TimePoint Now);

  ClusterDirectory &Directory;
  QueryEnvironment Env;
  const Forwarder Forward;
  mutable PosixMutex Mutex;
  CommandLedger Ledger ABSL_GUARDED_BY(Mutex);
  absl::flat_hash_map<std::uint64_t, Pending> Arrivals ABSL_GUARDED_BY(Mutex);
  std::uint64_t NextArrival ABSL_GUARDED_BY(Mutex) = 1;
  std::shared_ptr<TimerService::Subscription> Ticker;
};

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_COMMANDSERVICE_H
