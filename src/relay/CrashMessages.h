#ifndef QUETZALLEAD_RELAY_CRASHMESSAGES_H
#define QUETZALLEAD_RELAY_CRASHMESSAGES_H

#include "absl/strings/string_view.h"
#include "core/relay/CrashSuspects.h"
#include <optional>
#include <string>
#include <vector>

namespace quetzallead {

/// Target of the requests by which instances exchange crash reports.
inline constexpr char LinkCrashesTarget[] = "/quetzallead/crashes";
/// Reports in one message.
inline constexpr std::size_t MaxCrashReports = 256;

/// Encodes \p Reports as CBOR.
std::string encodeCrashReports(const std::vector<CrashReport> &Reports);

/// Decodes a message of another instance; empty if it is no list of reports.
/// Reports that cannot be read are left out, unknown fields are ignored, and
/// reports beyond MaxCrashReports are dropped.
std::optional<std::vector<CrashReport>>
decodeCrashReports(absl::string_view Bytes);

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_CRASHMESSAGES_H
