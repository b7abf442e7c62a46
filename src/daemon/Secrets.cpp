#include "daemon/Secrets.h"
#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "core/base/JsonReader.h"
#include "core/base/JsonText.h"
#include "core/session/SigningKey.h"
#include "runtime/FileText.h"
#include <nlohmann/json.hpp>
#include <sys/stat.h>

namespace quetzallead {

using nlohmann::json;

static constexpr std::size_t MaxSecretsBytes = std::size_t{64} * 1024;
static constexpr std::size_t LeastPeerKeyBytes = 16;
static constexpr std::size_t MaxEncodedBytes = 1024;
static constexpr std::size_t LeastTokenBytes = 16;
static constexpr std::size_t MaxKeys = 16;

static std::string decodeKey(JsonReader &Reader, absl::string_view Key,
                             const std::string &Encoded,
                             std::size_t LeastBytes) {
  std::string Raw;
  if (!absl::Base64Unescape(Encoded, &Raw)) {
    Reader.refuse(Key, "must be base64");
    return std::string();
  }
  if (Raw.size() < LeastBytes)
    Reader.refuse(Key,
                  absl::StrCat("must encode at least ", LeastBytes, " bytes"));
  return Raw;
}

static std::vector<std::string> readPeerKeys(JsonReader &Reader) {
  std::vector<std::string> Keys;
  std::vector<std::string> Encoded =
      Reader.texts("peer_keys", MaxKeys, MaxEncodedBytes);
  for (std::size_t I = 0; I < Encoded.size(); ++I)
    Keys.push_back(decodeKey(Reader, absl::StrCat("peer_keys[", I, "]"),
                             Encoded[I], LeastPeerKeyBytes));
  std::string Single =
      Reader.text("peer_key", 0, MaxEncodedBytes, std::string());
  if (!Single.empty() && !Keys.empty())
    Reader.refuse("peer_key", "must not stand beside peer_keys");
  if (!Single.empty())
    Keys.push_back(decodeKey(Reader, "peer_key", Single, LeastPeerKeyBytes));
  if (Keys.empty())
    Reader.refuse("peer_key", "is missing");
  return Keys;
}

static SessionKey readSessionKey(JsonReader &Reader) {
  SessionKey Key;
  Key.Id = Reader.name("id");
  Key.Secret =
      decodeKey(Reader, "secret", Reader.text("secret", 1, MaxEncodedBytes),
                SigningKey::MinSecretBytes);
  constexpr std::size_t MaxTimeBytes = 64;
  std::string Time = Reader.text("not_before", 0, MaxTimeBytes, std::string());
  std::string ParseFailure;
  if (!Time.empty() &&
      !absl::ParseTime(absl::RFC3339_full, Time, &Key.NotBefore, &ParseFailure))
    Reader.refuse("not_before", "must be a time of RFC 3339");
  Reader.finish();
  return Key;
}

static std::vector<SessionKey> readSessionKeys(JsonReader &Reader) {
  std::vector<SessionKey> Keys;
  for (JsonReader &KeyReader : Reader.objects("session_keys", 1, MaxKeys)) {
    SessionKey Key = readSessionKey(KeyReader);
    for (const SessionKey &Earlier : Keys)
      if (Earlier.Id == Key.Id)
        KeyReader.refuse("id", "stands twice");
    Keys.push_back(std::move(Key));
  }
  return Keys;
}

Result<Secrets> parseSecrets(absl::string_view Text) {
  JsonLimits Limits;
  Limits.MaxBytes = MaxSecretsBytes;
  auto Parsed = capture([&] { return parseJsonText(Text, Limits); });
  // The parser's message may quote the text, so it is not passed on.
  if (std::holds_alternative<Error>(Parsed))
    return fail(ErrorCode::InvalidArgument, "is not well-formed JSON");
  JsonProblem Problem;
  JsonReader Reader(std::get<json>(Parsed), std::string(), Problem);
  Secrets Read;
  Read.PeerKeys = readPeerKeys(Reader);
  Read.OperatorToken =
      Reader.text("operator_token", LeastTokenBytes, MaxEncodedBytes);
  Read.SessionKeys = readSessionKeys(Reader);
  Reader.finish();
  if (Problem)
    return leaf::new_error(*Problem);
  return Read;
}

Result<Secrets> loadSecrets(const std::string &Path) {
  struct stat Status = {};
  if (stat(Path.c_str(), &Status) == 0 && (Status.st_mode & S_IRWXO) != 0)
    return fail(ErrorCode::PermissionDenied,
                "must not be open to other users; use chmod o-rwx", Path);
  Result<std::string> Text = readFileText(Path, MaxSecretsBytes);
  if (!Text)
    return Text.error();
  return namingFile(Path, [&] { return parseSecrets(Text.value()); });
}

} // namespace quetzallead
