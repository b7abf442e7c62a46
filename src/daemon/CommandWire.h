#ifndef QUETZALLEAD_DAEMON_COMMANDWIRE_H
#define QUETZALLEAD_DAEMON_COMMANDWIRE_H

#include "absl/strings/string_view.h"
#include "core/command/CommandAnswer.h"
#include "daemon/CommandJob.h"
#include "quetzallead/Time.h"
#include <optional>
#include <string>

namespace quetzallead {

/// A command on its way to the instance that issued its ticket, in CBOR. The
/// deadline travels as the time that remains at \p Now.
std::string encodeCommand(const CommandJob &Job, TimePoint Deadline,
                          TimePoint Now);

/// A forwarded command and its deadline on the receiver's clock.
struct ForwardedCommand {
  CommandJob Job;
  TimePoint Deadline;
};

/// Nothing if \p Bytes are malformed.
std::optional<ForwardedCommand> decodeCommand(absl::string_view Bytes,
                                              TimePoint Now);

/// The issuer's answer to a forwarded command, in CBOR.
std::string encodeCommandAnswer(const CommandAnswer &Answer);
std::optional<CommandAnswer> decodeCommandAnswer(absl::string_view Bytes);

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_COMMANDWIRE_H
