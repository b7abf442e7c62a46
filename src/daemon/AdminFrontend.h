#ifndef QUETZALLEAD_DAEMON_ADMINFRONTEND_H
#define QUETZALLEAD_DAEMON_ADMINFRONTEND_H

#include "daemon/Settings.h"
#include "transport/http/HttpServer.h"
#include <functional>
#include <memory>
#include <string>

namespace quetzallead {

class ClusterDirectory;
class DecisionRing;
class DrainGate;
class FleetService;
class SheetService;
class TimerService;

/// The parts of the daemon that operators' calls read or change.
struct AdminEnvironment {
  const Settings &Options;
  ClusterDirectory &Directory;
  DecisionRing &Decisions;
  DrainGate &Gate;
  TimerService &Timers;
  SheetService &Sheets;
  FleetService &Fleet;
  /// Begins a planned stop of the process.
  std::function<void()> RequestStop;
};

/// The interface for operators, see docs/PROTOCOLS.md.
class AdminFrontend {
public:
  AdminFrontend(AdminEnvironment Env, std::string OperatorToken);

  void handle(const HttpRequest &Request, const HttpServer::Responder &Respond);

private:
  bool authorized(const HttpRequest &Request) const;
  HttpResponse readiness() const;
  HttpResponse status() const;
  HttpResponse instances() const;
  HttpResponse services() const;
  HttpResponse servers() const;
  HttpResponse explain(const std::string &RequestId) const;

  AdminEnvironment Env;
  const std::string OperatorToken;
};

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_ADMINFRONTEND_H
