#include "daemon/ClusterDirectory.h"
#include <algorithm>
#include <xxhash.h>

namespace quetzallead {

ClusterDirectory::ClusterDirectory(const Settings &S)
    : Zone(S.Zone), Policy(S.Policy), QueuePerShard(S.Limits.QueuePerShard),
      NextSeed(XXH3_64bits(S.Instance.data(), S.Instance.size())),
      Current(std::make_shared<ClusterView>()) {}

std::shared_ptr<const ServiceView>
ClusterDirectory::makeService(const ServiceSpec &Spec, const ServiceView *Old,
                              TimePoint Now) {
  auto View = std::make_shared<ServiceView>();
  View->Spec = Spec;
  View->Stats = Old != nullptr
                    ? Old->Stats
                    : std::make_shared<ServiceStats>(Policy.ExtraLoadShare);
  // Another epoch is another division into shards: nothing carries over.
  bool SameEpoch = Old != nullptr && Old->Spec.Epoch == Spec.Epoch;
  for (const ShardSpec &Shard : Spec.Shards) {
    std::size_t Known = SameEpoch ? Old->shardNamed(Shard.Name) : 0;
    if (SameEpoch && Known < Old->Shards.size()) {
      View->Shards.push_back(Old->Shards[Known]);
      continue;
    }
    ReplicaSetOptions Options;
    Options.Policy = Policy.Routing;
    Options.Zone = Zone;
    Options.QueueLimit = static_cast<std::size_t>(QueuePerShard);
    Options.Seed = NextSeed++;
    View->Shards.push_back(
        std::make_shared<ReplicaSet>(Shard, Options, Instances, Now));
  }
  return View;
}

void ClusterDirectory::applySheet(const Sheet &S, std::uint64_t Revision,
                                  TimePoint Now) {
  std::vector<PermitGrant> Grants;
  {
    PosixMutexLock Lock(&WriterMutex);
    std::shared_ptr<const ClusterView> Old = view();
    if (Revision <= Old->Revision)
      return;
    auto Next = std::make_shared<ClusterView>();
    Next->Revision = Revision;
    for (const ServiceSpec &Spec : S.Services) {
      std::shared_ptr<const ServiceView> Known = Old->service(Spec.Name);
      auto Service = makeService(Spec, Known.get(), Now);
      for (std::size_t Index = 0; Index < Spec.Shards.size(); ++Index) {
        std::vector<PermitGrant> More =
            Service->Shards[Index]->update(Spec.Shards[Index], Instances, Now);
        Grants.insert(Grants.end(), More.begin(), More.end());
      }
      Next->Services.emplace(Spec.Name, std::move(Service));
    }
    Current.publish(std::move(Next));
  }
  for (const PermitGrant &Grant : Grants)
    Grant.deliver(Now);
}

void ClusterDirectory::applyInstanceCount(int Count, TimePoint Now) {
  std::vector<PermitGrant> Grants;
  {
    PosixMutexLock Lock(&WriterMutex);
    if (Count == Instances || Count < 1)
      return;
    Instances = Count;
    for (const auto &[Name, Service] : view()->Services)
      for (std::size_t Index = 0; Index < Service->Shards.size(); ++Index) {
        std::vector<PermitGrant> More = Service->Shards[Index]->update(
            Service->Spec.Shards[Index], Instances, Now);
        Grants.insert(Grants.end(), More.begin(), More.end());
      }
  }
  for (const PermitGrant &Grant : Grants)
    Grant.deliver(Now);
}

template <typename Fn> void ClusterDirectory::forEachSet(Fn Do) const {
  for (const auto &[Name, Service] : view()->Services)
    for (const auto &Set : Service->Shards)
      Do(*Set);
}

void ClusterDirectory::noteLeaving(const std::string &Server,
                                   LeavingCause Cause, TimePoint Now) {
  forEachSet([&](ReplicaSet &Set) { Set.noteLeaving(Server, Cause, Now); });
}

void ClusterDirectory::noteDead(const std::string &Server, TimePoint Now) {
  forEachSet([&](ReplicaSet &Set) { Set.noteDead(Server, Now); });
}

void ClusterDirectory::noteUnanswering(const std::string &Server,
                                       TimePoint Now) {
  forEachSet([&](ReplicaSet &Set) { Set.noteUnanswering(Server, Now); });
}

bool ClusterDirectory::noteHealthy(const std::string &Server, TimePoint Now) {
  bool Returned = false;
  forEachSet([&](ReplicaSet &Set) {
    Returned = Set.noteHealthy(Server, Now) || Returned;
  });
  return Returned;
}

} // namespace quetzallead
