#ifndef QUETZALLEAD_CORE_COMMAND_HANDOVERSTATEMENT_H
#define QUETZALLEAD_CORE_COMMAND_HANDOVERSTATEMENT_H

#include "absl/container/btree_map.h"
#include "absl/strings/string_view.h"
#include "core/command/SpentTicket.h"
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace quetzallead {

/// The last word of an incarnation on its tickets, given in a planned stop once
/// it runs no command any more: of all its tickets just those listed were
/// spent, and none will be spent from now on.
struct HandoverStatement {
  std::string Instance;
  std::uint64_t Incarnation = 0;
  /// Nothing is known of tickets below this sequence; all are expired.
  std::uint64_t Floor = 0;
  /// Spent tickets by sequence.
  absl::btree_map<std::uint64_t, SpentTicket> Spent;

  /// Largest encoded statement, bytes; bodies are left out to stay below.
  static constexpr std::size_t MaxBytes = std::size_t{4} << 20;
};

/// \p Statement in CBOR, at most HandoverStatement::MaxBytes. Times travel as
/// what remains of them at \p Now, since clocks differ.
std::string encodeHandover(const HandoverStatement &Statement, TimePoint Now);

/// The statement in \p Bytes, on the reader's clock; none if malformed.
std::optional<HandoverStatement> decodeHandover(absl::string_view Bytes,
                                                TimePoint Now);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_COMMAND_HANDOVERSTATEMENT_H
