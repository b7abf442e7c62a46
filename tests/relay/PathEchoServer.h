#ifndef QUETZALLEAD_TESTS_RELAY_PATHECHOSERVER_H
#define QUETZALLEAD_TESTS_RELAY_PATHECHOSERVER_H

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>
#include <list>
#include <mutex>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace quetzallead {

/// A backend server that responds to each request with the request's path,
/// after 500 ms if the path is "/slow", or as set. It ends when it begins to
/// run
/// "/crash": it closes its connections and accepts no more. Uses one thread per
/// connection.
class PathEchoServer {
public:
  PathEchoServer()
      : Listener(Loop, boost::asio::ip::tcp::endpoint(
                           boost::asio::ip::make_address("127.0.0.1"), 0)) {
    AcceptThread = std::thread([this] {
      for (;;) {
        boost::system::error_code Fault;
        boost::asio::ip::tcp::socket Socket = Listener.accept(Fault);
        if (Fault || Stopped)
          return;
        std::lock_guard<std::mutex> Lock(Mutex);
        Peers.push_back(std::move(Socket));
        ConnectionThreads.emplace_back(
            [this, &Peer = Peers.back()] { serve(Peer); });
      }
    });
  }
  ~PathEchoServer() {
    Stopped = true;
    boost::system::error_code Ignored;
    // Unblocks the pending accept().
    boost::asio::ip::tcp::socket WakeUp(Loop);
    WakeUp.connect(Endpoint, Ignored);
    AcceptThread.join();
    for (auto &Peer : Peers)
      ::shutdown(Peer.native_handle(), SHUT_RDWR);
    for (std::thread &T : ConnectionThreads)
      T.join();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(Endpoint.port());
  }

  /// Sets the status, such as "200 OK", and further header lines.
  void setResponse(const std::string &GivenStatus,
                   const std::string &GivenHeaders) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Status = GivenStatus;
    Headers = GivenHeaders;
  }

  /// Head of the last request.
  std::string lastHead() {
    std::lock_guard<std::mutex> Lock(Mutex);
    return LastHead;
  }

  /// Closes the connection after the first byte of each body.
  std::atomic<bool> BreaksOff{false};
  std::atomic<int> Requests{0};
  /// It has run "/crash".
  std::atomic<bool> Crashed{false};
  /// Requests whose connection was closed before the response was sent.
  std::atomic<int> DisconnectedRequests{0};

private:
  std::string responseHead(std::size_t Bytes) {
    std::lock_guard<std::mutex> Lock(Mutex);
    return "HTTP/1.1 " + Status + "\r\nServer-Stamp: s\r\n" + Headers +
           "Content-Length: " + std::to_string(Bytes) + "\r\n\r\n";
  }

  void serve(boost::asio::ip::tcp::socket &Peer) {
    std::string Buffer;
    for (;;) {
      boost::system::error_code Fault;
      const std::size_t End = boost::asio::read_until(
          Peer, boost::asio::dynamic_buffer(Buffer), "\r\n\r\n", Fault);
      if (Fault)
        return;
      const std::string Head = Buffer.substr(0, End);
      Buffer.erase(0, End);
      {
        std::lock_guard<std::mutex> Lock(Mutex);
        LastHead = Head;
      }
      ++Requests;
      const std::string Path = Head.substr(4, Head.find(' ', 4) - 4);
      if (Path == "/crash") {
        crash();
        return;
      }
      if (Path == "/slow")
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
      char Byte = 0;
      if (recv(Peer.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0) {
        ++DisconnectedRequests;
        return;
      }
      const std::string Answer = responseHead(Path.size()) + Path;
      const std::size_t Omitted = BreaksOff ? Path.size() - 1 : 0;
      boost::asio::write(
          Peer, boost::asio::buffer(Answer, Answer.size() - Omitted), Fault);
      if (Fault || BreaksOff)
        return;
    }
  }

  void crash() {
    std::lock_guard<std::mutex> Lock(Mutex);
    Crashed = true;
    // Ends the pending accept() and refuses connections from now on.
    ::shutdown(Listener.native_handle(), SHUT_RDWR);
    for (auto &Peer : Peers)
      ::shutdown(Peer.native_handle(), SHUT_RDWR);
  }

  boost::asio::io_context Loop;
  boost::asio::ip::tcp::acceptor Listener;
  const boost::asio::ip::tcp::endpoint Endpoint = Listener.local_endpoint();
  std::atomic<bool> Stopped{false};
  std::mutex Mutex;
  std::string LastHead;
  std::string Status = "200 OK";
  std::string Headers;
  std::thread AcceptThread;
  std::list<boost::asio::ip::tcp::socket> Peers;
  std::vector<std::thread> ConnectionThreads;
};

/// A port of the loopback interface that is free now. It is below the ports
/// that the system gives to outgoing connections: another test could get one of
/// those before the caller binds it.
inline int freePort() {
  static constexpr unsigned FirstPort = 20000;
  static constexpr unsigned PortCount = 12000;
  // Test programs that run at the same time start at different ports.
  static std::atomic<unsigned> Next{static_cast<unsigned>(getpid()) * 61};
  boost::asio::io_context Loop;
  for (;;) {
    const auto Port =
        static_cast<std::uint16_t>(FirstPort + Next++ % PortCount);
    boost::asio::ip::tcp::acceptor Listener(Loop);
    boost::system::error_code Fault;
    Listener.open(boost::asio::ip::tcp::v4());
    Listener.bind(boost::asio::ip::tcp::endpoint(
                      boost::asio::ip::make_address("127.0.0.1"), Port),
                  Fault);
    if (!Fault)
      return Port;
  }
}

} // namespace quetzallead

#endif // QUETZALLEAD_TESTS_RELAY_PATHECHOSERVER_H
