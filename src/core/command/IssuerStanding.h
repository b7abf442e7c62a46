#ifndef QUETZALLEAD_CORE_COMMAND_ISSUERSTANDING_H
#define QUETZALLEAD_CORE_COMMAND_ISSUERSTANDING_H

#include <string>
#include <vector>

namespace quetzallead {

/// What membership knows of the incarnation that issued a ticket.
struct IssuerStanding {
  /// True if that incarnation may still answer for its tickets.
  bool Live = false;
  /// Instances that it named as successors in a planned stop; asked in order.
  std::vector<std::string> Successors;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_COMMAND_ISSUERSTANDING_H
