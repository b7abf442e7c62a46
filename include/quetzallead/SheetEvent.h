#ifndef QUETZALLEAD_SHEETEVENT_H
#define QUETZALLEAD_SHEETEVENT_H

#include "quetzallead/SheetDocument.h"
#include "quetzallead/Submission.h"
#include "quetzallead/WriteOutcome.h"
#include <cstdint>
#include <memory>
#include <string>
#include <variant>

namespace quetzallead {

/// Something that happened which a SheetStore must know of.
struct SheetEvent {
  /// Time passed; due retries and answers are looked for.
  struct Tick {};

  /// An operator submitted a sheet to this instance.
  struct Submitted {
    /// Names the operator's call; comes back in SheetAction::Answer.
    std::uint64_t Request = 0;
    Submission What;
  };

  /// The answer to SheetAction::Read or SheetAction::Watch.
  struct StoreRead {
    std::uint64_t Call = 0;
    /// False if no usable answer came; the rest is then without meaning.
    bool Answered = false;
    /// False if the key does not exist.
    bool Found = false;
    std::string Value;
    /// Index of the last write to the key, for compare-and-swap.
    std::uint64_t ModifyIndex = 0;
    /// Index to watch from.
    std::uint64_t WatchIndex = 0;
  };

  /// The answer to SheetAction::Write.
  struct StoreWritten {
    std::uint64_t Call = 0;
    WriteOutcome Outcome = WriteOutcome::Unknown;
  };

  /// From now on this instance is, or is not, to watch the store.
  struct DutyChanged {
    bool Watch = false;
  };

  /// A peer said which revision it holds; 0 if it has no sheet.
  struct PeerAnnounced {
    std::string Peer;
    std::uint64_t Revision = 0;
  };

  /// A peer handed over a document, checked by its digest.
  struct PeerDocument {
    std::shared_ptr<const SheetDocument> Document;
  };

  using Variant = std::variant<Tick, Submitted, StoreRead, StoreWritten,
                               DutyChanged, PeerAnnounced, PeerDocument>;
  Variant Body;
};

} // namespace quetzallead

#endif // QUETZALLEAD_SHEETEVENT_H
