#ifndef QUETZALLEAD_DAEMON_FLEETSERVICE_H
#define QUETZALLEAD_DAEMON_FLEETSERVICE_H

#include "transport/http/HttpMessage.h"

namespace quetzallead {

/// This instance's place among the others.
class FleetService {
public:
  HttpResponse instances() const { return HttpResponse(); }
};

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_FLEETSERVICE_H
