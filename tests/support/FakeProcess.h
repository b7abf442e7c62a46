#ifndef QUETZALLEAD_TESTS_SUPPORT_FAKEPROCESS_H
#define QUETZALLEAD_TESTS_SUPPORT_FAKEPROCESS_H

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace quetzallead {

class ChildProcess;

/// A running fake with its admin listener.
class FakeProcess {
public:
  /// Start the programs of tools/fakes with \p Arguments and wait until they
  /// listen; null if that fails.
  static std::unique_ptr<FakeProcess>
  startBackend(std::vector<std::string> Arguments);
  static std::unique_ptr<FakeProcess>
  startPlatform(std::vector<std::string> Arguments);
  ~FakeProcess();

  ChildProcess &process() { return *Process; }
  const std::string &admin() const { return Admin; }
  /// Calls of the admin listener; null if it does not answer 2xx.
  nlohmann::json get(const std::string &Target) const;
  nlohmann::json post(const std::string &Target,
                      const nlohmann::json &Body) const;
  /// Merges \p Faults into those of a backend server; "*" means all.
  bool setFaults(const std::string &Server, const nlohmann::json &Faults) const;
  /// The journal's entries, oldest first.
  nlohmann::json journal() const;

private:
  FakeProcess() = default;
  static std::unique_ptr<FakeProcess> start(const std::string &Program,
                                            std::vector<std::string> Arguments);

  std::unique_ptr<ChildProcess> Process;
  std::string Admin;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TESTS_SUPPORT_FAKEPROCESS_H
