#ifndef QUETZALLEAD_CORE_COMMAND_TICKETISSUER_H
#define QUETZALLEAD_CORE_COMMAND_TICKETISSUER_H

#include "core/command/Ticket.h"
#include <atomic>
#include <memory>
#include <string>

namespace quetzallead {

/// Issues the tickets of one incarnation. Keeps nothing of them but the next
/// sequence number. issue() and stop() are safe on any thread.
class TicketIssuer {
public:
  /// Life of a ticket: how long a lost answer can be asked for again.
  static constexpr int LifetimeSeconds = 600;

  /// \p Incarnation must differ between any two starts of \p Instance.
  TicketIssuer(std::string Instance, std::uint64_t Incarnation)
      : Name(std::move(Instance)), OwnIncarnation(Incarnation) {}

  const std::string &instance() const { return Name; }
  std::uint64_t incarnation() const { return OwnIncarnation; }

  /// A new ticket, signed; empty once stopped.
  std::string issue(const KeyRing &Keys, TimePoint Now);
  /// No further ticket is issued.
  void stop() { Stopped = true; }

  /// True if this incarnation issued \p T.
  bool isOwn(const Ticket &T) const {
    return T.Issuer == Name && T.Incarnation == OwnIncarnation;
  }

private:
  std::string Name;
  std::uint64_t OwnIncarnation;
  std::atomic<std::uint64_t> NextSequence{1};
  std::atomic<bool> Stopped{false};
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_COMMAND_TICKETISSUER_H
