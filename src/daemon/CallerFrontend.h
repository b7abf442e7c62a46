#ifndef QUETZALLEAD_DAEMON_CALLERFRONTEND_H
#define QUETZALLEAD_DAEMON_CALLERFRONTEND_H

#include "core/session/SessionToken.h"
#include "daemon/QueryEnvironment.h"
#include "daemon/RequestContext.h"
#include "daemon/RequestIds.h"
#include "daemon/Settings.h"
#include "transport/http/HttpServer.h"
#include <memory>
#include <optional>
#include <string>

namespace quetzallead {

class ClusterDirectory;
class CommandService;
class DrainGate;
class SessionService;
struct Problem;
struct QueryJob;
struct ServiceView;

/// The interface for callers: reads requests, hands them to queries and
/// commands, and gives each exactly one answer. See docs/PROTOCOLS.md.
class CallerFrontend {
public:
  /// All references must outlive the last answer.
  CallerFrontend(const Settings &S, ClusterDirectory &Directory,
                 QueryEnvironment Env, SessionService &Sessions,
                 CommandService &Commands, DrainGate &Gate,
                 std::uint64_t RandomId);

  void handle(HttpRequest Request, HttpServer::Responder Respond);

private:
  /// One request on its way through.
  struct Exchange;
  using ExchangePtr = std::shared_ptr<Exchange>;

  void route(const ExchangePtr &E);
  void openSession(const ExchangePtr &E);
  void issueTicket(const ExchangePtr &E);
  void survey(const ExchangePtr &E);
  void lookup(const ExchangePtr &E);
  void command(const ExchangePtr &E);
  void runQuery(const ExchangePtr &E, QueryJob Job);
  bool resumeSession(const ExchangePtr &E);
  void count(const Exchange &E, int Status);
  void refuse(const ExchangePtr &E, const Problem &P);
  void finish(const ExchangePtr &E, HttpResponse Response,
              std::uint64_t Version);

  const Settings &Options;
  ClusterDirectory &Directory;
  QueryEnvironment Env;
  SessionService &Sessions;
  CommandService &Commands;
  DrainGate &Gate;
  RequestIds Ids;
};

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_CALLERFRONTEND_H
