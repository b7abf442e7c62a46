#ifndef QUETZALLEAD_TRANSPORT_HTTP_CURLWORKER_H
#define QUETZALLEAD_TRANSPORT_HTTP_CURLWORKER_H

#include "absl/container/flat_hash_map.h"
#include "transport/http/CurlTransfer.h"
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace quetzallead {

/// One thread of an HttpClient: an epoll loop around a libcurl multi handle
/// with its own pool of connections.
class CurlWorker {
public:
  explicit CurlWorker(HttpClient::Options GivenOptions);
  CurlWorker(const CurlWorker &) = delete;
  CurlWorker &operator=(const CurlWorker &) = delete;
  /// Call join() before.
  ~CurlWorker();

  void start(std::unique_ptr<CurlTransfer> Transfer);
  void cancel(HttpClient::CallId Id);
  /// Makes the thread complete all calls with Cancelled and end.
  void stop();
  void join() { Thread.join(); }

private:
  /// A new call, or the wish to cancel one if Transfer is null.
  struct Command {
    std::unique_ptr<CurlTransfer> Transfer;
    HttpClient::CallId Cancelled = 0;
  };

  using TransferMap =
      absl::flat_hash_map<HttpClient::CallId, std::unique_ptr<CurlTransfer>>;

  static int onSocket(void *Easy, int Descriptor, int What, void *Cls,
                      void *Known);
  static int onTimer(void *Multi, long TimeoutMs, void *Cls);

  void push(Command C);
  void run();
  void waitForEvents();
  void takeCommands();
  void begin(std::unique_ptr<CurlTransfer> Transfer);
  void abandon(HttpClient::CallId Id);
  /// Ends the transfers in Defective.
  void endDefective();
  void deliverFinished();
  /// Takes a transfer from the library and completes it.
  void end(TransferMap::iterator Ended, HttpOutcome Outcome);
  void drive(int Descriptor, int Events);
  void *acquireEasy();
  void releaseEasy(void *Easy);
  void watch(int Descriptor, int What, bool Known);

  const HttpClient::Options Options;
  void *Multi;
  int EpollDescriptor;
  int WakeDescriptor;
  int TimerDescriptor;
  /// True if libcurl asked to be called at once.
  bool TimerDue = false;
  TransferMap Active;
  /// Transfers whose response is defective, since the last call of the library.
  std::vector<HttpClient::CallId> Defective;
  std::vector<void *> IdleEasyHandles;

  std::mutex Lock;
  std::vector<Command> Commands;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TRANSPORT_HTTP_CURLWORKER_H
