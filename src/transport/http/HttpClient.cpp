#include "transport/http/HttpClient.h"
#include "absl/hash/hash.h"
#include "transport/http/CurlTransfer.h"
#include "transport/http/CurlWorker.h"
#include <algorithm>
#include <atomic>
#include <curl/curl.h>
#include <mutex>
#include <vector>

namespace quetzallead {
namespace {

void initCurlOnce() {
  static std::once_flag Flag;
  std::call_once(Flag, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

class CurlHttpClient : public HttpClient {
public:
  explicit CurlHttpClient(const Options &Opts) {
    unsigned Count = std::max(Opts.Threads, 1u);
    for (unsigned I = 0; I < Count; ++I)
      Workers.push_back(std::make_unique<CurlWorker>(Opts));
  }

  ~CurlHttpClient() override {
    for (auto &Worker : Workers)
      Worker->stop();
    for (auto &Worker : Workers)
      Worker->join();
  }

  CallId start(HttpCall Call, Completion Done) override {
    std::size_t Index =
        absl::Hash<std::string>()(Call.Address) % Workers.size();
    CallId Id = NextSequence.fetch_add(1) * Workers.size() + Index;
    Workers[Index]->start(
        std::make_unique<CurlTransfer>(Id, std::move(Call), std::move(Done)));
    return Id;
  }

  void cancel(CallId Id) override { Workers[Id % Workers.size()]->cancel(Id); }

private:
  std::vector<std::unique_ptr<CurlWorker>> Workers;
  /// A call's id is its sequence number times the number of workers, plus the
  /// index of its worker.
  std::atomic<CallId> NextSequence{1};
};

} // namespace

std::unique_ptr<HttpClient> HttpClient::make(const Options &Opts) {
  initCurlOnce();
  return std::make_unique<CurlHttpClient>(Opts);
}

} // namespace quetzallead
