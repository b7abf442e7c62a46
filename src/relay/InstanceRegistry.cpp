#include "relay/InstanceRegistry.h"
#include "absl/hash/hash.h"
#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include <algorithm>
#include <openssl/rand.h>

namespace quetzallead {

/// Time to live of the lease: how long a failed instance stays registered. The
/// other instances notice a lost home by their links to it.
static constexpr Duration LeaseTtl = absl::Seconds(30);
/// Interval between lease renewals, short enough that one may fail before the
/// lease expires. Each renewal is followed by a read of the directory.
static constexpr Duration RenewInterval = absl::Seconds(10);
/// Interval between reads of an instance that is not registered.
static constexpr Duration RefreshInterval = absl::Seconds(15);
/// Delay from registration to the first renewal and read.
static constexpr Duration FirstReadDelay = absl::Seconds(2);
/// Delay before a failed call is retried, doubled with each consecutive one.
static constexpr Duration MinRetryDelay = absl::Milliseconds(100);
static constexpr int MaxRetryDoublings = 4;
/// Longest delay of the registration in a new era.
static constexpr Duration MaxEraDelay = absl::Milliseconds(400);
/// Length of the secret that authenticates instances to each other.
static constexpr std::size_t SecretBytes = 32;

InstanceRegistry::InstanceRegistry(
    RevisionedStore &GivenStore, LoopTimers &GivenTimers,
    InstanceRegistryOptions GivenOptions,
    std::function<void(const InstanceDirectory &)> GivenOnDirectory)
    : Store(GivenStore), Timers(GivenTimers), Options(std::move(GivenOptions)),
      OnDirectory(std::move(GivenOnDirectory)),
      Engine(absl::Hash<std::string>()(Options.Self.Name)) {}

void InstanceRegistry::start() { readDirectory(std::string()); }

double InstanceRegistry::randomFraction() {
  return static_cast<double>(Engine()) / 4294967296.0;
}

void InstanceRegistry::scheduleAdvance(Duration Delay) {
  ConsecutiveFailures = 0;
  Timer = Timers.at(LoopTimers::now() + Delay * (0.75 + 0.5 * randomFraction()),
                    [this](TimePoint) { advance(); });
}

void InstanceRegistry::scheduleRetry() {
  const int Doublings = std::min(ConsecutiveFailures, MaxRetryDoublings);
  const int Failures = ConsecutiveFailures + 1;
  scheduleAdvance(MinRetryDelay * (1 << Doublings));
  ConsecutiveFailures = Failures;
}

void InstanceRegistry::requireRegistration() {
  if (WantsRegistration || Deregistered)
    return;
  WantsRegistration = true;
  // A read in progress continues with the registration when it ends.
  if (DirectoryRead && Timer != nullptr)
    advance();
}

void InstanceRegistry::advance() {
  Timer.reset();
  if (Deregistered)
    return;
  const bool Registering =
      DirectoryRead && WantsRegistration && (!Registered || Lease == 0);
  if (Registering && !HasSecret && !Options.Self.LinkAddress.empty())
    createSecret();
  else if (Registering && Lease == 0)
    grantLease();
  else if (Registering)
    putRegistration();
  else if (DirectoryRead && Registered && !ReadNext)
    renewLease();
  else
    readDirectory(std::string());
}

void InstanceRegistry::createSecret() {
  std::string Bytes(SecretBytes, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char *>(Bytes.data()),
                 static_cast<int>(Bytes.size())) != 1) {
    scheduleRetry();
    return;
  }
  const std::string Text = absl::BytesToHexString(Bytes);
  Store.create(Options.SecretKey, Text, [this, Text](StoreReply Reply) {
    if (Reply.Outcome == StoreOutcome::Done) {
      Incoming.LinkSecret = Text;
      Secret = Text;
      HasSecret = true;
      advance();
      return;
    }
    // Another instance may have created it; the next read tells.
    DirectoryRead = false;
    scheduleRetry();
  });
}

void InstanceRegistry::restoreSecret() {
  // If another instance has stored one meanwhile, the next read tells.
  Store.create(Options.SecretKey, Secret, [](StoreReply) {});
}

void InstanceRegistry::onNewEra() {
  ++Eras;
  if (Deregistered || !DirectoryRead)
    return;
  Lease = 0;
  ReadNext = true;
  EraBegins = true;
  // A lease is asked for at once, the directory is read later.
  const Duration Delay = Registered ? MaxEraDelay : FirstReadDelay;
  scheduleAdvance(Delay * randomFraction());
}

void InstanceRegistry::grantLease() {
  Store.grantLease(LeaseTtl, [this, Era = Eras](StoreReply Reply) {
    if (Era != Eras)
      return;
    if (Reply.Outcome != StoreOutcome::Done || Reply.Lease == 0) {
      scheduleRetry();
      return;
    }
    Lease = Reply.Lease;
    if (Deregistered)
      Store.endLease(Lease, [](StoreReply) {});
    else
      putRegistration();
  });
}

void InstanceRegistry::putRegistration() {
  Store.put(Options.InstancesPrefix + Options.Self.Name,
            encodeInstanceRecord(Options.Self), Lease,
            [this, Era = Eras](StoreReply Reply) {
              if (Era != Eras)
                return;
              if (Reply.Outcome == StoreOutcome::NotFound)
                Lease = 0;
              Registered = Reply.Outcome == StoreOutcome::Done;
              ReadNext = true;
              if (!Registered) {
                scheduleRetry();
                return;
              }
              addSelf();
              OnDirectory(Incoming);
              // The delay lets instances that start together all register
              // before the next read.
              scheduleAdvance(FirstReadDelay);
            });
}

void InstanceRegistry::addSelf() {
  auto &Instances = Incoming.Instances;
  // The directory may be older than the registration, or still hold the one
  // from before a restart.
  Instances.erase(std::remove_if(Instances.begin(), Instances.end(),
                                 [this](const InstanceRecord &I) {
                                   return I.Name == Options.Self.Name;
                                 }),
                  Instances.end());
  Instances.push_back(Options.Self);
}

void InstanceRegistry::renewLease() {
  Store.renewLease(Lease, [this, Era = Eras](StoreReply Reply) {
    if (Era != Eras)
      return;
    if (Reply.Outcome == StoreOutcome::NotFound) {
      Lease = 0;
      Registered = false;
      advance();
      return;
    }
    if (Reply.Outcome == StoreOutcome::Done)
      readDirectory(std::string());
    else
      scheduleRetry();
  });
}

void InstanceRegistry::readDirectory(const std::string &AfterKey) {
  if (AfterKey.empty())
    Incoming = InstanceDirectory();
  // Until the first registration an old directory would be misleading: the
  // instances that start together have just registered.
  const bool AllowStale = DirectoryRead && HasSecret && !EraBegins &&
                          (Registered || !WantsRegistration);
  Store.read(Options.Prefix, AfterKey, AllowStale,
             [this, Era = Eras](const StorePage &Page) {
               // A directory in parts from two eras is none.
               if (Era == Eras || !DirectoryRead)
                 onPage(Page);
             });
}

void InstanceRegistry::onPage(const StorePage &Page) {
  if (Deregistered)
    return;
  if (Page.Outcome != StoreOutcome::Done) {
    scheduleRetry();
    return;
  }
  for (const StoreItem &Item : Page.Items) {
    if (Item.Key == Options.SecretKey) {
      Incoming.LinkSecret = Item.Value;
      continue;
    }
    if (!absl::StartsWith(Item.Key, Options.InstancesPrefix))
      continue;
    auto Decoded = capture([&] { return decodeInstanceRecord(Item.Value); });
    if (auto *Record = std::get_if<InstanceRecord>(&Decoded))
      Incoming.Instances.push_back(std::move(*Record));
    else
      ++Incoming.Undecoded;
  }
  if (Page.HasMore && !Page.Items.empty()) {
    readDirectory(Page.Items.back().Key);
    return;
  }
  onDirectory();
}

void InstanceRegistry::onDirectory() {
  DirectoryRead = true;
  if (Incoming.LinkSecret.empty() && !Secret.empty()) {
    Incoming.LinkSecret = Secret;
    restoreSecret();
  }
  Secret = Incoming.LinkSecret;
  HasSecret = !Secret.empty();
  ReadNext = false;
  EraBegins = false;
  if (Registered)
    addSelf();
  OnDirectory(Incoming);
  if (Registered) {
    scheduleAdvance(RenewInterval);
    return;
  }
  if (!WantsRegistration) {
    switch (planRegistration(Incoming, Options.Self, Options.Homes,
                             WaitedToRegister)) {
    case RegistrationStep::Stay:
      scheduleAdvance(RefreshInterval);
      return;
    case RegistrationStep::WaitFirst:
      WaitedToRegister = true;
      DirectoryRead = false;
      Timer =
          Timers.at(LoopTimers::now() + registrationDelay(Options.Self.Weight,
                                                          randomFraction()),
                    [this](TimePoint) { advance(); });
      return;
    case RegistrationStep::Register:
      WantsRegistration = true;
      break;
    }
  }
  advance();
}

void InstanceRegistry::probeStore() {
  if (Lease != 0 && !Deregistered)
    Store.renewLease(Lease, [](StoreReply) {});
  else
    Store.read(Options.SecretKey, std::string(), false,
               [](const StorePage &) {});
}

void InstanceRegistry::deregister() {
  Deregistered = true;
  Timer.reset();
  if (Lease != 0)
    Store.endLease(Lease, [](StoreReply) {});
}

} // namespace quetzallead
