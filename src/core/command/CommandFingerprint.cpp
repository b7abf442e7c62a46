#include "core/command/CommandFingerprint.h"

#include "absl/strings/str_cat.h"
#include <string>
#include <xxhash.h>

namespace quetzallead {

CommandFingerprint fingerprintOf(absl::string_view SessionId,
                                 absl::string_view Service,
                                 absl::string_view Body) {
  // Lengths go in front, so that no two divisions of the text are the same.
  const std::string Text = absl::StrCat(SessionId.size(), ",", Service.size(),
                                        ",", SessionId, Service, Body);
  const XXH128_hash_t Hash = XXH3_128bits(Text.data(), Text.size());
  return CommandFingerprint{Hash.high64, Hash.low64};
}

} // namespace quetzallead
