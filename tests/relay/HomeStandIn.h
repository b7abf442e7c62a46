#ifndef QUETZALLEAD_TESTS_RELAY_HOMESTANDIN_H
#define QUETZALLEAD_TESTS_RELAY_HOMESTANDIN_H

#include "platform/PlatformHeaders.h"
#include "relay/LinkMessages.h"
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <list>
#include <mutex>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <utility>

namespace quetzallead {

/// Test double of a home: implements the protocol between instances and answers
/// forwarded requests itself. Uses one thread per connection.
class HomeStandIn {
public:
  using tcp = boost::asio::ip::tcp;

  /// \p Sheet is the text that it gives to instances with a version below
  /// \p Version.
  HomeStandIn(std::string GivenSecret, std::string GivenSheet,
              std::uint64_t GivenVersion)
      : Secret(std::move(GivenSecret)), Sheet(std::move(GivenSheet)),
        Version(GivenVersion),
        Listener(Loop,
                 tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)),
        AcceptThread([this] { accept(); }) {}
  ~HomeStandIn() {
    Stopped = true;
    boost::system::error_code Ignored;
    // Unblocks the pending accept().
    tcp::socket WakeUp(Loop);
    WakeUp.connect(Listener.local_endpoint(), Ignored);
    AcceptThread.join();
    for (tcp::socket &Peer : Peers)
      ::shutdown(Peer.native_handle(), SHUT_RDWR);
    for (std::thread &T : Threads)
      T.join();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(Listener.local_endpoint().port());
  }

  /// Sets the status line of its answers to callers' requests and further lines
  /// of their heads. It signs the answers all the same.
  void setHead(const std::string &GivenStatusLine, const std::string &Fields) {
    std::lock_guard<std::mutex> Lock(Mutex);
    StatusLine = GivenStatusLine;
    FurtherFields = Fields;
  }

  /// Its route does not let a second home have a request.
  std::atomic<bool> RunsOnce{false};
  /// It passes back what it does not let a second home have.
  std::atomic<bool> ChecksRepeats{true};
  /// It ends the connection of each request that it has acknowledged.
  std::atomic<bool> Ends{false};
  /// Requests of callers that it has begun.
  std::atomic<int> Begun{0};
  std::atomic<int> PassedBack{0};
  /// Responses to any request.
  std::atomic<int> Answered{0};

private:
  void accept() {
    for (;;) {
      boost::system::error_code Fault;
      tcp::socket Peer = Listener.accept(Fault);
      if (Fault || Stopped)
        return;
      Peers.push_back(std::move(Peer));
      Threads.emplace_back([this, &Accepted = Peers.back()] {
        serve(Accepted);
        ::shutdown(Accepted.native_handle(), SHUT_RDWR);
      });
    }
  }

  void serve(tcp::socket &Peer) {
    Peer.set_option(tcp::no_delay(true));
    boost::beast::flat_buffer Buffer;
    for (;;) {
      HttpRequest Request;
      boost::system::error_code Fault;
      boost::beast::http::read(Peer, Buffer, Request, Fault);
      const auto Info =
          Fault ? std::nullopt : decodeLinkRequest(Request, Names, Secret);
      if (!Info)
        return;
      LinkResponseInfo Told;
      Told.SheetVersion = Version;
      Told.ChecksRepeats = ChecksRepeats;
      std::string Answer = encodeLinkBody("served", true);
      if (Info->WantsSheet) {
        Answer =
            encodeLinkBody(Info->SheetVersion < Version ? Sheet : "", true);
      } else if (Info->ExchangesCrashes) {
        Told.TryElsewhere = true;
      } else if (ChecksRepeats && RunsOnce && Info->LastAttemptHeldBack) {
        Told.TryElsewhere = true;
        Told.RunsOnce = true;
        ++PassedBack;
      } else {
        ++Begun;
        boost::asio::write(
            Peer,
            boost::asio::buffer(std::string("HTTP/1.1 102 Processing\r\n\r\n")),
            Fault);
        if (Ends)
          return;
        std::lock_guard<std::mutex> Lock(Mutex);
        Answer.replace(0, Answer.find("\r\n"), StatusLine);
        Answer.insert(StatusLine.size() + 2, FurtherFields);
      }
      if (Told.TryElsewhere)
        Answer = encodeStatusResponse(503, absl::ZeroDuration(), true);
      const std::string Id(Request[Names.RequestId]);
      boost::asio::write(
          Peer, boost::asio::buffer(addLinkHeader(Answer, Id, Told, Secret)),
          Fault);
      if (Fault)
        return;
      ++Answered;
    }
  }

  const HeaderNames Names = platformHeaderNames();
  const std::string Secret;
  const std::string Sheet;
  const std::uint64_t Version;
  boost::asio::io_context Loop;
  tcp::acceptor Listener;
  std::atomic<bool> Stopped{false};
  std::mutex Mutex;
  std::string StatusLine = "HTTP/1.1 200 OK";
  std::string FurtherFields;
  std::list<tcp::socket> Peers;
  std::list<std::thread> Threads;
  std::thread AcceptThread;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TESTS_RELAY_HOMESTANDIN_H
