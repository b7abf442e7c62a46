#include "relay/RejectReason.h"

namespace quetzallead {

unsigned statusOf(RejectReason Reason) {
  switch (Reason) {
  case RejectReason::NoHost:
    return 400;
  case RejectReason::UnknownKey:
    return 401;
  case RejectReason::NoRoute:
    return 404;
  case RejectReason::AccountLimit:
    return 429;
  case RejectReason::NoSheet:
  case RejectReason::NoServers:
  case RejectReason::Stopping:
  case RejectReason::EndsServers:
    break;
  }
  return 503;
}

} // namespace quetzallead
