#ifndef QUETZALLEAD_TOOLS_MODEL_DECISIONPOLICY_H
#define QUETZALLEAD_TOOLS_MODEL_DECISIONPOLICY_H

namespace quetzallead {

struct ModelSetup;

/// A way to decide; differs from the others by its settings only.
struct DecisionPolicy {
  const char *Name;
  const char *Summary;
  void (*Apply)(ModelSetup &);
};

} // namespace quetzallead

#endif // QUETZALLEAD_TOOLS_MODEL_DECISIONPOLICY_H
