#include "absl/time/clock.h"
#include "cli/Commands.h"
#include "transport/http/HttpClient.h"
#include <csignal>
#include <iostream>

int main(int ArgCount, char **Args) {
  using namespace quetzallead;
  std::signal(SIGPIPE, SIG_IGN);
  HttpClient::Options Options;
  Options.Threads = 1;
  std::unique_ptr<HttpClient> Client = HttpClient::make(Options);
  ExitCode Code = runTool(ArgCount, Args, *Client, std::cout, std::cerr,
                          [](Duration Span) { absl::SleepFor(Span); });
  return static_cast<int>(Code);
}
