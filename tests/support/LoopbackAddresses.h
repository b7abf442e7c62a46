#ifndef QUETZALLEAD_TESTS_SUPPORT_LOOPBACKADDRESSES_H
#define QUETZALLEAD_TESTS_SUPPORT_LOOPBACKADDRESSES_H

#include <string>

namespace quetzallead {

/// Hands out free listening addresses. The IP number, in 127.0.0.0/8, follows
/// from the process's id, so that tests that run side by side never race for a
/// port.
class LoopbackAddresses {
public:
  LoopbackAddresses();

  const std::string &ip() const { return Ip; }
  /// "ip:port" that nothing listens on and that no earlier call gave.
  std::string next();

private:
  std::string Ip;
  int NextPort;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TESTS_SUPPORT_LOOPBACKADDRESSES_H
