#include "core/session/KeyRing.h"

#include "absl/container/flat_hash_set.h"
#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include <algorithm>

namespace quetzallead {
namespace {

bool isIdCharacter(char C) {
  return absl::ascii_isalnum(static_cast<unsigned char>(C)) || C == '_' ||
         C == '-';
}

bool isWellFormedId(absl::string_view Id) {
  return !Id.empty() && Id.size() <= SigningKey::MaxIdBytes &&
         std::all_of(Id.begin(), Id.end(), isIdCharacter);
}

Result<void> checkKey(const SigningKey &Key) {
  if (!isWellFormedId(Key.Id))
    return fail(ErrorCode::InvalidArgument,
                absl::StrCat("a key's id must be 1 to ", SigningKey::MaxIdBytes,
                             " letters, digits, '_' or '-'"));
  if (Key.Secret.size() < SigningKey::MinSecretBytes)
    return fail(ErrorCode::InvalidArgument,
                absl::StrCat("the secret must have at least ",
                             SigningKey::MinSecretBytes, " bytes"),
                Key.Id);
  return {};
}

bool isOlder(const SigningKey &A, const SigningKey &B) {
  return A.NotBefore < B.NotBefore;
}

} // namespace

Result<KeyRing> KeyRing::make(std::vector<SigningKey> Keys) {
  if (Keys.empty())
    return fail(ErrorCode::InvalidArgument, "at least one key is needed");
  absl::flat_hash_set<std::string> Ids;
  for (const SigningKey &Key : Keys) {
    BOOST_LEAF_CHECK(checkKey(Key));
    if (!Ids.insert(Key.Id).second)
      return fail(ErrorCode::InvalidArgument, "two keys have the same id",
                  Key.Id);
  }
  std::stable_sort(Keys.begin(), Keys.end(), isOlder);
  return KeyRing(std::move(Keys));
}

const SigningKey &KeyRing::signingKey(TimePoint Now) const {
  const SigningKey *Newest = &Keys.front();
  for (const SigningKey &Key : Keys)
    if (Key.NotBefore <= Now)
      Newest = &Key;
  return *Newest;
}

const SigningKey *KeyRing::find(absl::string_view Id) const {
  for (const SigningKey &Key : Keys)
    if (Key.Id == Id)
      return &Key;
  return nullptr;
}

} // namespace quetzallead
