#include "core/session/SignedText.h"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "core/session/KeyRing.h"
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace quetzallead {
namespace {

constexpr char Separator = '.';

/// The signature, in base64url, of the text "key id.payload" for one kind.
std::string signatureOf(const SigningKey &Key, SignedKind Kind,
                        absl::string_view SignedPart) {
  const std::string Message =
      absl::StrCat(nameOf(SignedKindNames, Kind), ":", SignedPart);
  unsigned char Mac[EVP_MAX_MD_SIZE];
  unsigned MacBytes = 0;
  HMAC(EVP_sha256(), Key.Secret.data(), static_cast<int>(Key.Secret.size()),
       reinterpret_cast<const unsigned char *>(Message.data()), Message.size(),
       Mac, &MacBytes);
  return absl::WebSafeBase64Escape(
      absl::string_view(reinterpret_cast<const char *>(Mac), MacBytes));
}

bool equalInConstantTime(absl::string_view A, absl::string_view B) {
  return A.size() == B.size() &&
         CRYPTO_memcmp(A.data(), B.data(), A.size()) == 0;
}

} // namespace

leaf::error_id failToken(TokenFault Fault, SignedKind Kind) {
  const std::string Message =
      absl::StrCat("the ", nameOf(SignedKindNames, Kind),
                   " is refused: ", nameOf(TokenFaultNames, Fault));
  return leaf::new_error(Error{ErrorCode::PermissionDenied, Message, ""},
                         Fault);
}

std::string signText(const KeyRing &Keys, SignedKind Kind,
                     absl::string_view Payload, TimePoint Now) {
  const SigningKey &Key = Keys.signingKey(Now);
  const std::string SignedPart =
      absl::StrCat(Key.Id, ".", absl::WebSafeBase64Escape(Payload));
  return absl::StrCat(SignedPart, ".", signatureOf(Key, Kind, SignedPart));
}

Result<std::string> verifyText(const KeyRing &Keys, SignedKind Kind,
                               absl::string_view Text) {
  if (Text.size() > MaxSignedTextBytes)
    return failToken(TokenFault::Oversized, Kind);
  const std::size_t PayloadStart = Text.find(Separator);
  const std::size_t SignatureStart = Text.rfind(Separator);
  if (PayloadStart == absl::string_view::npos || PayloadStart == SignatureStart)
    return failToken(TokenFault::Malformed, Kind);
  const SigningKey *Key = Keys.find(Text.substr(0, PayloadStart));
  if (!Key)
    return failToken(TokenFault::UnknownKey, Kind);
  // The signature covers the encoded payload and is compared in its encoded
  // form: a second encoding of the same bytes is not accepted.
  const std::string Expected =
      signatureOf(*Key, Kind, Text.substr(0, SignatureStart));
  if (!equalInConstantTime(Expected, Text.substr(SignatureStart + 1)))
    return failToken(TokenFault::BadSignature, Kind);
  std::string Payload;
  if (!absl::WebSafeBase64Unescape(
          Text.substr(PayloadStart + 1, SignatureStart - PayloadStart - 1),
          &Payload))
    return failToken(TokenFault::Malformed, Kind);
  return Payload;
}

} // namespace quetzallead
