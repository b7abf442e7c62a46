#ifndef QUETZALLEAD_SHEETACTION_H
#define QUETZALLEAD_SHEETACTION_H

#include "quetzallead/NameTable.h"
#include "quetzallead/SheetDocument.h"
#include "quetzallead/SubmissionOutcome.h"
#include "quetzallead/Time.h"
#include <cstdint>
#include <memory>
#include <string>
#include <variant>

namespace quetzallead {

/// Something that a SheetStore wants done.
struct SheetAction {
  /// Read a key of the store; answer with SheetEvent::StoreRead.
  struct Read {
    std::uint64_t Call = 0;
    std::string Key;
  };

  /// Wait for a change of a key; answer with SheetEvent::StoreRead.
  struct Watch {
    std::uint64_t Call = 0;
    std::string Key;
    std::uint64_t Index = 0;
    Duration Wait;
  };

  /// Compare-and-swap a key; answer with SheetEvent::StoreWritten.
  struct Write {
    std::uint64_t Call = 0;
    std::string Key;
    std::string Value;
    /// The key's index must equal this; 0 if the key must not exist.
    std::uint64_t Index = 0;
  };

  /// Ask a peer for its document, as a delta from the stated revision (0 for
  /// the whole); answer with SheetEvent::PeerDocument if it comes.
  struct Fetch {
    std::string Peer;
    std::uint64_t FromRevision = 0;
  };

  /// The document governs this instance from now on; tell the peers.
  struct Publish {
    std::shared_ptr<const SheetDocument> Document;
  };

  /// Answer one SheetEvent::Submitted; each is answered once.
  struct Answer {
    std::uint64_t Request = 0;
    std::string SubmissionId;
    SubmissionOutcome Outcome = SubmissionOutcome::Unknown;
    /// Of Accepted and Unchanged the revision with this sheet, otherwise the
    /// revision in force here.
    std::uint64_t Revision = 0;
    /// One sentence for people.
    std::string Detail;
  };

  enum class NoticeKind {
    StoreOlder,      ///< The store lost revisions; they are written back.
    StoreUnreadable, ///< The store's document cannot be read; left alone.
    HistoryDiverged, ///< Two histories were accepted; they are joined.
    SubmissionLost,  ///< An unknown submission was given up unsettled.
  };

  /// Worth a log line.
  struct Notice {
    NoticeKind Kind = NoticeKind::StoreOlder;
    std::string Detail;
  };

  using Variant =
      std::variant<Read, Watch, Write, Fetch, Publish, Answer, Notice>;
  Variant Body;
};

inline constexpr NamedValue<SheetAction::NoticeKind> SheetNoticeNames[] = {
    {SheetAction::NoticeKind::StoreOlder, "sheet_store_older"},
    {SheetAction::NoticeKind::StoreUnreadable, "sheet_store_unreadable"},
    {SheetAction::NoticeKind::HistoryDiverged, "sheet_history_diverged"},
    {SheetAction::NoticeKind::SubmissionLost, "sheet_submission_unsettled"},
};

} // namespace quetzallead

#endif // QUETZALLEAD_SHEETACTION_H
