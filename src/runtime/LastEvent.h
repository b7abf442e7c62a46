#ifndef QUETZALLEAD_RUNTIME_LASTEVENT_H
#define QUETZALLEAD_RUNTIME_LASTEVENT_H

#include "runtime/Logger.h"

namespace quetzallead {

/// Writes a line of level "error" to where the log goes, without its locks and
/// limits, for a process that is about to end.
void logLastEvent(absl::string_view Event,
                  std::initializer_list<LogField> Fields);

} // namespace quetzallead

#endif // QUETZALLEAD_RUNTIME_LASTEVENT_H
