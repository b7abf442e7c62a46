#ifndef QUETZALLEAD_DAEMON_PEERCALLS_H
#define QUETZALLEAD_DAEMON_PEERCALLS_H

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <optional>

namespace quetzallead {

/// Types of the calls between instances.
inline constexpr const char *CommandCall = "command";
inline constexpr const char *HandoverCall = "handover";
inline constexpr const char *SheetFetchCall = "sheet-fetch";

/// Takes the answer to a call, or nothing if none came.
using PeerCallDone = std::function<void(std::optional<nlohmann::json>)>;

/// Gives the answer to a call that came in.
using PeerResponder = std::function<void(nlohmann::json)>;

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_PEERCALLS_H
