#ifndef QUETZALLEAD_TOOLS_FAKES_FAKEHTTPLISTENER_H
#define QUETZALLEAD_TOOLS_FAKES_FAKEHTTPLISTENER_H

#include "quetzallead/Time.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace quetzallead {

class FakeExchange;
class FakeLoop;

/// Where a fake listens and what it asks of its owner.
struct FakeListenerOptions {
  /// "ip:port"; port 0 takes a free one.
  std::string Listen;
  /// Connections beyond it are closed at once; 0 means no limit.
  int ConnectionLimit = 0;
  /// Time before the first byte of a new connection is read.
  Duration ConnectTime;
  /// Asked when a request's first bytes are there; false closes unread.
  std::function<bool()> MayReadRequest;
  /// Asked when a request's headers are read; false closes.
  std::function<bool()> MayReadBody;
  /// Called for each whole request.
  std::function<void(std::shared_ptr<FakeExchange>)> OnRequest;
};

/// What a listener has seen.
struct FakeConnectionCounts {
  int Open = 0;
  int Peak = 0;
  std::int64_t Accepted = 0;
  std::int64_t Refused = 0;
};

/// An HTTP/1.1 listener that can misbehave on demand.
class FakeHttpListener {
public:
  /// Starts listening; null if the address cannot be bound.
  static std::unique_ptr<FakeHttpListener> make(FakeLoop &Loop,
                                                FakeListenerOptions Options);
  virtual ~FakeHttpListener() = default;

  /// "ip:port" with the bound port.
  virtual std::string address() const = 0;
  virtual FakeConnectionCounts counts() const = 0;
  /// If true, new connections are accepted and closed at once.
  virtual void refuseConnections(bool Refuse) = 0;
  virtual void closeConnections() = 0;
  /// Stops listening, so that connecting fails, or starts again on the same
  /// address. False if the address cannot be bound.
  virtual bool setListening(bool Listening) = 0;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TOOLS_FAKES_FAKEHTTPLISTENER_H
