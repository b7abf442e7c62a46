#ifndef QUETZALLEAD_ROUTINGPOLICY_H
#define QUETZALLEAD_ROUTINGPOLICY_H

#include "quetzallead/NameTable.h"

namespace quetzallead {

/// How a replica is chosen among those that may receive work.
enum class RoutingPolicy {
  ExpectedCompletion, ///< Least expected time to the reply.
  LeastOutstanding,   ///< Fewest own attempts in flight.
  TwoChoices,         ///< The less loaded of two drawn at random.
  RoundRobin,
  Random,
};

inline constexpr NamedValue<RoutingPolicy> RoutingPolicyNames[] = {
    {RoutingPolicy::ExpectedCompletion, "expected_completion"},
    {RoutingPolicy::LeastOutstanding, "least_outstanding"},
    {RoutingPolicy::TwoChoices, "two_choices"},
    {RoutingPolicy::RoundRobin, "round_robin"},
    {RoutingPolicy::Random, "random"},
};

} // namespace quetzallead

#endif // QUETZALLEAD_ROUTINGPOLICY_H
