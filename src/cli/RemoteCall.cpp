#include "cli/RemoteCall.h"
#include <future>

namespace quetzallead {

HttpOutcome callAndWait(HttpClient &Client, HttpCall Call) {
  auto Promise = std::make_shared<std::promise<HttpOutcome>>();
  std::future<HttpOutcome> Outcome = Promise->get_future();
  Client.start(std::move(Call), [Promise](HttpOutcome Http) {
    Promise->set_value(std::move(Http));
  });
  return Outcome.get();
}

bool wasNotSent(const HttpOutcome &Http) {
  return Http.Failure == TransferFailure::NotSent ||
         Http.Failure == TransferFailure::TimedOutNotSent;
}

} // namespace quetzallead
