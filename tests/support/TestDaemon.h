#ifndef QUETZALLEAD_TESTS_SUPPORT_TESTDAEMON_H
#define QUETZALLEAD_TESTS_SUPPORT_TESTDAEMON_H

#include <memory>
#include <string>

namespace quetzallead {

class ChildProcess;

/// One daemon of a fleet under test and how to reach it.
struct TestDaemon {
  std::string Instance;
  std::string Zone;
  /// "ip:port" of its listeners.
  std::string Caller;
  std::string Admin;
  std::string Peer;
  std::string Metrics;
  std::string SettingsFile;
  /// Null before its start.
  std::unique_ptr<ChildProcess> Process;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TESTS_SUPPORT_TESTDAEMON_H
