#ifndef QUETZALLEAD_LOAD_CALLERSESSION_H
#define QUETZALLEAD_LOAD_CALLERSESSION_H

#include "absl/container/flat_hash_map.h"
#include <cstdint>
#include <string>

namespace quetzallead {

/// What one caller holds between its requests.
struct CallerSession {
  /// Value of Quetzallead-Session to send next; empty before the first answer.
  std::string Token;
  /// Unspent ticket for a command; empty if there is none.
  std::string Ticket;
  /// Greatest version by service in the answers that Token descends from.
  absl::flat_hash_map<std::string, std::uint64_t> Seen;

  std::uint64_t seenVersion(const std::string &Service) const {
    const auto It = Seen.find(Service);
    return It == Seen.end() ? 0 : It->second;
  }
};

} // namespace quetzallead

#endif // QUETZALLEAD_LOAD_CALLERSESSION_H
