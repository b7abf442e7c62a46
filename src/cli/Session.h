#ifndef QUETZALLEAD_CLI_SESSION_H
#define QUETZALLEAD_CLI_SESSION_H

#include "cli/CommandLine.h"
#include "cli/ExitCode.h"
#include "quetzallead/Error.h"
#include "quetzallead/Time.h"
#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace quetzallead {

class HttpClient;
struct HttpCall;
struct HttpOutcome;

/// What the commands of one run work with.
struct Session {
  const CommandLine &Line;
  /// The words after those of the command.
  std::vector<std::string> Arguments;
  HttpClient &Client;
  std::ostream &Out;
  std::ostream &Err;
  /// Waits; replaced in tests.
  std::function<void(Duration)> Pause;
};

/// A call to the operators' listener, with the token if one was given. Fails
/// with NotFound if the token file cannot be read.
Result<HttpCall> adminCall(const Session &S, std::string Method,
                           std::string Target);

/// Prints an error and returns \p Code.
ExitCode complain(Session &S, ExitCode Code, const std::string &Message);

/// Prints why \p Http is no answer, or the problem it carries, and returns the
/// exit code that belongs to it.
ExitCode complainOf(Session &S, const std::string &Address,
                    const HttpOutcome &Http);

/// Prints a successful answer: as JSON if that was asked for, else as text.
void printAnswer(Session &S, const std::string &Body);

} // namespace quetzallead

#endif // QUETZALLEAD_CLI_SESSION_H
