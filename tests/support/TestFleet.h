#ifndef QUETZALLEAD_TESTS_SUPPORT_TESTFLEET_H
#define QUETZALLEAD_TESTS_SUPPORT_TESTFLEET_H

#include "support/LoopbackAddresses.h"
#include "support/TempFolder.h"
#include "support/TestSheet.h"
#include "transport/http/HttpMessage.h"
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace quetzallead {

class FakeProcess;
struct TestDaemon;

/// What a test wants to run.
struct TestFleetOptions {
  TestSheetShape Shape;
  /// Zone of each daemon.
  std::vector<std::string> Daemons = {"a", "b", "c"};
  /// Further arguments of fake-backend.
  std::vector<std::string> BackendArguments;
  /// Merged into the settings of every daemon.
  nlohmann::json Settings = nlohmann::json::object();
};

/// Daemons with fake backend servers and a fake platform, all on loopback
/// addresses of their own. Everything is ended when it is destroyed.
class TestFleet {
public:
  explicit TestFleet(TestFleetOptions Opts);
  ~TestFleet();

  /// Starts everything, submits the sheet and waits until every daemon is
  /// ready. False if a step failed; problem() says which.
  bool start();
  const std::string &problem() const { return Problem; }

  FakeProcess &backend() { return *Backend; }
  FakeProcess &platform() { return *Platform; }
  const std::string &platformAddress() const { return PlatformAddress; }
  TestDaemon &daemon(std::size_t Index) { return *Members[Index]; }
  std::size_t size() const { return Members.size(); }
  nlohmann::json &sheet() { return Sheet; }

  /// The session key that a fleet starts with, as in the secrets file.
  static nlohmann::json firstKey();
  /// Writes the secrets file that all daemons read when they start; its path.
  std::string writeSecrets(const nlohmann::json &SessionKeys);
  /// Starts a daemon; false if it does not listen in good time.
  bool launchDaemon(std::size_t Index);
  /// Starts a daemon anew, under its old settings; false if it is not ready in
  /// good time.
  bool startDaemon(std::size_t Index);
  bool waitReady(std::size_t Index);
  /// Submits sheet() to the daemon's admin listener, upon the revision that is
  /// in force there. The outcome member of its answer, or the status.
  std::string submitSheet(std::size_t Index);

  /// A caller's POST to the daemon. Nothing if no whole response came.
  std::optional<HttpResponse> ask(std::size_t Index, const std::string &Kind,
                                  const nlohmann::json &Body,
                                  const HttpFields &Headers = {});
  /// The token of a new session; empty if it was not opened.
  std::string openSession(std::size_t Index);
  /// A fresh command ticket of the daemon; empty if it gave none.
  std::string ticket(std::size_t Index);
  /// A call of the daemon's admin listener with the operators' token.
  std::optional<HttpResponse> admin(std::size_t Index,
                                    const std::string &Method,
                                    const std::string &Target,
                                    const std::string &Body = "");
  /// The end of every daemon's log, for failure messages.
  std::string logs() const;

private:
  bool fail(const std::string &What);
  bool startFakes();
  void writeSettings(TestDaemon &Member, const std::string &SecretsFile);

  TestFleetOptions Options;
  LoopbackAddresses Addresses;
  TempFolder Folder;
  nlohmann::json Sheet;
  std::string PlatformAddress;
  std::string Problem;
  int Submissions = 0;
  std::unique_ptr<FakeProcess> Platform;
  std::unique_ptr<FakeProcess> Backend;
  std::vector<std::unique_ptr<TestDaemon>> Members;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TESTS_SUPPORT_TESTFLEET_H
