#include "relay/RelayWithStore.h"

using namespace quetzallead;

namespace {

std::string accountSheet(int Version, const std::string &Accounts) {
  return absl::StrCat(R"({"version": )", Version, R"(, "routes": [
    {"name": "r", "host": "h", "prefix": "/", "type": "idempotent",
     "timeout_ms": 3000, "slo_ms": 1000, "priority": 1, "service": "x",
     "max_attempts": 2, "public": false},
    {"name": "p", "host": "h", "prefix": "/public/", "type": "idempotent",
     "timeout_ms": 3000, "slo_ms": 1000, "priority": 1, "service": "x",
     "max_attempts": 2, "public": true}],
    "services": [{"name": "x", "max_conns": 26}],
    "tenants": [)",
                      Accounts, "]}");
}

constexpr char TwoAccounts[] =
    R"({"name": "alpha", "api_keys": ["key-1", "key-2"]},
       {"name": "beta", "api_keys": ["key-3"]})";

class AccountsTest : public RelayWithStore {
protected:
  void useAccounts(int Version, const std::string &Accounts) {
    Store.put("op/config", accountSheet(Version, Accounts));
  }
  unsigned askWith(const std::string &Fields, const std::string &Path = "/a") {
    return ask(Path, CallerPort, Fields);
  }
  /// Waits until the accounts are in force.
  void awaitAccounts() {
    await([&] { return askWith("Key: unknown\r\n") == 401; });
    await([&] { return askWith("Key: key-1\r\n") == 200; });
  }
  bool serverSaw(const std::string &Text) {
    return Backend.lastHead().find(Text) != std::string::npos;
  }
};

} // namespace

TEST_F(AccountsTest, RequestIsOnTheAccountOfItsKey) {
  useAccounts(4, TwoAccounts);
  awaitAccounts();
  EXPECT_EQ(askWith("Key: key-3\r\nTenant: alpha\r\n"), 200u);
  EXPECT_TRUE(serverSaw("Tenant: beta\r\n")) << Backend.lastHead();
  EXPECT_FALSE(serverSaw("alpha"));
  EXPECT_FALSE(serverSaw("key-3"));
  EXPECT_FALSE(serverSaw("Key:"));
  const int Before = Backend.Requests;
  EXPECT_EQ(askWith(""), 401u);
  EXPECT_EQ(askWith("Key: \r\n"), 401u);
  EXPECT_EQ(askWith("Key: KEY-1\r\n"), 401u);
  EXPECT_EQ(askWith("Key: key-1\r\nKey: key-3\r\n"), 401u);
  EXPECT_EQ(Backend.Requests, Before);
  EXPECT_EQ(askWith("KEY: key-2\r\nkey: key-2\r\n"), 200u);
  EXPECT_TRUE(serverSaw("Tenant: alpha\r\n"));
}

TEST_F(AccountsTest, PublicRouteNeedsNoKeyAndNamesNoAccount) {
  useAccounts(4, TwoAccounts);
  awaitAccounts();
  EXPECT_EQ(askWith("Tenant: alpha\r\n", "/public/a"), 200u);
  EXPECT_FALSE(serverSaw("Tenant"));
  EXPECT_EQ(askWith("Key: unknown\r\n", "/public/a"), 200u);
  EXPECT_FALSE(serverSaw("unknown"));
  EXPECT_EQ(askWith("Key: key-1\r\n", "/public/a"), 200u);
  EXPECT_TRUE(serverSaw("Tenant: alpha\r\n"));
}

// A key that was taken away must not be good again, also if the store shows an
// older sheet.
TEST_F(AccountsTest, KeyThatIsTakenAwayIsRefused) {
  useAccounts(4, TwoAccounts);
  awaitAccounts();
  useAccounts(5, R"({"name": "alpha", "api_keys": ["key-2"]},
                    {"name": "beta", "api_keys": ["key-1"]})");
  await([&] { return askWith("Key: key-3\r\n") == 401; });
  EXPECT_EQ(askWith("Key: key-1\r\n"), 200u);
  EXPECT_TRUE(serverSaw("Tenant: beta\r\n")) << "the key has moved";
  useAccounts(4, TwoAccounts);
  absl::SleepFor(absl::Milliseconds(600));
  EXPECT_EQ(askWith("Key: key-3\r\n"), 401u);
}

TEST_F(AccountsTest, SheetWithoutAccountsPassesTheHeaderOn) {
  await([&] { return askWith("Key: mine\r\n") == 200; });
  EXPECT_TRUE(serverSaw("Key: mine\r\n"));
}

TEST_F(AccountsTest, OddAccountsLeaveTheLastSheetInForce) {
  useAccounts(4, TwoAccounts);
  awaitAccounts();
  useAccounts(5, R"({"name": "alpha", "api_keys": [7]})");
  absl::SleepFor(absl::Milliseconds(600));
  EXPECT_EQ(askWith("Key: key-1\r\n"), 200u);
}

TEST_F(AccountsTest, RequestsAboveTheLimitAreRejectedAtOnce) {
  useAccounts(4, R"({"name": "alpha", "api_keys": ["key-1"],
                     "rate_per_s": 2, "burst": 1},
                    {"name": "beta", "api_keys": ["key-3"]})");
  awaitAccounts();
  int Limited = 0;
  std::string Head;
  for (int I = 0; I < 60; ++I) {
    const std::string Next = askForHead("/a", CallerPort, "Key: key-1\r\n");
    if (Next.find(" 429 ") == std::string::npos)
      continue;
    ++Limited;
    Head = Next;
  }
  EXPECT_GE(Limited, 30);
  EXPECT_NE(Head.find("Retry-After: "), std::string::npos) << Head;
  EXPECT_EQ(askWith("Key: key-3\r\n"), 200u);
}
