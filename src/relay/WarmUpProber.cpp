#include "relay/WarmUpProber.h"
#include "absl/strings/str_cat.h"
#include "relay/BackendClient.h"
#include "relay/RelayMessages.h"
#include "runtime/Logger.h"

namespace quetzallead {

/// Delay before servers that have not said whether they are cold are asked
/// again.
static constexpr Duration ProbeInterval = absl::Milliseconds(500);
/// Time that a server has to answer; it may have to wait for a slot.
static constexpr Duration ProbeTimeout = absl::Seconds(1);

WarmUpProber::WarmUpProber(LoopTimers &GivenTimers, RelayState &GivenState,
                           BackendClient &GivenBackends,
                           const HeaderNames &GivenHeaders)
    : Timers(GivenTimers), State(GivenState), Backends(GivenBackends),
      Headers(GivenHeaders) {}

void WarmUpProber::update() {
  const std::vector<ServerRef> Servers = State.serversThatMayBeCold();
  if (Servers.empty()) {
    Timer.reset();
    return;
  }
  const auto &Services = State.table()->sheet().Services;
  for (const ServerRef &Server : Servers) {
    auto Found = Services.find(Server->Info.Service);
    if (Found != Services.end() && !Found->second.HealthPath.empty())
      probe(Server, Found->second.HealthPath);
  }
  if (Timer == nullptr)
    Timer = Timers.at(LoopTimers::now() + ProbeInterval, [this](TimePoint) {
      Timer.reset();
      update();
    });
}

void WarmUpProber::probe(const ServerRef &Server,
                         const std::string &HealthPath) {
  if (!Pending.insert(Server).second)
    return;
  HttpExchange Exchange;
  Exchange.Bytes =
      absl::StrCat("GET ", HealthPath,
                   " HTTP/1.1\r\nHost: ", Server->Info.Address, "\r\n\r\n");
  Exchange.Deadline = LoopTimers::now() + ProbeTimeout;
  Backends.send(Server, std::move(Exchange),
                [this, Server](const HttpExchangeResult &End) {
                  onResponse(Server, End);
                });
}

void WarmUpProber::onResponse(const ServerRef &Server,
                              const HttpExchangeResult &End) {
  Pending.erase(Server);
  if (End.Result != AttemptResult::Answered)
    return;
  const std::optional<Duration> Left = warmUpLeft(*End.Response, Headers);
  const bool Sound = End.Response->result() == boost::beast::http::status::ok;
  // A server that is warm need not say so.
  if (Left || Sound)
    State.noteWarmUp(Server, Left.value_or(absl::ZeroDuration()),
                     LoopTimers::now());
}

} // namespace quetzallead
