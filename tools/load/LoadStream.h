#ifndef QUETZALLEAD_LOAD_LOADSTREAM_H
#define QUETZALLEAD_LOAD_LOADSTREAM_H

#include "load/RequestKind.h"
#include "quetzallead/Priority.h"
#include "quetzallead/Time.h"
#include <string>
#include <vector>

namespace quetzallead {

/// One kind of request that arrives at a steady mean rate.
struct LoadStream {
  RequestKind Kind = RequestKind::Survey;
  std::string Service;
  Priority Urgency = Priority::Ordinary;
  /// Mean arrivals per second before the phases' factors.
  double Rate = 1;
  Duration Timeout = absl::Milliseconds(500);
  /// How a survey is merged: "rows", "ordered" or "count".
  std::string Merge = "rows";
  /// Keys that lookups and commands draw from; unused by surveys.
  std::vector<std::string> Keys;
};

} // namespace quetzallead

#endif // QUETZALLEAD_LOAD_LOADSTREAM_H
