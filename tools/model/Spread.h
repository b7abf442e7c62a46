#ifndef QUETZALLEAD_TOOLS_MODEL_SPREAD_H
#define QUETZALLEAD_TOOLS_MODEL_SPREAD_H

namespace quetzallead {

/// A figure over several seeds.
struct Spread {
  double Least = 0;
  double Mean = 0;
  double Most = 0;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TOOLS_MODEL_SPREAD_H
