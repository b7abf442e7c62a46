#include "core/relay/RouteTable.h"
#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace quetzallead {

RouteTable::RouteTable(RouteSheet InitialSheet)
    : Sheet(std::move(InitialSheet)), Accounts(Sheet.Accounts) {
  ByPrefix.reserve(Sheet.Routes.size());
  for (const Route &R : Sheet.Routes)
    ByPrefix.emplace(absl::StrCat(absl::AsciiStrToLower(R.Host), R.Prefix), &R);
  // Keys are secrets, and the table has their hashes.
  for (ClientAccount &Account : Sheet.Accounts)
    std::vector<std::string>().swap(Account.Keys);
}

const Route *RouteTable::find(absl::string_view Host,
                              absl::string_view Target) const {
  Host = Host.substr(0, Host.find(':'));
  absl::string_view Path = Target.substr(0, Target.find_first_of("?#"));
  std::string Key = absl::AsciiStrToLower(Host);
  const std::size_t HostBytes = Key.size();
  absl::StrAppend(&Key, Path);
  // Every prefix ends with a slash, so only substrings that end with one can
  // match.
  for (std::size_t End = Key.rfind('/');
       End != std::string::npos && End >= HostBytes;
       End = Key.rfind('/', End - 1)) {
    auto Found = ByPrefix.find(absl::string_view(Key).substr(0, End + 1));
    if (Found != ByPrefix.end())
      return Found->second;
    if (End == 0)
      break;
  }
  return nullptr;
}

} // namespace quetzallead
