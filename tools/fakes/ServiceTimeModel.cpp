#include "fakes/ServiceTimeModel.h"

namespace quetzallead {

/// Spread of the logarithm of the lognormal jitter.
static constexpr double LognormalSigma = 0.5;

static double drawFactor(Jitter Kind, std::mt19937_64 &Engine) {
  switch (Kind) {
  case Jitter::None:
    return 1;
  case Jitter::Uniform:
    return std::uniform_real_distribution<>(0.5, 1.5)(Engine);
  case Jitter::Exponential:
    return std::exponential_distribution<>(1)(Engine);
  case Jitter::Lognormal:
    // The shift of the logarithm keeps the mean at 1.
    return std::lognormal_distribution<>(-LognormalSigma * LognormalSigma / 2,
                                         LognormalSigma)(Engine);
  }
  return 1;
}

Duration drawServiceTime(const ServiceTimeModel &Model,
                         std::mt19937_64 &Engine) {
  return Model.Mean * drawFactor(Model.Kind, Engine);
}

} // namespace quetzallead
