#include "absl/strings/str_cat.h"
#include "transport/http/HttpClient.h"
#include "transport/http/HttpServer.h"
#include <arpa/inet.h>
#include <benchmark/benchmark.h>
#include <condition_variable>
#include <cstdlib>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace quetzallead;

namespace {

/// A request body about as large as a sub-query's.
constexpr std::size_t BodyBytes = 200;

/// A server that answers every request at once with the request's body.
std::unique_ptr<HttpServer> makeEchoServer() {
  HttpServerOptions Options;
  Options.Listen = "127.0.0.1:0";
  Options.Threads = 1;
  auto Made = capture([&] {
    return HttpServer::make(Options,
                            [](HttpRequest Request, const auto &Respond) {
                              HttpResponse Response;
                              Response.Body = std::move(Request.Body);
                              Respond(std::move(Response));
                            });
  });
  return std::move(std::get<std::unique_ptr<HttpServer>>(Made));
}

HttpCall makeCall(int Port) {
  HttpCall Call;
  Call.Method = "POST";
  Call.Address = absl::StrCat("127.0.0.1:", Port);
  Call.Target = "/v1/shards/service/shard/query";
  Call.Headers.add("X-Request-Id", "0123456789abcdef");
  Call.Body = std::string(BodyBytes, 'q');
  Call.Timeout = absl::Seconds(10);
  return Call;
}

std::unique_ptr<HttpClient> makeClient() {
  HttpClient::Options Options;
  Options.Threads = 1;
  return HttpClient::make(Options);
}

/// Lets a fixed number of calls run at the same time.
class Window {
public:
  explicit Window(int Size) : Free(Size) {}
  void acquire() {
    std::unique_lock<std::mutex> Guard(Lock);
    Freed.wait(Guard, [this] { return Free > 0; });
    --Free;
  }
  void release() {
    std::lock_guard<std::mutex> Guard(Lock);
    ++Free;
    Freed.notify_one();
  }

private:
  std::mutex Lock;
  std::condition_variable Freed;
  int Free;
};

int dial(int Port) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  sockaddr_in Address = {};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const auto *Raw = reinterpret_cast<const sockaddr *>(&Address);
  if (connect(Socket, Raw, sizeof(Address)) != 0)
    std::abort();

  return Socket;
}

/// The floor: a blocking socket that sends the bytes and reads one response.
void rawExchange(benchmark::State &State) {
  auto Server = makeEchoServer();
  int Socket = dial(Server->port());
  std::string Request =
      absl::StrCat("POST /v1/shards/service/shard/query HTTP/1.1\r\n"
                   "Host: x\r\nX-Request-Id: 0123456789abcdef\r\n"
                   "Content-Length: ",
                   BodyBytes, "\r\n\r\n", std::string(BodyBytes, 'q'));
  char Buffer[4096];
  for (auto _ : State) {
    send(Socket, Request.data(), Request.size(), MSG_NOSIGNAL);
    benchmark::DoNotOptimize(recv(Socket, Buffer, sizeof(Buffer), 0));
  }
  close(Socket);
}

/// Calls through the client with \p State.range(0) of them in flight.
void httpClientExchange(benchmark::State &State) {
  auto Server = makeEchoServer();
  HttpCall Call = makeCall(Server->port());
  int Size = static_cast<int>(State.range(0));
  Window InFlight(Size);
  auto Client = makeClient();
  for (auto _ : State) {
    InFlight.acquire();
    Client->start(Call, [&](const HttpOutcome &) { InFlight.release(); });
    if (Size == 1) {
      InFlight.acquire();
      InFlight.release();
    }
  }
  for (int I = 0; I < Size; ++I)
    InFlight.acquire();
  State.SetItemsProcessed(State.iterations());
}

} // namespace

BENCHMARK(rawExchange)->UseRealTime()->MeasureProcessCPUTime();
BENCHMARK(httpClientExchange)
    ->Arg(1)
    ->Arg(8)
    ->Arg(75)
    ->UseRealTime()
    ->MeasureProcessCPUTime();
