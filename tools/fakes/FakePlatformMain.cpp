// fake-platform: a key-value store and a catalog, with faults on demand.
#include "fakes/FakeLoop.h"
#include "fakes/FakePlatform.h"
#include <boost/program_options.hpp>
#include <iostream>

using namespace quetzallead;
namespace po = boost::program_options;

static po::options_description describeOptions(FakePlatformOptions &Options) {
  po::options_description Known("fake-platform [options]");
  auto Add = Known.add_options();
  Add("help", "show this text");
  Add("listen", po::value(&Options.Listen)->default_value("127.0.0.1:0"),
      "address of the platform's calls");
  Add("admin", po::value(&Options.Admin)->default_value("127.0.0.1:0"),
      "address of the admin listener");
  return Known;
}

static Result<int> serve(const FakePlatformOptions &Options) {
  const std::unique_ptr<FakeLoop> Loop = FakeLoop::make();
  BOOST_LEAF_AUTO(Platform, FakePlatform::make(*Loop, Options));
  std::cout << "ready admin=" << Platform->adminAddress()
            << " listen=" << Platform->address() << std::endl;
  Loop->run();
  return 0;
}

int main(int Argc, char **Argv) {
  FakePlatformOptions Options;
  const po::options_description Known = describeOptions(Options);
  try {
    po::variables_map Given;
    po::store(po::parse_command_line(Argc, Argv, Known), Given);
    if (Given.count("help") > 0) {
      std::cout << Known;
      return 0;
    }
    po::notify(Given);
  } catch (const po::error &Thrown) {
    std::cerr << "fake-platform: " << Thrown.what() << "\n";
    return 2;
  }
  const auto Outcome = capture([&] { return serve(Options); });
  if (const auto *Failure = std::get_if<Error>(&Outcome)) {
    std::cerr << "fake-platform: " << Failure->text() << "\n";
    return 1;
  }
  return std::get<int>(Outcome);
}
