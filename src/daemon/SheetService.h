#ifndef QUETZALLEAD_DAEMON_SHEETSERVICE_H
#define QUETZALLEAD_DAEMON_SHEETSERVICE_H

#include "transport/http/HttpServer.h"
#include <string>

namespace quetzallead {

class ClusterDirectory;
class TimerService;

/// Puts sheets in force at this instance. Thread-safe.
class SheetService {
public:
  SheetService(ClusterDirectory &Directory, TimerService &Timers);

  void submit(const std::string &Body, const HttpServer::Responder &Respond);
  HttpResponse current() const;
  HttpResponse status() const;
  HttpResponse audit() const;

private:
  ClusterDirectory &Directory;
  TimerService &Timers;
};

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_SHEETSERVICE_H
