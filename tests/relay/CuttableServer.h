#ifndef QUETZALLEAD_TESTS_RELAY_CUTTABLESERVER_H
#define QUETZALLEAD_TESTS_RELAY_CUTTABLESERVER_H

#include <atomic>
#include <cstdint>
#include <map>
#include <string>
#include <thread>

namespace quetzallead {

/// How the network between a backend server and its callers is cut.
enum class NetworkCut {
  None,
  Silent, ///< Nothing arrives, and new connections hang.
  Reset,  ///< Connections are reset, and new ones refused.
  Refuse, ///< Open connections live on; new ones are refused.
};

/// A backend server behind a network that can be cut. It responds to each
/// request with the request's path. Uses one thread.
class CuttableServer {
public:
  CuttableServer();
  ~CuttableServer();
  CuttableServer(const CuttableServer &) = delete;
  CuttableServer &operator=(const CuttableServer &) = delete;

  std::string address() const;
  /// Takes effect within a few milliseconds.
  void cut(NetworkCut Value) { Wanted = Value; }

  std::atomic<int> Requests{0};
  /// The server closes the connection after each response.
  std::atomic<bool> ClosesConnections{false};

private:
  void run();
  void apply(NetworkCut Cut);
  void listen();
  /// Fills the queue of new connections, so that the kernel drops further
  /// requests to connect.
  void fillQueue();
  void closeListener();
  void closeAll(std::map<int, std::string> &Connections, bool Abort);
  void acceptOne();
  /// Returns false if the connection is to be closed.
  bool serve(int Connection, std::string &Received);

  std::atomic<NetworkCut> Wanted{NetworkCut::None};
  std::atomic<bool> Stopped{false};
  NetworkCut Current = NetworkCut::None;
  std::uint16_t Port = 0;
  int Listener = -1;
  /// Bytes received by connection.
  std::map<int, std::string> Connections;
  /// Connections that fill the queue.
  std::map<int, std::string> Fillers;
  std::thread Thread;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TESTS_RELAY_CUTTABLESERVER_H
