#include "core/membership/PartnerSet.h"

#include "absl/container/btree_map.h"
#include "core/membership/MemberTable.h"
#include <algorithm>

namespace quetzallead {
namespace {

void shuffle(std::vector<std::string> &Names, std::mt19937_64 &Engine) {
  // std::shuffle draws in a way that differs between libraries.
  for (std::size_t I = Names.size(); I > 1; --I)
    std::swap(Names[I - 1], Names[Engine() % I]);
}

} // namespace

void PartnerSet::refresh(const MemberTable &Members, const MemberRecord &Self,
                         TimePoint Now, std::mt19937_64 &Engine) {
  const auto IsGone = [&](const std::string &Name) {
    const MemberTable::Entry *E = Members.find(Name);
    return !E || !E->Record.isPresent();
  };
  Names.erase(std::remove_if(Names.begin(), Names.end(), IsGone), Names.end());
  const bool Rotates = Now >= RotateAt;
  if (Rotates) {
    RotateAt = Now + rotationPeriod();
    if (!Names.empty())
      Names.erase(Names.begin() +
                  static_cast<std::ptrdiff_t>(Engine() % Names.size()));
  }
  absl::btree_map<std::string, std::size_t> HeldByZone;
  for (const std::string &Name : Names)
    ++HeldByZone[Members.find(Name)->Record.Zone];
  absl::btree_map<std::string, std::vector<std::string>> ByZone;
  std::vector<std::string> Any;
  for (const auto &[Name, E] : Members.entries()) {
    if (Name == Self.Name || !E.Record.isPresent() || contains(Name))
      continue;
    ByZone[E.Record.Zone].push_back(Name);
    Any.push_back(Name);
  }
  for (auto &[Zone, Candidates] : ByZone) {
    const std::size_t Wanted =
        Zone == Self.Zone ? OwnZonePartners : PartnersPerOtherZone;
    const std::size_t Held = HeldByZone[Zone];
    if (Held < Wanted)
      addSome(std::move(Candidates), Wanted - Held, Engine);
  }
  if (Names.size() < LeastPartners)
    addSome(std::move(Any), LeastPartners - Names.size(), Engine);
}

void PartnerSet::addSome(std::vector<std::string> Candidates, std::size_t Count,
                         std::mt19937_64 &Engine) {
  shuffle(Candidates, Engine);
  for (std::string &Name : Candidates) {
    if (Count == 0)
      return;
    if (contains(Name))
      continue;
    Names.insert(Names.begin() +
                     static_cast<std::ptrdiff_t>(Engine() % (Names.size() + 1)),
                 std::move(Name));
    --Count;
  }
}

bool PartnerSet::contains(const std::string &Name) const {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

std::string PartnerSet::next() {
  if (Names.empty())
    return std::string();
  Turn = (Turn + 1) % Names.size();
  return Names[Turn];
}

std::vector<std::string> PartnerSet::some(std::size_t Count,
                                          const std::string &Excluded,
                                          std::mt19937_64 &Engine) const {
  std::vector<std::string> Chosen = Names;
  Chosen.erase(std::remove(Chosen.begin(), Chosen.end(), Excluded),
               Chosen.end());
  shuffle(Chosen, Engine);
  Chosen.resize(std::min(Count, Chosen.size()));
  return Chosen;
}

} // namespace quetzallead
