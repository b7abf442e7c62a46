#include "core/config/AuditArchive.h"
#include "quetzallead/SheetAction.h"
#include "quetzallead/SheetDelta.h"
#include "quetzallead/SheetDocumentCodec.h"
#include "quetzallead/SheetEvent.h"
#include "quetzallead/SheetStore.h"
#include "quetzallead/SheetStoreOptions.h"
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <set>

using namespace quetzallead;

namespace {

/// A key of the model's store.
struct Cell {
  std::string Value;
  std::uint64_t Index = 0;
};

/// A call of an instance that was neither carried out nor answered yet.
struct PendingCall {
  std::size_t Instance = 0;
  int Incarnation = 0;
  SheetAction::Variant Body;
};

/// Several instances, one store that misbehaves as drawn, and the record of
/// what operators were told.
class Fleet {
public:
  Fleet(std::size_t Size, SheetStoreOptions InstanceOptions)
      : Options(std::move(InstanceOptions)) {
    for (std::size_t I = 0; I < Size; ++I) {
      Stores.emplace_back(Options, I + 1);
      Incarnations.push_back(0);
      Highest.push_back(0);
    }
  }

  void feed(std::size_t I, SheetEvent::Variant Body) {
    for (SheetAction &Action : Stores[I].step(SheetEvent{std::move(Body)}, Now))
      perform(I, Action.Body);
  }

  void tick(Duration Span) {
    Now += Span;
    for (std::size_t I = 0; I < Stores.size(); ++I)
      feed(I, SheetEvent::Tick{});
  }

  void submit(std::size_t I, bool Repeat) {
    std::string Id =
        "id" + std::to_string(Repeat && LastId > 0 ? LastId : ++LastId);
    auto Held = Stores[I].inForce();
    if (!Repeat || Submissions.count(Id) == 0)
      Submissions[Id] =
          Submission{Id, Held ? Held->Revision : 0, "ana", "r", sheet(LastId)};
    ++Asked[Id];
    feed(I, SheetEvent::Submitted{++LastRequest, Submissions[Id]});
  }

  /// Carries out a pending call in one of the ways a network may.
  void resolve(std::size_t Which, int Way) {
    if (Calls.empty())
      return;
    auto At = Calls.begin() + static_cast<std::ptrdiff_t>(Which % Calls.size());
    PendingCall Call = std::move(*At);
    Calls.erase(At);
    if (const auto *Write = std::get_if<SheetAction::Write>(&Call.Body))
      return resolveWrite(Call, *Write, Way);
    if (const auto *Read = std::get_if<SheetAction::Read>(&Call.Body))
      return reply(Call, read(Read->Call, Read->Key, Way != 0));
    const auto &Watch = std::get<SheetAction::Watch>(Call.Body);
    reply(Call, read(Watch.Call, Watch.Key, Way != 0));
  }

  /// A write whose sender was told Unknown takes effect after all, or not.
  void settleDelayed(bool Apply) {
    if (Delayed.empty())
      return;
    if (Apply)
      compareAndSwap(Delayed.front());
    Delayed.erase(Delayed.begin());
  }

  void gossip(std::size_t From, std::size_t To) {
    auto Document = Stores[From].inForce();
    feed(To, SheetEvent::PeerAnnounced{std::to_string(From),
                                       Document ? Document->Revision : 0});
  }

  void setDuty(std::size_t I, bool Watch) {
    feed(I, SheetEvent::DutyChanged{Watch});
  }

  void replaceInstance(std::size_t I) {
    Stores[I] = SheetStore(Options, I + 100);
    ++Incarnations[I];
    Highest[I] = 0;
  }

  void saveStore() { Saved = Cells[Options.SheetKey]; }
  void restoreStore() {
    if (!Saved.Value.empty())
      Cells[Options.SheetKey] = Saved;
  }

  /// Lets everything come to rest without further faults.
  void heal() {
    while (!Delayed.empty())
      settleDelayed(true);
    for (int Round = 0; Round < 60; ++Round) {
      tick(absl::Seconds(1));
      for (std::size_t I = 0; I < Stores.size(); ++I)
        setDuty(I, true);
      for (int Step = 0; Step < 40 && !Calls.empty(); ++Step)
        resolve(0, 1);
      for (std::size_t I = 0; I < Stores.size(); ++I)
        gossip(I, (I + 1) % Stores.size());
    }
  }

  std::vector<AuditEntry> trail() const {
    std::vector<std::vector<AuditEntry>> Blocks;
    for (const auto &Entry : Cells) {
      if (Entry.first == Options.SheetKey)
        continue;
      const std::string &Text = Entry.second.Value;
      auto Outcome = capture([&] { return parseAuditBlock(Text); });
      Blocks.push_back(std::get<std::vector<AuditEntry>>(Outcome));
    }
    auto Held = Stores[0].inForce();
    return auditTrail(Blocks, Held ? Held->Audit : std::vector<AuditEntry>());
  }

  SheetStoreOptions Options;
  std::vector<SheetStore> Stores;
  std::map<std::string, Cell> Cells;
  std::map<std::string, std::set<SubmissionOutcome>> Told;
  std::map<std::string, int> Asked;
  bool WentBack = false;

private:
  static Sheet sheet(int Number) {
    BackendServerSpec Server;
    Server.Name = "x";
    Server.Zone = "a";
    Server.Address = "127.0.0.1:21000";
    Server.Slots = Number;
    ServiceSpec Service;
    Service.Name = "s";
    Service.Shards = {ShardSpec{"s0", "", "", {Server}}};
    return Sheet{"d", {"a"}, {Service}};
  }

  void perform(std::size_t I, const SheetAction::Variant &Body) {
    if (const auto *Publish = std::get_if<SheetAction::Publish>(&Body)) {
      WentBack |= Publish->Document->Revision < Highest[I];
      Highest[I] = Publish->Document->Revision;
    } else if (const auto *Answer = std::get_if<SheetAction::Answer>(&Body)) {
      Told[Answer->SubmissionId].insert(Answer->Outcome);
    } else if (const auto *Fetch = std::get_if<SheetAction::Fetch>(&Body)) {
      fetch(I, *Fetch);
    } else if (!std::holds_alternative<SheetAction::Notice>(Body)) {
      Calls.push_back(PendingCall{I, Incarnations[I], Body});
    }
  }

  void fetch(std::size_t I, const SheetAction::Fetch &Fetch) {
    auto Held = Stores[I].inForce();
    auto Theirs = Stores[std::stoul(Fetch.Peer)].inForce();
    if (!Theirs)
      return;
    SheetDelta Delta = makeDelta(Held.get(), *Theirs);
    auto Outcome = capture([&] { return applyDelta(Held.get(), Delta); });
    auto Document =
        std::make_shared<const SheetDocument>(std::get<SheetDocument>(Outcome));
    feed(I, SheetEvent::PeerDocument{Document});
  }

  void reply(const PendingCall &Call, SheetEvent::Variant Body) {
    if (Incarnations[Call.Instance] == Call.Incarnation)
      feed(Call.Instance, std::move(Body));
  }

  SheetEvent::StoreRead read(std::uint64_t Call, const std::string &Key,
                             bool Answered) {
    SheetEvent::StoreRead Reply;
    Reply.Call = Call;
    Reply.Answered = Answered;
    const Cell &Content = Cells[Key];
    Reply.Found = !Content.Value.empty();
    Reply.Value = Content.Value;
    Reply.ModifyIndex = Content.Index;
    Reply.WatchIndex = Content.Index;
    if (Content.Value.empty())
      Cells.erase(Key);
    return Reply;
  }

  bool compareAndSwap(const SheetAction::Write &Write) {
    auto Found = Cells.find(Write.Key);
    std::uint64_t Index = Found == Cells.end() ? 0 : Found->second.Index;
    if (Index != Write.Index)
      return false;
    Cells[Write.Key] = Cell{Write.Value, Index + 1};
    return true;
  }

  void resolveWrite(const PendingCall &Call, const SheetAction::Write &Write,
                    int Way) {
    WriteOutcome Outcome = WriteOutcome::Unknown;
    if (Way == 0)
      Outcome = WriteOutcome::Unavailable;
    else if (Way == 2)
      compareAndSwap(Write);
    else if (Way == 3)
      Delayed.push_back(Write);
    else if (Way != 4)
      Outcome =
          compareAndSwap(Write) ? WriteOutcome::Applied : WriteOutcome::Refused;
    reply(Call, SheetEvent::StoreWritten{Write.Call, Outcome});
  }

  TimePoint Now = absl::FromUnixSeconds(1000);
  std::vector<int> Incarnations;
  std::vector<std::uint64_t> Highest;
  std::vector<PendingCall> Calls;
  std::vector<SheetAction::Write> Delayed;
  std::map<std::string, Submission> Submissions;
  Cell Saved;
  int LastId = 0;
  std::uint64_t LastRequest = 0;
};

enum class Faults { LostAnswersAndRestarts, LostAnswersAndRestores };

} // namespace

static void runSchedule(Fleet &F, Faults Which) {
  int Steps = *rc::gen::inRange(20, 250);
  for (int Step = 0; Step < Steps; ++Step) {
    auto I = *rc::gen::inRange<std::size_t>(0, F.Stores.size());
    auto J = *rc::gen::inRange<std::size_t>(0, F.Stores.size());
    int Way = *rc::gen::inRange(0, 8);
    switch (*rc::gen::inRange(0, 20)) {
    case 0:
    case 1:
      F.submit(I, Way == 0);
      break;
    case 2:
      F.settleDelayed(Way < 6);
      break;
    case 3:
      F.gossip(I, J);
      break;
    case 4:
      F.setDuty(I, Way < 4);
      break;
    case 5:
      if (Which == Faults::LostAnswersAndRestarts)
        F.replaceInstance(I);
      else if (Way < 4)
        F.saveStore();
      else
        F.restoreStore();
      break;
    case 6:
    case 7:
    case 8:
      F.tick(absl::Milliseconds(*rc::gen::inRange(1, 4000)));
      break;
    default:
      F.resolve(I * 7 + J, Way);
    }
  }
  F.heal();
}

static int timesIn(const std::vector<AuditEntry> &Trail,
                   const std::string &Id) {
  int Times = 0;
  for (const AuditEntry &Entry : Trail)
    Times += Entry.SubmissionId == Id ? 1 : 0;
  return Times;
}

static void checkAgreement(const Fleet &F) {
  RC_ASSERT(!F.WentBack);
  auto First = F.Stores[0].inForce();
  for (const SheetStore &Store : F.Stores) {
    RC_ASSERT(Store.unsettled() == 0u);
    auto Held = Store.inForce();
    RC_ASSERT((Held != nullptr) == (First != nullptr));
    if (!Held)
      continue;
    RC_ASSERT(formatDocument(*Held) == formatDocument(*First));
    RC_ASSERT(F.Cells.at(F.Options.SheetKey).Value == formatDocument(*Held));
  }
}

static void checkScheduleWithRestarts() {
  SheetStoreOptions Options;
  Options.MaxAuditInside = 6;
  Options.AuditBlockSize = 3;
  Fleet F(3, Options);
  runSchedule(F, Faults::LostAnswersAndRestarts);
  checkAgreement(F);
  std::vector<AuditEntry> Trail = F.trail();
  for (std::size_t I = 0; I < Trail.size(); ++I) {
    RC_ASSERT(Trail[I].Revision == I + 1);
    RC_ASSERT(Trail[I].BaseRevision == I);
    RC_ASSERT(!Trail[I].Superseded);
  }
  for (const auto &[Id, Outcomes] : F.Told) {
    if (Outcomes.count(SubmissionOutcome::Accepted) > 0)
      RC_ASSERT(timesIn(Trail, Id) == 1);
    if (Outcomes.count(SubmissionOutcome::Conflict) > 0 ||
        Outcomes.count(SubmissionOutcome::Unchanged) > 0 ||
        (Outcomes.count(SubmissionOutcome::Unavailable) > 0 &&
         F.Asked.at(Id) == 1))
      RC_ASSERT(timesIn(Trail, Id) == 0);
  }
}

static void checkScheduleWithRestores() {
  Fleet F(3, SheetStoreOptions());
  runSchedule(F, Faults::LostAnswersAndRestores);
  checkAgreement(F);
  std::vector<AuditEntry> Trail = F.trail();
  for (const auto &[Id, Outcomes] : F.Told)
    if (Outcomes.count(SubmissionOutcome::Accepted) > 0)
      RC_ASSERT(timesIn(Trail, Id) == 1);
}

/// Schedules run in each case of a property, as rare faults need many.
static constexpr int SchedulesPerCase = 10;

RC_GTEST_PROP(SheetStorePropertyTest,
              LostAnswersRacesAndRestartsAreToldTruthfully, ()) {
  for (int I = 0; I < SchedulesPerCase; ++I)
    checkScheduleWithRestarts();
}

RC_GTEST_PROP(SheetStorePropertyTest, RestoredStoresNeverLoseAnAcceptedChange,
              ()) {
  for (int I = 0; I < SchedulesPerCase; ++I)
    checkScheduleWithRestores();
}
