#ifndef QUETZALLEAD_TESTS_TRANSPORT_FAKEHTTPCLIENT_H
#define QUETZALLEAD_TESTS_TRANSPORT_FAKEHTTPCLIENT_H

#include "transport/http/HttpClient.h"
#include <vector>

namespace quetzallead {

/// Answers each call at once with Next and keeps the calls.
class FakeHttpClient : public HttpClient {
public:
  CallId start(HttpCall Call, Completion Done) override {
    Calls.push_back(std::move(Call));
    Done(Next);
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

  std::vector<HttpCall> Calls;
  HttpOutcome Next;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TESTS_TRANSPORT_FAKEHTTPCLIENT_H
