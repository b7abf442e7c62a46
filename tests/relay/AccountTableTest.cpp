#include "core/relay/AccountTable.h"
#include "platform/PlatformSheet.h"
#include <gtest/gtest.h>
#include <limits>

using namespace quetzallead;

namespace {

ClientAccount account(const std::string &Name, std::vector<std::string> Keys) {
  ClientAccount A;
  A.Name = Name;
  A.Keys = std::move(Keys);
  return A;
}

std::string sheetWith(const std::string &Accounts) {
  return R"({"version": 1, "routes": [], "services": [], "tenants": )" +
         Accounts + "}";
}

/// Why the sheet is refused; empty if it is not.
std::string faultOf(const std::string &Accounts) {
  auto Decoded =
      capture([&] { return decodePlatformSheet(sheetWith(Accounts)); });
  auto *Fault = std::get_if<Error>(&Decoded);
  return Fault != nullptr ? Fault->text() : "";
}

} // namespace

TEST(AccountTableTest, FindsTheAccountOfEachKey) {
  const std::vector<ClientAccount> Accounts = {
      account("x", {"k1", "k2"}), account("y", {"k3"}), account("z", {})};
  const AccountTable Table(Accounts);
  EXPECT_EQ(Table.find("k1"), &Accounts[0]);
  EXPECT_EQ(Table.find("k2"), &Accounts[0]);
  EXPECT_EQ(Table.find("k3"), &Accounts[1]);
  EXPECT_EQ(Table.find("k"), nullptr);
  EXPECT_EQ(Table.find(""), nullptr);
}

TEST(AccountTableTest, AccountsThatContradictEachOtherAreRefused) {
  EXPECT_FALSE(findAccountFault({account("x", {"k"}), account("y", {"l"})}));
  // One account may list a key twice.
  EXPECT_FALSE(findAccountFault({account("x", {"k", "k"})}));
  EXPECT_TRUE(findAccountFault({account("x", {"k"}), account("y", {"k"})}));
  EXPECT_TRUE(findAccountFault({account("x", {}), account("x", {})}));
  EXPECT_TRUE(findAccountFault({account("", {"k"})}));
  EXPECT_TRUE(findAccountFault({account("x", {""})}));
  for (double Rate : {-1.0, std::numeric_limits<double>::quiet_NaN(),
                      std::numeric_limits<double>::infinity()}) {
    ClientAccount A = account("x", {"k"});
    A.RatePerSecond = Rate;
    EXPECT_TRUE(findAccountFault({A}));
  }
}

// A sheet that was refused could reveal keys in the log.
TEST(AccountTableTest, OddAccountsAreRefusedWithTheFieldAndWithoutTheKey) {
  EXPECT_EQ(faultOf(R"([{"name": "x", "api_keys": ["secret-key"],
      "priority": 1, "rate_per_s": 2.5, "burst": 3}])"),
            "");
  EXPECT_EQ(faultOf("[]"), "");
  EXPECT_EQ(faultOf("null"), "");
  const std::pair<const char *, const char *> Odd[] = {
      {R"([{"name": "x", "api_keys": "secret-key"}])", "api_keys"},
      {R"([{"name": "x", "api_keys": [1, "secret-key"]}])", "api_keys"},
      {R"([{"name": 5, "api_keys": ["secret-key"]}])", "name"},
      {R"([{"name": "x", "api_keys": ["secret-key"], "rate_per_s": "9"}])",
       "rate_per_s"},
      {R"([{"name": "x", "api_keys": ["secret-key"], "burst": -1}])", "x"},
      {R"([{"name": "x", "api_keys": ["secret-key"], "priority": []}])",
       "priority"},
      {R"([{"name": "x", "api_keys": ["secret-key"]},
          {"name": "y", "api_keys": ["secret-key"]}])",
       "y"},
      {R"(["secret-key"])", "tenants"},
      {R"({"secret-key": 1})", "tenants"},
      {R"([{"name": "x", "api_keys": ["secret-key"})", "byte"},
  };
  for (const auto &[Accounts, Named] : Odd) {
    const std::string Fault = faultOf(Accounts);
    EXPECT_NE(Fault.find(Named), std::string::npos) << Accounts << Fault;
    EXPECT_EQ(Fault.find("secret"), std::string::npos) << Fault;
  }
}

TEST(AccountTableTest, TakesManyKeys) {
  std::vector<ClientAccount> Accounts;
  for (int I = 0; I < 1000; ++I) {
    std::vector<std::string> Keys;
    Keys.reserve(100);
    for (int K = 0; K < 100; ++K)
      Keys.push_back("key-" + std::to_string(I) + "-" + std::to_string(K));
    Accounts.push_back(account("a" + std::to_string(I), std::move(Keys)));
  }
  EXPECT_FALSE(findAccountFault(Accounts));
  const AccountTable Table(Accounts);
  EXPECT_EQ(Table.find("key-999-99"), &Accounts[999]);
  EXPECT_EQ(Table.find("key-999-100"), nullptr);
}
