#include "daemon/ServiceView.h"
#include <algorithm>

namespace quetzallead {

std::size_t ServiceView::shardOf(const std::string &Key) const {
  auto After =
      std::upper_bound(Spec.Shards.begin(), Spec.Shards.end(), Key,
                       [](const std::string &K, const ShardSpec &Shard) {
                         return K < Shard.From;
                       });
  return static_cast<std::size_t>(After - Spec.Shards.begin()) - 1;
}

std::size_t ServiceView::shardNamed(const std::string &Name) const {
  auto It = std::find_if(Spec.Shards.begin(), Spec.Shards.end(),
                         [&](const ShardSpec &S) { return S.Name == Name; });
  return static_cast<std::size_t>(It - Spec.Shards.begin());
}

} // namespace quetzallead
