#include "relay/RequestFingerprint.h"
#include "relay/ForwardedRequest.h"
#include <gtest/gtest.h>

using namespace quetzallead;

TEST(RequestFingerprintTest, DependsOnTheContentAlone) {
  ForwardedRequest Call;
  Call.Method = "POST";
  Call.Host = "h";
  Call.Target = "/a";
  Call.Body = "b";
  const std::string Fingerprint = requestFingerprint(Call);
  EXPECT_EQ(Fingerprint.size(), 32u);
  ForwardedRequest Repeat = Call;
  Repeat.RequestId = "2";
  Repeat.Headers = "Request-Id: 2\r\n";
  EXPECT_EQ(requestFingerprint(Repeat), Fingerprint);
  for (std::string ForwardedRequest::*Part :
       {&ForwardedRequest::Method, &ForwardedRequest::Host,
        &ForwardedRequest::Target, &ForwardedRequest::Body}) {
    ForwardedRequest Other = Call;
    Other.*Part += "x";
    EXPECT_NE(requestFingerprint(Other), Fingerprint);
  }
  // The same characters, divided differently.
  ForwardedRequest Moved = Call;
  Moved.Target = "/ab";
  Moved.Body = "";
  EXPECT_NE(requestFingerprint(Moved), Fingerprint);
}
