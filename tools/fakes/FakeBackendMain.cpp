// fake-backend: the backend servers of a sheet, with faults on demand.
#include "absl/strings/str_split.h"
#include "fakes/FakeBackend.h"
#include "fakes/FakeLoop.h"
#include "quetzallead/Sheet.h"
#include "quetzallead/SheetCodec.h"
#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace quetzallead;
namespace po = boost::program_options;

namespace {

/// The command line as it was given.
struct CommandLine {
  std::string SheetFile;
  std::string Admin;
  double ServiceTimeMs = 1;
  std::string JitterName;
  std::string Only;
  std::uint64_t Seed = 1;
  std::uint64_t Version = 1;
  std::size_t JournalLimit = 0;
};

po::options_description describeOptions(CommandLine &Line) {
  po::options_description Known("fake-backend --sheet FILE [options]");
  auto Add = Known.add_options();
  Add("help", "show this text");
  Add("sheet", po::value(&Line.SheetFile)->required(), "the sheet to serve");
  Add("admin", po::value(&Line.Admin)->default_value("127.0.0.1:0"),
      "address of the admin listener");
  Add("service-time-ms", po::value(&Line.ServiceTimeMs)->default_value(1),
      "mean service time, milliseconds");
  Add("jitter", po::value(&Line.JitterName)->default_value("none"),
      "none, uniform, exponential or lognormal");
  Add("only", po::value(&Line.Only)->default_value(""),
      "names of the servers to run, with commas between");
  Add("seed", po::value(&Line.Seed)->default_value(1), "seed of all draws");
  Add("version", po::value(&Line.Version)->default_value(1),
      "index version at start");
  Add("journal-limit", po::value(&Line.JournalLimit)->default_value(200000),
      "attempts kept in the journal");
  return Known;
}

Result<FakeBackendOptions> toOptions(const CommandLine &Line) {
  FakeBackendOptions Options;
  Options.Admin = Line.Admin;
  Options.ServiceTime.Mean = absl::Milliseconds(Line.ServiceTimeMs);
  const auto Kind = valueOf(JitterNames, Line.JitterName);
  if (!Kind)
    return fail(ErrorCode::InvalidArgument, "unknown jitter", "--jitter");
  Options.ServiceTime.Kind = *Kind;
  Options.Only = absl::StrSplit(Line.Only, ',', absl::SkipEmpty());
  Options.Seed = Line.Seed;
  Options.Version = Line.Version;
  Options.JournalLimit = Line.JournalLimit;
  return Options;
}

Result<int> serve(const CommandLine &Line) {
  BOOST_LEAF_AUTO(Options, toOptions(Line));
  std::ifstream File(Line.SheetFile);
  std::ostringstream Text;
  Text << File.rdbuf();
  BOOST_LEAF_AUTO(Wanted, parseSheet(Text.str()));
  const std::unique_ptr<FakeLoop> Loop = FakeLoop::make();
  BOOST_LEAF_AUTO(Backend, FakeBackend::make(*Loop, Wanted, Options));
  std::cout << "ready admin=" << Backend->adminAddress() << std::endl;
  Loop->run();
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  CommandLine Line;
  const po::options_description Known = describeOptions(Line);
  try {
    po::variables_map Given;
    po::store(po::parse_command_line(Argc, Argv, Known), Given);
    if (Given.count("help") > 0) {
      std::cout << Known;
      return 0;
    }
    po::notify(Given);
  } catch (const po::error &Thrown) {
    std::cerr << "fake-backend: " << Thrown.what() << "\n";
    return 2;
  }
  const auto Outcome = capture([&] { return serve(Line); });
  if (const auto *Failure = std::get_if<Error>(&Outcome)) {
    std::cerr << "fake-backend: " << Failure->text() << "\n";
    return 1;
  }
  return std::get<int>(Outcome);
}
