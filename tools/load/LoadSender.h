#ifndef QUETZALLEAD_LOAD_LOADSENDER_H
#define QUETZALLEAD_LOAD_LOADSENDER_H

#include "quetzallead/Time.h"
#include <functional>

namespace quetzallead {

struct Arrival;
struct LoadRecord;

/// Called once with what came of a request, on any thread.
using RecordSink = std::function<void(LoadRecord)>;

/// Sends the request of an arrival without blocking. The time is the intended
/// one, which the latency counts from.
using LoadSender = std::function<void(const Arrival &, TimePoint, RecordSink)>;

} // namespace quetzallead

#endif // QUETZALLEAD_LOAD_LOADSENDER_H
