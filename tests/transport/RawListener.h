#ifndef QUETZALLEAD_TESTS_TRANSPORT_RAWLISTENER_H
#define QUETZALLEAD_TESTS_TRANSPORT_RAWLISTENER_H

#include "transport/RawConnection.h"
#include <string>

namespace quetzallead {

/// A listening socket on loopback whose connections the test scripts byte by
/// byte.
class RawListener {
public:
  RawListener();
  RawListener(const RawListener &) = delete;
  RawListener &operator=(const RawListener &) = delete;
  ~RawListener();

  /// "127.0.0.1:port".
  std::string address() const;
  /// The next connection, waiting for a generous limit.
  RawConnection accept();
  /// True if a connection is waiting to be accepted now.
  bool hasPending() const;

private:
  int Descriptor = -1;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TESTS_TRANSPORT_RAWLISTENER_H
