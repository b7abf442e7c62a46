#ifndef QUETZALLEAD_TOOLS_MODEL_DISTURBANCE_H
#define QUETZALLEAD_TOOLS_MODEL_DISTURBANCE_H

#include "quetzallead/NameTable.h"
#include "quetzallead/Time.h"
#include <string>
#include <vector>

namespace quetzallead {

/// What can go wrong in a model.
enum class DisturbanceKind {
  Slow,    ///< Servers take Strength times as long.
  Down,    ///< Servers refuse connections, and lose what they run.
  Shed,    ///< Servers refuse every request.
  Lossy,   ///< Servers lose the share Strength of their answers.
  Load,    ///< Strength times the requests arrive.
  Cut,     ///< Instances reach servers of their own zone only.
  Restart, ///< Instances lose all they know, and all callers they serve.
  Storm,   ///< Callers try again at once, Strength more times.
};

inline constexpr NamedValue<DisturbanceKind> DisturbanceKindNames[] = {
    {DisturbanceKind::Slow, "slow"},       {DisturbanceKind::Down, "down"},
    {DisturbanceKind::Shed, "shed"},       {DisturbanceKind::Lossy, "lossy"},
    {DisturbanceKind::Load, "load"},       {DisturbanceKind::Cut, "cut"},
    {DisturbanceKind::Restart, "restart"}, {DisturbanceKind::Storm, "storm"},
};

struct Disturbance {
  DisturbanceKind Kind = DisturbanceKind::Slow;
  /// From the start of the model.
  Duration At = absl::ZeroDuration();
  Duration For = absl::InfiniteDuration();
  double Strength = 1;
  /// Servers, "shard-replica", or for Cut the zone; drawn by Share if empty.
  std::vector<std::string> Targets;
  /// Part of the servers, or of the instances for Restart.
  double Share = 1;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TOOLS_MODEL_DISTURBANCE_H
