#include "core/base/Digest.h"
#include "absl/strings/escaping.h"
#include <openssl/sha.h>

namespace quetzallead {

std::string sha256Hex(absl::string_view Bytes) {
  unsigned char Hash[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char *>(Bytes.data()), Bytes.size(),
         Hash);
  return absl::BytesToHexString(
      absl::string_view(reinterpret_cast<const char *>(Hash), sizeof(Hash)));
}

} // namespace quetzallead
