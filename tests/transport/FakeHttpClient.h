#ifndef QUETZALLEAD_TESTS_TRANSPORT_FAKEHTTPCLIENT_H
#define QUETZALLEAD_TESTS_TRANSPORT_FAKEHTTPCLIENT_H

#include "transport/http/HttpClient.h"
#include <deque>
#include <vector>

namespace quetzallead {

/// Answers each call at once, with the outcomes of Script in turn and then with
/// Next, and keeps the calls.
class FakeHttpClient : public HttpClient {
public:
  CallId start(HttpCall Call, Completion Done) override {
    Calls.push_back(std::move(Call));
    HttpOutcome Outcome = Next;
    if (!Script.empty()) {
      Outcome = std::move(Script.front());
      Script.pop_front();
    }
    Done(std::move(Outcome));
    return Calls.size();
  }
  void cancel(CallId) override {}

  void answer(int Status, std::string Body) {
    Next = HttpOutcome();
    Next.Response.Status = Status;
    Next.Response.Body = std::move(Body);
  }
  void failWith(TransferFailure Failure) {
    Next = HttpOutcome();
    Next.Failure = Failure;
  }

  /// Adds an answer to Script.
  void then(int Status, std::string Body) {
    HttpOutcome Outcome;
    Outcome.Response.Status = Status;
    Outcome.Response.Body = std::move(Body);
    Script.push_back(std::move(Outcome));
  }
  void thenFail(TransferFailure Failure) {
    HttpOutcome Outcome;
    Outcome.Failure = Failure;
    Script.push_back(std::move(Outcome));
  }

  std::vector<HttpCall> Calls;
  std::deque<HttpOutcome> Script;
  HttpOutcome Next;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TESTS_TRANSPORT_FAKEHTTPCLIENT_H
