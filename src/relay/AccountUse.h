#ifndef QUETZALLEAD_RELAY_ACCOUNTUSE_H
#define QUETZALLEAD_RELAY_ACCOUNTUSE_H

#include "quetzallead/NameTable.h"

namespace quetzallead {

/// What became of a request at the limit of its client account.
enum class AccountUse {
  Admitted,
  Limited,  ///< Rejected: the account had reached its limit.
  Refunded, ///< Admitted, and not run in the end.
};

inline constexpr NamedValue<AccountUse> AccountUseNames[] = {
    {AccountUse::Admitted, "admitted"},
    {AccountUse::Limited, "limited"},
    {AccountUse::Refunded, "refunded"},
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_ACCOUNTUSE_H
