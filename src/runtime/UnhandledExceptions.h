#ifndef QUETZALLEAD_RUNTIME_UNHANDLEDEXCEPTIONS_H
#define QUETZALLEAD_RUNTIME_UNHANDLEDEXCEPTIONS_H

namespace quetzallead {

/// Lets an exception that nobody handles be logged, as "unhandled_exception"
/// with its PeerScope, before it ends the process. Call once, after the log has
/// been set up.
void reportUnhandledExceptions();

} // namespace quetzallead

#endif // QUETZALLEAD_RUNTIME_UNHANDLEDEXCEPTIONS_H
