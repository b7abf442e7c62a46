#include "transport/platform/PlatformClient.h"
#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "transport/platform/PlatformReplies.h"
#include <nlohmann/json.hpp>

namespace quetzallead {

using nlohmann::json;

static constexpr std::size_t MaxReplyBytes = std::size_t{16} << 20;
/// Share of the waiting time by which the platform may lengthen it.
static constexpr int WaitJitterDivisor = 16;

/// Percent-encodes all but unreserved characters and '/'.
static std::string encodePath(absl::string_view Text) {
  std::string Out;
  for (char C : Text) {
    auto Byte = static_cast<unsigned char>(C);
    if (absl::ascii_isalnum(Byte) || C == '-' || C == '.' || C == '_' ||
        C == '~' || C == '/')
      Out.push_back(C);
    else
      absl::StrAppend(&Out, "%", absl::Hex(Byte, absl::kZeroPad2));
  }
  return Out;
}

/// As encodePath(), for one segment of a path or a query value.
static std::string encodeSegment(absl::string_view Text) {
  std::string Out;
  for (char C : encodePath(Text)) {
    if (C == '/')
      Out += "%2f";
    else
      Out.push_back(C);
  }
  return Out;
}

static std::string waitQuery(std::uint64_t Index, Duration Wait) {
  return absl::StrCat("?index=", Index,
                      "&wait=", absl::ToInt64Milliseconds(Wait), "ms");
}

/// A completion that hands the typed reading of an answer to \p Done.
template <typename Reply>
static HttpClient::Completion reading(Reply (*Read)(const HttpOutcome &),
                                      std::function<void(Reply)> Done) {
  return [Read, Done = std::move(Done)](const HttpOutcome &Http) {
    Done(Read(Http));
  };
}

PlatformClient::PlatformClient(HttpClient &Http, Options ClientOptions)
    : Client(Http), Opts(std::move(ClientOptions)) {}

HttpCall PlatformClient::makeCall(std::string Method,
                                  std::string Target) const {
  HttpCall Call;
  Call.Method = std::move(Method);
  Call.Address = Opts.Address;
  Call.Target = std::move(Target);
  Call.Timeout = Opts.Timeout;
  Call.MaxResponseBytes = MaxReplyBytes;
  return Call;
}

PlatformClient::CallId PlatformClient::read(const std::string &Key,
                                            KvDone Done) {
  HttpCall Call = makeCall("GET", absl::StrCat("/v1/kv/", encodePath(Key)));
  return Client.start(std::move(Call), reading(readKvReply, std::move(Done)));
}

PlatformClient::CallId PlatformClient::watch(const std::string &Key,
                                             std::uint64_t Index, Duration Wait,
                                             KvDone Done) {
  HttpCall Call = makeCall(
      "GET", absl::StrCat("/v1/kv/", encodePath(Key), waitQuery(Index, Wait)));
  Call.Timeout += Wait + Wait / WaitJitterDivisor;
  return Client.start(std::move(Call), reading(readKvReply, std::move(Done)));
}

PlatformClient::CallId
PlatformClient::putKey(std::string Target, std::string Value, WriteDone Done) {
  HttpCall Call = makeCall("PUT", std::move(Target));
  Call.Body = std::move(Value);
  return Client.start(std::move(Call), reading(readCasReply, std::move(Done)));
}

PlatformClient::CallId PlatformClient::compareAndSwap(const std::string &Key,
                                                      std::string Value,
                                                      std::uint64_t Index,
                                                      WriteDone Done) {
  return putKey(absl::StrCat("/v1/kv/", encodePath(Key), "?cas=", Index),
                std::move(Value), std::move(Done));
}

PlatformClient::CallId PlatformClient::acquire(const std::string &Key,
                                               std::string Value,
                                               std::uint64_t Index,
                                               const std::string &Session,
                                               WriteDone Done) {
  return putKey(absl::StrCat("/v1/kv/", encodePath(Key), "?cas=", Index,
                             "&acquire=", encodeSegment(Session)),
                std::move(Value), std::move(Done));
}

PlatformClient::CallId PlatformClient::put(std::string Target, std::string Body,
                                           WriteDone Done) {
  HttpCall Call = makeCall("PUT", std::move(Target));
  Call.Body = std::move(Body);
  return Client.start(std::move(Call), reading(readPutReply, std::move(Done)));
}

PlatformClient::CallId PlatformClient::createSession(Duration TimeToLive,
                                                     SessionDone Done) {
  HttpCall Call = makeCall("PUT", "/v1/session/create");
  json Body;
  Body["TTL"] = absl::StrCat(absl::ToInt64Seconds(TimeToLive), "s");
  Body["Behavior"] = "delete";
  Call.Body = Body.dump();
  return Client.start(std::move(Call),
                      reading(readSessionReply, std::move(Done)));
}

PlatformClient::CallId PlatformClient::renewSession(const std::string &Session,
                                                    WriteDone Done) {
  return put(absl::StrCat("/v1/session/renew/", encodeSegment(Session)), "",
             std::move(Done));
}

PlatformClient::CallId
PlatformClient::destroySession(const std::string &Session, WriteDone Done) {
  return put(absl::StrCat("/v1/session/destroy/", encodeSegment(Session)), "",
             std::move(Done));
}

PlatformClient::CallId PlatformClient::list(const std::string &Service,
                                            CatalogDone Done) {
  HttpCall Call = makeCall(
      "GET", absl::StrCat("/v1/catalog/service/", encodeSegment(Service)));
  return Client.start(std::move(Call),
                      reading(readCatalogReply, std::move(Done)));
}

PlatformClient::CallId PlatformClient::watchList(const std::string &Service,
                                                 std::uint64_t Index,
                                                 Duration Wait,
                                                 CatalogDone Done) {
  HttpCall Call = makeCall("GET", absl::StrCat("/v1/catalog/service/",
                                               encodeSegment(Service),
                                               waitQuery(Index, Wait)));
  Call.Timeout += Wait + Wait / WaitJitterDivisor;
  return Client.start(std::move(Call),
                      reading(readCatalogReply, std::move(Done)));
}

static std::string enlistBody(const std::string &Service,
                              const CatalogEntry &Entry) {
  std::size_t Colon = Entry.Address.rfind(':');
  std::string Host = Entry.Address.substr(0, Colon);
  int Port = 0;
  if (Colon != std::string::npos)
    (void)absl::SimpleAtoi(Entry.Address.substr(Colon + 1), &Port);
  json Body;
  Body["Node"] = Entry.Node;
  Body["Address"] = Host;
  json &Listed = Body["Service"];
  Listed["Service"] = Service;
  Listed["Address"] = Host;
  Listed["Port"] = Port;
  Listed["Meta"]["zone"] = Entry.Zone;
  Listed["Meta"]["state"] = Entry.Leaving ? "leaving" : "live";
  return Body.dump(-1, ' ', false, json::error_handler_t::replace);
}

PlatformClient::CallId PlatformClient::enlist(const std::string &Service,
                                              const CatalogEntry &Entry,
                                              WriteDone Done) {
  return put("/v1/catalog/register", enlistBody(Service, Entry),
             std::move(Done));
}

PlatformClient::CallId PlatformClient::delist(const std::string &Node,
                                              WriteDone Done) {
  json Body;
  Body["Node"] = Node;
  return put("/v1/catalog/deregister",
             Body.dump(-1, ' ', false, json::error_handler_t::replace),
             std::move(Done));
}

} // namespace quetzallead
