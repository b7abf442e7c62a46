#ifndef QUETZALLEAD_DAEMON_QUERYENVIRONMENT_H
#define QUETZALLEAD_DAEMON_QUERYENVIRONMENT_H

namespace quetzallead {

class DecisionRing;
class HttpClient;
class RequestMetrics;
class TimerService;

/// The parts of the daemon that running requests use; all outlive them.
struct QueryEnvironment {
  HttpClient &Client;
  TimerService &Timers;
  DecisionRing &Decisions;
};

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_QUERYENVIRONMENT_H
