#include "fakes/FakeBackend.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "fakes/FakeBackendServer.h"
#include "fakes/FakeExchange.h"
#include "fakes/FakeHttpListener.h"
#include "fakes/FakeLoop.h"
#include "fakes/Journal.h"
#include "quetzallead/Sheet.h"
#include "quetzallead/SheetCodec.h"
#include <algorithm>
#include <map>
#include <utility>

namespace quetzallead {
namespace {

using nlohmann::json;

HttpResponse adminResponse(int Status, const json &Body) {
  HttpResponse Response;
  Response.Status = Status;
  Response.Headers.add("Content-Type", "application/json");
  Response.Body = Body.dump();
  return Response;
}

HttpResponse adminError(int Status, const std::string &Message) {
  return adminResponse(Status, {{"error", Message}});
}

class Backend final : public FakeBackend {
public:
  Backend(FakeLoop &EventLoop, FakeBackendOptions Opts)
      : Loop(EventLoop), Options(std::move(Opts)), Notes(Options.JournalLimit) {
  }

  Result<void> start(const Sheet &Servers);
  Result<void> take(const Sheet &Servers);
  std::string adminAddress() const override { return Admin->address(); }

private:
  bool wanted(const std::string &Name) const;
  Result<void> takeServer(FakeBackendServerOptions Server);
  HttpResponse answer(const HttpRequest &Request);
  HttpResponse get(const std::string &Path);
  HttpResponse post(const std::string &Path, const std::string &Body);
  HttpResponse setFaults(const std::string &Name, const std::string &Body);
  HttpResponse takeSheet(const std::string &Text);
  json describe() const;
  json counters() const;

  FakeLoop &Loop;
  const FakeBackendOptions Options;
  Journal Notes;
  std::map<std::string, std::unique_ptr<FakeBackendServer>> Servers;
  std::unique_ptr<FakeHttpListener> Admin;
};

Result<void> Backend::start(const Sheet &First) {
  BOOST_LEAF_CHECK(take(First));
  FakeListenerOptions Listen;
  Listen.Listen = Options.Admin;
  Listen.OnRequest = [this](const std::shared_ptr<FakeExchange> &Exchange) {
    Exchange->reply(answer(Exchange->request()));
  };
  Admin = FakeHttpListener::make(Loop, std::move(Listen));
  if (Admin == nullptr)
    return fail(ErrorCode::Unavailable, "cannot listen", Options.Admin);
  return {};
}

Result<void> Backend::take(const Sheet &Wanted) {
  for (const ServiceSpec &Service : Wanted.Services)
    for (const ShardSpec &Shard : Service.Shards)
      for (const BackendServerSpec &Spec : Shard.Servers) {
        FakeBackendServerOptions Server;
        Server.Spec = Spec;
        Server.Service = Service.Name;
        Server.Shard = Shard.Name;
        Server.From = Shard.From;
        Server.To = Shard.To;
        Server.Epoch = Service.Epoch;
        BOOST_LEAF_CHECK(takeServer(std::move(Server)));
      }
  return {};
}

bool Backend::wanted(const std::string &Name) const {
  return Options.Only.empty() ||
         std::find(Options.Only.begin(), Options.Only.end(), Name) !=
             Options.Only.end();
}

Result<void> Backend::takeServer(FakeBackendServerOptions Server) {
  const std::string Name = Server.Spec.Name;
  if (!wanted(Name))
    return {};
  const auto Known = Servers.find(Name);
  if (Known != Servers.end()) {
    Known->second->reassign(Server);
    return {};
  }
  Server.ServiceTime = Options.ServiceTime;
  Server.Version = Options.Version;
  Server.Seed = Options.Seed + Servers.size();
  const std::string Address = Server.Spec.Address;
  auto Made = FakeBackendServer::make(Loop, Notes, std::move(Server));
  if (Made == nullptr)
    return fail(ErrorCode::Unavailable, "cannot listen on " + Address, Name);
  Servers.emplace(Name, std::move(Made));
  return {};
}

HttpResponse Backend::answer(const HttpRequest &Request) {
  if (Request.Method == "GET")
    return get(Request.Path);
  if (Request.Method == "POST")
    return post(Request.Path, Request.Body);
  return adminError(405, "use GET or POST");
}

HttpResponse Backend::get(const std::string &Path) {
  if (Path == "/servers")
    return adminResponse(200, describe());
  if (Path == "/counters")
    return adminResponse(200, counters());
  if (Path == "/journal")
    return adminResponse(200, Notes.toJson(""));
  const std::vector<std::string> Parts =
      absl::StrSplit(Path, '/', absl::SkipEmpty());
  if (Parts.size() == 3 && Parts[0] == "servers" && Parts[2] == "journal")
    return adminResponse(200, Notes.toJson(Parts[1]));
  return adminError(404, "no such page");
}

HttpResponse Backend::post(const std::string &Path, const std::string &Body) {
  if (Path == "/journal/clear") {
    Notes.clear();
    return adminResponse(200, json::object());
  }
  if (Path == "/sheet")
    return takeSheet(Body);
  const std::vector<std::string> Parts =
      absl::StrSplit(Path, '/', absl::SkipEmpty());
  if (Parts.size() == 3 && Parts[0] == "servers" && Parts[2] == "faults")
    return setFaults(Parts[1], Body);
  return adminError(404, "no such page");
}

HttpResponse Backend::setFaults(const std::string &Name,
                                const std::string &Body) {
  const json Patch = json::parse(Body, nullptr, false);
  bool Found = false;
  for (const auto &Item : Servers) {
    if (Name != "*" && Name != Item.first)
      continue;
    Found = true;
    const std::string Wrong = Item.second->applyFaults(Patch);
    if (!Wrong.empty())
      return adminError(400, Wrong);
  }
  if (!Found)
    return adminError(404, "no such server");
  return adminResponse(200, json::object());
}

HttpResponse Backend::takeSheet(const std::string &Text) {
  const auto Outcome = capture([&]() -> Result<bool> {
    BOOST_LEAF_AUTO(Wanted, parseSheet(Text));
    BOOST_LEAF_CHECK(take(Wanted));
    return true;
  });
  if (const auto *Failure = std::get_if<Error>(&Outcome))
    return adminError(400, Failure->text());
  return adminResponse(200, json::object());
}

json Backend::describe() const {
  json Listed = json::array();
  for (const auto &Item : Servers)
    Listed.push_back(Item.second->describe());
  return {{"servers", std::move(Listed)}};
}

json Backend::counters() const {
  json Listed = json::object();
  for (const auto &Item : Servers)
    Listed[Item.first] = Item.second->counters();
  return Listed;
}

} // namespace

Result<std::unique_ptr<FakeBackend>>
FakeBackend::make(FakeLoop &Loop, const Sheet &Servers,
                  FakeBackendOptions Options) {
  auto Made = std::make_unique<Backend>(Loop, std::move(Options));
  BOOST_LEAF_CHECK(Made->start(Servers));
  return std::unique_ptr<FakeBackend>(std::move(Made));
}

} // namespace quetzallead
