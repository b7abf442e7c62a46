#ifndef QUETZALLEAD_CORE_COMMAND_COMMANDFINGERPRINT_H
#define QUETZALLEAD_CORE_COMMAND_COMMANDFINGERPRINT_H

#include "absl/strings/string_view.h"
#include <cstdint>

namespace quetzallead {

/// A 128-bit hash that tells commands apart which come with the same ticket.
struct CommandFingerprint {
  std::uint64_t High = 0;
  std::uint64_t Low = 0;

  friend bool operator==(const CommandFingerprint &A,
                         const CommandFingerprint &B) {
    return A.High == B.High && A.Low == B.Low;
  }
};

/// The fingerprint of one command. It covers the session, so that no session
/// is given the remembered answer of another.
CommandFingerprint fingerprintOf(absl::string_view SessionId,
                                 absl::string_view Service,
                                 absl::string_view Body);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_COMMAND_COMMANDFINGERPRINT_H
