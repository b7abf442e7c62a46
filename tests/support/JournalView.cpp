#include "support/JournalView.h"
#include "absl/strings/match.h"
#include <algorithm>

namespace quetzallead {

using nlohmann::json;

int begunAttempts(const json &Journal, const std::string &RequestId) {
  return static_cast<int>(
      std::count_if(Journal.begin(), Journal.end(), [&](const json &Entry) {
        const std::string Id = Entry["id"];
        return Entry["begun"] == true && absl::StartsWith(Id, RequestId + "-");
      }));
}

int begunCommands(const json &Journal, const json &Content) {
  return static_cast<int>(
      std::count_if(Journal.begin(), Journal.end(), [&](const json &Entry) {
        return Entry["begun"] == true && Entry["command"] == Content;
      }));
}

static bool isReceivedSince(const json &Entry, const std::string &Server,
                            double SinceMs) {
  return Entry["server"] == Server &&
         Entry["received_ms"].get<double>() >= SinceMs;
}

int receivedSince(const json &Journal, const std::string &Server,
                  double SinceMs) {
  return static_cast<int>(
      std::count_if(Journal.begin(), Journal.end(), [&](const json &Entry) {
        return isReceivedSince(Entry, Server, SinceMs);
      }));
}

std::string describeReceivedSince(const json &Journal,
                                  const std::string &Server, double SinceMs) {
  std::string Out;
  for (const json &Entry : Journal)
    if (isReceivedSince(Entry, Server, SinceMs))
      Out += Entry.dump() + "\n";
  return Out;
}

} // namespace quetzallead
