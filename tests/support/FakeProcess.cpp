#include "support/FakeProcess.h"
#include "absl/strings/str_cat.h"
#include "support/ChildProcess.h"
#include "support/Fetch.h"
#include "support/WaitUntil.h"
#include <utility>

namespace quetzallead {

static std::string wordAfter(const std::string &Text, const char *Mark) {
  const std::size_t Start = Text.find(Mark) + std::string(Mark).size();
  return Text.substr(Start, Text.find_first_of(" \n", Start) - Start);
}

FakeProcess::~FakeProcess() = default;

std::unique_ptr<FakeProcess>
FakeProcess::start(const std::string &Program,
                   std::vector<std::string> Arguments) {
  std::unique_ptr<FakeProcess> Fake(new FakeProcess);
  Fake->Process = ChildProcess::start(Program, std::move(Arguments));
  if (Fake->Process == nullptr ||
      !Fake->Process->waitForOutput("\n", GenerousLimit))
    return nullptr;
  const std::string Output = Fake->Process->output();
  if (Output.find("ready admin=") == std::string::npos)
    return nullptr;
  Fake->Admin = wordAfter(Output, "admin=");
  return Fake;
}

std::unique_ptr<FakeProcess>
FakeProcess::startBackend(std::vector<std::string> Arguments) {
  return start(QUETZALLEAD_FAKE_BACKEND, std::move(Arguments));
}

std::unique_ptr<FakeProcess>
FakeProcess::startPlatform(std::vector<std::string> Arguments) {
  return start(QUETZALLEAD_FAKE_PLATFORM, std::move(Arguments));
}

nlohmann::json FakeProcess::get(const std::string &Target) const {
  return getJson(Admin, Target);
}

nlohmann::json FakeProcess::post(const std::string &Target,
                                 const nlohmann::json &Body) const {
  return postJson(Admin, Target, Body);
}

bool FakeProcess::setFaults(const std::string &Server,
                            const nlohmann::json &Faults) const {
  return post(absl::StrCat("/servers/", Server, "/faults"), Faults).is_object();
}

nlohmann::json FakeProcess::journal() const {
  const nlohmann::json Page = get("/journal");
  return Page.is_object() ? Page["entries"] : nlohmann::json::array();
}

} // namespace quetzallead
