#ifndef QUETZALLEAD_DAEMON_QUERYENVIRONMENT_H
#define QUETZALLEAD_DAEMON_QUERYENVIRONMENT_H

#include "quetzallead/AttemptResult.h"
#include <functional>
#include <string>

namespace quetzallead {

class DecisionRing;
class HttpClient;
class Metrics;
class TimerService;
class TraceFile;

/// The parts of the daemon that running requests use; all outlive them.
struct QueryEnvironment {
  HttpClient &Client;
  TimerService &Timers;
  DecisionRing &Decisions;
  TraceFile &Traces;
  Metrics &Meter;
  /// Told of each attempt that says something of its backend server as a whole.
  std::function<void(const std::string &Server, AttemptResult)> OnServerEvent;
};

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_QUERYENVIRONMENT_H
