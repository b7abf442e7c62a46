#ifndef QUETZALLEAD_TOOLS_FAKES_SERVICETIMEMODEL_H
#define QUETZALLEAD_TOOLS_FAKES_SERVICETIMEMODEL_H

#include "quetzallead/NameTable.h"
#include "quetzallead/Time.h"
#include <random>

namespace quetzallead {

/// How service times scatter about their mean.
enum class Jitter {
  None,
  Uniform,     ///< From half to one and a half times the mean.
  Exponential, ///< Memoryless.
  Lognormal,   ///< A few much longer than the rest.
};

inline constexpr NamedValue<Jitter> JitterNames[] = {
    {Jitter::None, "none"},
    {Jitter::Uniform, "uniform"},
    {Jitter::Exponential, "exponential"},
    {Jitter::Lognormal, "lognormal"},
};

/// The distribution that a fake draws its service times from.
struct ServiceTimeModel {
  Duration Mean = absl::Milliseconds(1);
  Jitter Kind = Jitter::None;
};

/// One service time of \p Model.
Duration drawServiceTime(const ServiceTimeModel &Model,
                         std::mt19937_64 &Engine);

} // namespace quetzallead

#endif // QUETZALLEAD_TOOLS_FAKES_SERVICETIMEMODEL_H
