#include "relay/RequestFingerprint.h"
#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "relay/ForwardedRequest.h"
#include <openssl/sha.h>

namespace quetzallead {

/// Bytes of the digest that are used.
static constexpr std::size_t FingerprintBytes = 16;

std::string requestFingerprint(const ForwardedRequest &Call) {
  if (!Call.Fingerprint.empty())
    return Call.Fingerprint;
  std::string Message;
  // Lengths keep the parts apart.
  for (const std::string *Part :
       {&Call.Method, &Call.Host, &Call.Target, &Call.Body})
    absl::StrAppend(&Message, Part->size(), ":", *Part);
  unsigned char Digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char *>(Message.data()),
         Message.size(), Digest);
  return absl::BytesToHexString(absl::string_view(
      reinterpret_cast<const char *>(Digest), FingerprintBytes));
}

} // namespace quetzallead
