#include "fakes/FakePlatform.h"
#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "fakes/Catalog.h"
#include "fakes/FakeExchange.h"
#include "fakes/FakeHttpListener.h"
#include "fakes/FakeLoop.h"
#include "fakes/KeyValueStore.h"
#include "fakes/PlatformFaults.h"
#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace quetzallead {
namespace {

using nlohmann::json;
using ExchangePtr = std::shared_ptr<FakeExchange>;

/// Largest value of a key, bytes.
constexpr std::size_t MaxValueBytes = 1 << 20;
/// Longest time that a watch waits.
constexpr Duration MaxWait = absl::Minutes(10);
constexpr Duration DefaultWait = absl::Minutes(5);

/// A lease on keys.
struct Session {
  Duration Ttl;
  bool DeleteKeys = false;
  FakeLoop::TimerId Expiry = 0;
};

/// A blocking query that waits for a change.
struct Watch {
  ExchangePtr Exchange;
  /// Index that the answer must exceed.
  std::uint64_t Index = 0;
  FakeLoop::TimerId Timeout = 0;
};

using WatchPtr = std::shared_ptr<Watch>;

HttpResponse jsonResponse(int Status, const json &Body) {
  HttpResponse Response;
  Response.Status = Status;
  Response.Headers.add("Content-Type", "application/json");
  Response.Body = Body.dump();
  return Response;
}

HttpResponse textResponse(int Status, std::string Text) {
  HttpResponse Response;
  Response.Status = Status;
  Response.Body = std::move(Text);
  return Response;
}

std::string queryOf(const HttpRequest &Request, absl::string_view Name) {
  const std::string *Value = Request.Query.find(Name);
  return Value == nullptr ? std::string() : *Value;
}

std::optional<std::uint64_t> numberOf(const std::string &Text) {
  std::uint64_t Number = 0;
  if (!absl::SimpleAtoi(Text, &Number))
    return std::nullopt;
  return Number;
}

Duration durationOf(const std::string &Text, Duration Otherwise) {
  Duration Parsed;
  return absl::ParseDuration(Text, &Parsed) ? Parsed : Otherwise;
}

class Platform final : public FakePlatform {
public:
  explicit Platform(FakeLoop &EventLoop) : Loop(EventLoop) {}

  Result<void> start(const FakePlatformOptions &Opts);
  std::string address() const override { return Calls->address(); }
  std::string adminAddress() const override { return Admin->address(); }

private:
  void onCall(const ExchangePtr &Exchange);
  void apply(const ExchangePtr &Exchange);
  void answer(const ExchangePtr &Exchange, const HttpResponse &Response);
  void count(absl::string_view Kind);

  void onKey(const ExchangePtr &Exchange, const std::string &Key);
  void writeKey(const ExchangePtr &Exchange, const std::string &Key);
  void eraseKey(const ExchangePtr &Exchange, const std::string &Key);
  void confirmWrite(const ExchangePtr &Exchange, bool Done);
  void onSession(const ExchangePtr &Exchange, absl::string_view Call);
  void createSession(const ExchangePtr &Exchange);
  void renewSession(const ExchangePtr &Exchange, const std::string &Id);
  bool endSession(const std::string &Id);
  void armSession(const std::string &Id);
  void onCatalog(const ExchangePtr &Exchange, absl::string_view Call);

  /// Answers a read at once or, if it names an index, once that is passed.
  void readOrWait(const ExchangePtr &Exchange, const std::string &Resource);
  std::uint64_t indexOf(const std::string &Resource) const;
  HttpResponse contentOf(const std::string &Resource) const;
  void endWatch(const std::string &Resource, const WatchPtr &Ended);
  void wakeWatches();

  HttpResponse administer(const HttpRequest &Request);
  HttpResponse setFaults(const json &Patch);
  HttpResponse lapse(const json &Body);
  json counters() const;

  FakeLoop &Loop;
  PlatformFaults Faults;
  KeyValueStore Store;
  Catalog Nodes;
  /// The lists as they stood when they were frozen.
  Catalog FrozenNodes;
  KeyValueStore Saved;
  std::map<std::string, Session> Sessions;
  std::uint64_t NextSession = 1;
  /// Waiting watches by resource: "kv/KEY" or "catalog/SERVICE".
  std::multimap<std::string, WatchPtr> Watches;
  std::vector<ExchangePtr> Hung;
  std::map<std::string, std::int64_t> Counts;
  std::unique_ptr<FakeHttpListener> Calls;
  std::unique_ptr<FakeHttpListener> Admin;
};

Result<void> Platform::start(const FakePlatformOptions &Opts) {
  FakeListenerOptions Listen;
  Listen.Listen = Opts.Listen;
  Listen.OnRequest = [this](const ExchangePtr &Exchange) { onCall(Exchange); };
  Calls = FakeHttpListener::make(Loop, std::move(Listen));
  if (Calls == nullptr)
    return fail(ErrorCode::Unavailable, "cannot listen", Opts.Listen);
  FakeListenerOptions AdminListen;
  AdminListen.Listen = Opts.Admin;
  AdminListen.OnRequest = [this](const ExchangePtr &Exchange) {
    Exchange->reply(administer(Exchange->request()));
  };
  Admin = FakeHttpListener::make(Loop, std::move(AdminListen));
  if (Admin == nullptr)
    return fail(ErrorCode::Unavailable, "cannot listen", Opts.Admin);
  return {};
}

void Platform::onCall(const ExchangePtr &Exchange) {
  if (Faults.Slow <= absl::ZeroDuration())
    return apply(Exchange);
  Loop.after(Faults.Slow, [this, Exchange] { apply(Exchange); });
}

void Platform::apply(const ExchangePtr &Exchange) {
  if (Faults.Down == Outage::Hang) {
    count("hung");
    Hung.push_back(Exchange);
    return;
  }
  if (Faults.Down != Outage::None) {
    count("failed");
    Exchange->reply(textResponse(500, "no cluster leader"));
    return;
  }
  absl::string_view Path = Exchange->request().Path;
  if (absl::ConsumePrefix(&Path, "/v1/kv/"))
    return onKey(Exchange, std::string(Path));
  if (absl::ConsumePrefix(&Path, "/v1/session/"))
    return onSession(Exchange, Path);
  if (absl::ConsumePrefix(&Path, "/v1/catalog/"))
    return onCatalog(Exchange, Path);
  Exchange->reply(textResponse(404, "no such call"));
}

void Platform::answer(const ExchangePtr &Exchange,
                      const HttpResponse &Response) {
  if (Faults.SlowAnswer <= absl::ZeroDuration())
    return Exchange->reply(Response);
  Loop.after(Faults.SlowAnswer,
             [Exchange, Response] { Exchange->reply(Response); });
}

void Platform::count(absl::string_view Kind) { ++Counts[std::string(Kind)]; }

void Platform::onKey(const ExchangePtr &Exchange, const std::string &Key) {
  const std::string &Method = Exchange->request().Method;
  if (Method == "GET")
    return readOrWait(Exchange, "kv/" + Key);
  if (Method == "PUT")
    return writeKey(Exchange, Key);
  if (Method == "DELETE")
    return eraseKey(Exchange, Key);
  answer(Exchange, textResponse(405, "use GET, PUT or DELETE"));
}

void Platform::writeKey(const ExchangePtr &Exchange, const std::string &Key) {
  count("kv_write");
  const HttpRequest &Request = Exchange->request();
  if (Request.Body.size() > MaxValueBytes)
    return answer(Exchange, textResponse(413, "value too large"));
  StoreWrite Write;
  Write.Key = Key;
  Write.Value = Request.Body;
  Write.CheckIndex = numberOf(queryOf(Request, "cas"));
  Write.Acquire = queryOf(Request, "acquire");
  Write.Release = queryOf(Request, "release");
  const std::string Holder =
      Write.Acquire.empty() ? Write.Release : Write.Acquire;
  if (!Holder.empty() && Sessions.count(Holder) == 0)
    return answer(Exchange, textResponse(500, "invalid session"));
  confirmWrite(Exchange, Store.write(Write));
}

void Platform::eraseKey(const ExchangePtr &Exchange, const std::string &Key) {
  count("kv_write");
  const auto CheckIndex = numberOf(queryOf(Exchange->request(), "cas"));
  confirmWrite(Exchange, Store.erase(Key, CheckIndex));
}

void Platform::confirmWrite(const ExchangePtr &Exchange, bool Done) {
  if (Faults.LoseWriteAnswers > 0) {
    --Faults.LoseWriteAnswers;
    count("answers_lost");
    Exchange->close();
  } else {
    answer(Exchange, textResponse(200, Done ? "true" : "false"));
  }
  wakeWatches();
}

void Platform::onSession(const ExchangePtr &Exchange, absl::string_view Call) {
  count("session");
  if (Call == "create")
    return createSession(Exchange);
  if (absl::ConsumePrefix(&Call, "renew/"))
    return renewSession(Exchange, std::string(Call));
  if (absl::ConsumePrefix(&Call, "destroy/")) {
    endSession(std::string(Call));
    return answer(Exchange, textResponse(200, "true"));
  }
  answer(Exchange, textResponse(404, "no such call"));
}

void Platform::createSession(const ExchangePtr &Exchange) {
  const json Body = json::parse(Exchange->request().Body, nullptr, false);
  const json Ttl = Body.is_object() ? Body.value("TTL", json()) : json();
  const json Behavior =
      Body.is_object() ? Body.value("Behavior", json()) : json();
  const std::string Id = absl::StrCat(
      "00000000-0000-4000-8000-", absl::Hex(NextSession++, absl::kZeroPad12));
  Session &Made = Sessions[Id];
  Made.Ttl = Ttl.is_string()
                 ? durationOf(Ttl.get<std::string>(), absl::InfiniteDuration())
                 : absl::InfiniteDuration();
  Made.DeleteKeys = Behavior == "delete";
  armSession(Id);
  answer(Exchange, jsonResponse(200, {{"ID", Id}}));
}

void Platform::renewSession(const ExchangePtr &Exchange,
                            const std::string &Id) {
  if (Sessions.count(Id) == 0)
    return answer(Exchange, textResponse(404, "no such session"));
  armSession(Id);
  answer(Exchange, jsonResponse(200, json::array({json({{"ID", Id}})})));
}

bool Platform::endSession(const std::string &Id) {
  const auto Found = Sessions.find(Id);
  if (Found == Sessions.end())
    return false;
  Loop.cancel(Found->second.Expiry);
  const bool Delete = Found->second.DeleteKeys;
  Sessions.erase(Found);
  Store.endSession(Id, Delete);
  wakeWatches();
  return true;
}

void Platform::armSession(const std::string &Id) {
  Session &Live = Sessions[Id];
  if (Live.Ttl == absl::InfiniteDuration())
    return;
  Loop.cancel(Live.Expiry);
  Live.Expiry = Loop.after(Live.Ttl, [this, Id] { endSession(Id); });
}

void Platform::onCatalog(const ExchangePtr &Exchange, absl::string_view Call) {
  if (absl::ConsumePrefix(&Call, "service/"))
    return readOrWait(Exchange, absl::StrCat("catalog/", Call));
  count("catalog_write");
  const json Body = json::parse(Exchange->request().Body, nullptr, false);
  if (Call == "register") {
    const bool Added = !Nodes.add(Body).empty();
    answer(Exchange, textResponse(Added ? 200 : 400, Added ? "true" : "bad"));
  } else if (Call == "deregister") {
    const json Node = Body.is_object() ? Body.value("Node", json()) : json();
    if (Node.is_string())
      Nodes.remove(Node.get<std::string>());
    answer(Exchange, textResponse(200, "true"));
  } else {
    answer(Exchange, textResponse(404, "no such call"));
  }
  wakeWatches();
}

void Platform::readOrWait(const ExchangePtr &Exchange,
                          const std::string &Resource) {
  const bool Key = absl::StartsWith(Resource, "kv/");
  const HttpRequest &Request = Exchange->request();
  const std::uint64_t After = numberOf(queryOf(Request, "index")).value_or(0);
  const bool Waits = After > 0 && indexOf(Resource) <= After;
  count(Key ? (After > 0 ? "kv_watch" : "kv_read")
            : (After > 0 ? "catalog_watch" : "catalog_read"));
  if (!Waits)
    return answer(Exchange, contentOf(Resource));
  auto Waiting = std::make_shared<Watch>();
  Waiting->Exchange = Exchange;
  Waiting->Index = After;
  const Duration Wait =
      std::min(durationOf(queryOf(Request, "wait"), DefaultWait), MaxWait);
  Waiting->Timeout = Loop.after(
      Wait, [this, Resource, Waiting] { endWatch(Resource, Waiting); });
  Watches.emplace(Resource, Waiting);
}

std::uint64_t Platform::indexOf(const std::string &Resource) const {
  absl::string_view Name = Resource;
  if (absl::ConsumePrefix(&Name, "kv/"))
    return Store.indexOf(std::string(Name));
  absl::ConsumePrefix(&Name, "catalog/");
  const Catalog &Shown = Faults.FrozenList ? FrozenNodes : Nodes;
  return Shown.indexOf(std::string(Name));
}

HttpResponse Platform::contentOf(const std::string &Resource) const {
  absl::string_view Name = Resource;
  HttpResponse Response;
  if (absl::ConsumePrefix(&Name, "kv/")) {
    const StoredValue *Found = Store.find(std::string(Name));
    if (Found == nullptr) {
      Response.Status = 404;
    } else {
      json Entry = {{"Key", std::string(Name)},
                    {"Value", absl::Base64Escape(Found->Value)},
                    {"ModifyIndex", Found->ModifyIndex}};
      if (!Found->Session.empty())
        Entry["Session"] = Found->Session;
      Response = jsonResponse(200, json::array({std::move(Entry)}));
    }
  } else {
    absl::ConsumePrefix(&Name, "catalog/");
    const Catalog &Shown = Faults.FrozenList ? FrozenNodes : Nodes;
    Response =
        jsonResponse(200, Shown.list(std::string(Name), Faults.HiddenNodes));
  }
  Response.Headers.add("X-Consul-Index", absl::StrCat(indexOf(Resource)));
  return Response;
}

void Platform::endWatch(const std::string &Resource, const WatchPtr &Ended) {
  const auto Range = Watches.equal_range(Resource);
  for (auto It = Range.first; It != Range.second; ++It) {
    if (It->second != Ended)
      continue;
    Watches.erase(It);
    break;
  }
  Loop.cancel(Ended->Timeout);
  answer(Ended->Exchange, contentOf(Resource));
}

void Platform::wakeWatches() {
  std::vector<std::pair<std::string, WatchPtr>> Due;
  for (const auto &Item : Watches)
    if (Item.second->Exchange->closed() ||
        indexOf(Item.first) > Item.second->Index)
      Due.emplace_back(Item.first, Item.second);
  for (const auto &Item : Due)
    endWatch(Item.first, Item.second);
}

HttpResponse Platform::administer(const HttpRequest &Request) {
  if (Request.Method == "GET" && Request.Path == "/counters")
    return jsonResponse(200, counters());
  if (Request.Method != "POST")
    return jsonResponse(404, {{"error", "no such page"}});
  const json Body = json::parse(Request.Body, nullptr, false);
  if (Request.Path == "/faults")
    return setFaults(Body);
  if (Request.Path == "/lapse")
    return lapse(Body);
  if (Request.Path == "/snapshot") {
    Saved = Store;
    return jsonResponse(200, json::object());
  }
  if (Request.Path == "/restore") {
    Store = Saved;
    wakeWatches();
    return jsonResponse(200, json::object());
  }
  if (Request.Path == "/counters/clear") {
    Counts.clear();
    return jsonResponse(200, json::object());
  }
  return jsonResponse(404, {{"error", "no such page"}});
}

HttpResponse Platform::setFaults(const json &Patch) {
  const bool WasFrozen = Faults.FrozenList;
  const std::string Wrong = mergeFaults(Faults, Patch);
  if (!Wrong.empty())
    return jsonResponse(400, {{"error", Wrong}});
  if (Faults.FrozenList && !WasFrozen)
    FrozenNodes = Nodes;
  if (Faults.Down == Outage::Refuse)
    Calls->closeConnections();
  if (!Calls->setListening(Faults.Down != Outage::Refuse))
    return jsonResponse(500, {{"error", "cannot listen again"}});
  if (Faults.Down != Outage::Hang)
    Hung.clear();
  if (Faults.Down == Outage::None)
    wakeWatches();
  return jsonResponse(200, json::object());
}

HttpResponse Platform::lapse(const json &Body) {
  const bool All = Body.is_object() && Body.value("all", json()) == true;
  const json Id = Body.is_object() ? Body.value("session", json()) : json();
  if (All) {
    while (!Sessions.empty())
      endSession(std::string(Sessions.begin()->first));
    return jsonResponse(200, json::object());
  }
  if (Id.is_string() && endSession(Id.get<std::string>()))
    return jsonResponse(200, json::object());
  return jsonResponse(404, {{"error", "no such session"}});
}

json Platform::counters() const {
  json Out = json::object();
  for (const auto &Item : Counts)
    Out[Item.first] = Item.second;
  Out["waiting_watches"] = Watches.size();
  Out["sessions"] = Sessions.size();
  return Out;
}

} // namespace

Result<std::unique_ptr<FakePlatform>>
FakePlatform::make(FakeLoop &Loop, const FakePlatformOptions &Opts) {
  auto Made = std::make_unique<Platform>(Loop);
  BOOST_LEAF_CHECK(Made->start(Opts));
  return std::unique_ptr<FakePlatform>(std::move(Made));
}

} // namespace quetzallead
