#ifndef QUETZALLEAD_LOAD_TIERCALLER_H
#define QUETZALLEAD_LOAD_TIERCALLER_H

#include "load/AnswerChecker.h"
#include "load/LoadSender.h"
#include "load/SessionPool.h"
#include <memory>
#include <string>
#include <vector>

namespace quetzallead {

class HttpClient;
class TimerService;
struct LoadPlan;

/// Sends the requests of a plan to instances of the tier as callers would:
/// each to an instance drawn at random, with the session's latest token.
class TierCaller {
public:
  /// \p Targets are caller listeners, "ip:port". All arguments but the targets
  /// must outlive every call that send() starts.
  static std::unique_ptr<TierCaller> make(const LoadPlan &Plan,
                                          std::vector<std::string> Targets,
                                          HttpClient &Client,
                                          const TimerService &Timer);

  /// Opens every session; returns how many could be opened. Blocks.
  std::size_t openSessions();
  /// Sends the request of \p Next. A command without a ticket is sent once
  /// more with the ticket of the refusal.
  void send(const Arrival &Next, TimePoint Intended, RecordSink Sink);

private:
  struct Exchange;

  TierCaller(const LoadPlan &LoadToSend, std::vector<std::string> Addresses,
             HttpClient &Http, const TimerService &Clock);
  void start(const std::shared_ptr<Exchange> &Request);
  void finish(const std::shared_ptr<Exchange> &Request,
              const struct HttpOutcome &Outcome);

  const LoadPlan &Plan;
  const std::vector<std::string> Targets;
  HttpClient &Client;
  const TimerService &Timer;
  SessionPool Sessions;
  AnswerChecker Checker;
};

} // namespace quetzallead

#endif // QUETZALLEAD_LOAD_TIERCALLER_H
