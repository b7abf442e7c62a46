#include "load/ArrivalProcess.h"
#include "load/DirectCaller.h"
#include "load/LoadPlan.h"
#include "load/LoadReport.h"
#include "load/LoadRunner.h"
#include "load/TierCaller.h"
#include "quetzallead/Sheet.h"
#include "quetzallead/SheetCodec.h"
#include "runtime/TimerService.h"
#include "transport/http/HttpClient.h"
#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

/// \file
/// quetzallead-load: sends the requests of a plan to the tier, or straight to
/// the backend servers, and reports what came of them.

using namespace quetzallead;
namespace po = boost::program_options;

namespace {

enum ExitCode : int {
  ExitOk = 0,
  /// An answer broke a promise.
  ExitFaulty = 1,
  ExitUsage = 2,
  /// No session could be opened.
  ExitUnreachable = 3,
};

/// Time between the end of the set-up and the first intended send time.
constexpr Duration LeadTime = absl::Milliseconds(100);

struct LoadOptions {
  std::string PlanFile;
  std::vector<std::string> Targets;
  std::string SheetFile;
  bool Direct = false;
  std::string RecordsFile;
  std::string ReportFile;
  unsigned Threads = 2;
};

po::options_description describeOptions(LoadOptions &Options) {
  po::options_description Description("quetzallead-load --plan FILE "
                                      "(--target IP:PORT... | "
                                      "--direct --sheet FILE)");
  auto Add = Description.add_options();
  Add("help", "print this text");
  Add("plan", po::value(&Options.PlanFile)->required(), "what to send");
  Add("target", po::value(&Options.Targets)->composing(),
      "caller listener of an instance; may be repeated");
  Add("direct", po::bool_switch(&Options.Direct),
      "ask the backend servers without the tier");
  Add("sheet", po::value(&Options.SheetFile), "sheet for --direct");
  Add("records", po::value(&Options.RecordsFile),
      "file for one JSON line per request");
  Add("report", po::value(&Options.ReportFile), "file for the JSON report");
  Add("threads", po::value(&Options.Threads), "threads of the HTTP client");
  return Description;
}

Result<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  if (!File)
    return fail(ErrorCode::NotFound, "cannot be read", Path);
  return Text.str();
}

Result<LoadPlan> loadPlan(const std::string &Path) {
  BOOST_LEAF_AUTO(Text, readFile(Path));
  return parseLoadPlan(Text);
}

Result<Sheet> loadSheet(const std::string &Path) {
  BOOST_LEAF_AUTO(Text, readFile(Path));
  return parseSheet(Text);
}

void writeRecords(const std::vector<LoadRecord> &Records,
                  const std::string &Path) {
  std::ofstream File(Path);
  for (const LoadRecord &Record : Records)
    File << formatRecord(Record) << '\n';
}

/// Prints the report of all records after the warm-up.
int report(const LoadPlan &Plan, const std::vector<LoadRecord> &Records,
           const LoadOptions &Options) {
  LoadReport Report;
  for (const LoadRecord &Record : Records)
    if (Record.Offset >= Plan.Warmup)
      Report.add(Record);
  const double Seconds = absl::ToDoubleSeconds(Plan.Length - Plan.Warmup);
  std::cout << Report.table(Seconds);
  if (!Options.RecordsFile.empty())
    writeRecords(Records, Options.RecordsFile);
  if (!Options.ReportFile.empty())
    std::ofstream(Options.ReportFile) << Report.json(Seconds) << '\n';
  return Report.faultyCount() == 0 ? ExitOk : ExitFaulty;
}

/// Sends the plan through \p Send. The line on standard output tells a script
/// when the run starts, so that it can time its faults.
std::vector<LoadRecord> runPlan(const LoadPlan &Plan, TimerService &Timer,
                                const LoadSender &Send) {
  const std::vector<Arrival> Arrivals = makeArrivals(Plan);
  const TimePoint Start = Timer.now() + LeadTime;
  std::cout << "started unix_ms=" << absl::ToUnixMillis(Start)
            << " requests=" << Arrivals.size() << std::endl;
  return runLoad(Arrivals, Start, Timer, Send);
}

int runTier(const LoadPlan &Plan, const LoadOptions &Options,
            HttpClient &Client, TimerService &Timer) {
  const auto Caller = TierCaller::make(Plan, Options.Targets, Client, Timer);
  if (!Caller) {
    std::cerr << "--target must be given\n";
    return ExitUsage;
  }
  const std::size_t Opened = Caller->openSessions();
  if (Opened == 0) {
    std::cerr << "no session could be opened\n";
    return ExitUnreachable;
  }
  const auto Records =
      runPlan(Plan, Timer,
              [&](const Arrival &Next, TimePoint Intended, RecordSink Sink) {
                Caller->send(Next, Intended, std::move(Sink));
              });
  return report(Plan, Records, Options);
}

int runDirect(const LoadPlan &Plan, const LoadOptions &Options,
              HttpClient &Client, TimerService &Timer) {
  const auto Loaded = capture([&] { return loadSheet(Options.SheetFile); });
  if (const auto *Failure = std::get_if<Error>(&Loaded)) {
    std::cerr << Failure->text() << '\n';
    return ExitUsage;
  }
  const auto Caller =
      DirectCaller::make(Plan, std::get<Sheet>(Loaded), Client, Timer);
  const auto Records =
      runPlan(Plan, Timer,
              [&](const Arrival &Next, TimePoint Intended, RecordSink Sink) {
                Caller->send(Next, Intended, std::move(Sink));
              });
  return report(Plan, Records, Options);
}

int run(const LoadOptions &Options) {
  const auto Loaded = capture([&] { return loadPlan(Options.PlanFile); });
  if (const auto *Failure = std::get_if<Error>(&Loaded)) {
    std::cerr << Options.PlanFile << ": " << Failure->text() << '\n';
    return ExitUsage;
  }
  const auto &Plan = std::get<LoadPlan>(Loaded);
  const auto Timer = TimerService::make();
  HttpClient::Options ClientOptions;
  ClientOptions.Threads = Options.Threads;
  const auto Client = HttpClient::make(ClientOptions);
  if (Options.Direct)
    return runDirect(Plan, Options, *Client, *Timer);
  return runTier(Plan, Options, *Client, *Timer);
}

} // namespace

int main(int Argc, char **Argv) {
  LoadOptions Options;
  const po::options_description Description = describeOptions(Options);
  try {
    po::variables_map Values;
    po::store(po::parse_command_line(Argc, Argv, Description), Values);
    if (Values.count("help") != 0) {
      std::cout << Description;
      return ExitOk;
    }
    po::notify(Values);
  } catch (const po::error &Failure) {
    std::cerr << Failure.what() << '\n';
    return ExitUsage;
  }
  return run(Options);
}
