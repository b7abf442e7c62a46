#include "relay/RequestDefect.h"

namespace quetzallead {

unsigned statusOf(RequestDefect Defect) {
  switch (Defect) {
  case RequestDefect::Malformed:
    return 400;
  case RequestDefect::HeadTooLarge:
    return 431;
  case RequestDefect::BodyTooLarge:
    return 413;
  case RequestDefect::Incomplete:
    return 408;
  case RequestDefect::NoMemory:
    return 503;
  }
  return 500;
}

} // namespace quetzallead
