#ifndef QUETZALLEAD_TESTS_SUPPORT_JOURNALVIEW_H
#define QUETZALLEAD_TESTS_SUPPORT_JOURNALVIEW_H

#include <nlohmann/json.hpp>
#include <string>

namespace quetzallead {

/// Attempts of the caller's request \p RequestId that a backend server began.
int begunAttempts(const nlohmann::json &Journal, const std::string &RequestId);

/// Commands with the content \p Content that a backend server began.
int begunCommands(const nlohmann::json &Journal, const nlohmann::json &Content);

/// Attempts that \p Server received at \p SinceMs, Unix time, or later.
int receivedSince(const nlohmann::json &Journal, const std::string &Server,
                  double SinceMs);
/// The entries that receivedSince() counts, a line each.
std::string describeReceivedSince(const nlohmann::json &Journal,
                                  const std::string &Server, double SinceMs);

} // namespace quetzallead

#endif // QUETZALLEAD_TESTS_SUPPORT_JOURNALVIEW_H
