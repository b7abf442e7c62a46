#ifndef QUETZALLEAD_TOOLS_MODEL_LOADPATTERN_H
#define QUETZALLEAD_TOOLS_MODEL_LOADPATTERN_H

namespace quetzallead {

struct ModelSetup;

/// A load with what goes wrong in it.
struct LoadPattern {
  const char *Name;
  const char *Summary;
  void (*Apply)(ModelSetup &);
};

} // namespace quetzallead

#endif // QUETZALLEAD_TOOLS_MODEL_LOADPATTERN_H
