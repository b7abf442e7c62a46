#ifndef QUETZALLEAD_RUNTIME_VERSION_H
#define QUETZALLEAD_RUNTIME_VERSION_H

namespace quetzallead {

/// Version of this build, "major.minor.patch".
inline constexpr const char *Version = QUETZALLEAD_VERSION;

} // namespace quetzallead

#endif // QUETZALLEAD_RUNTIME_VERSION_H
