#ifndef QUETZALLEAD_DAEMON_BACKENDCODEC_H
#define QUETZALLEAD_DAEMON_BACKENDCODEC_H

#include "quetzallead/AttemptResult.h"
#include "quetzallead/SubReply.h"
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace quetzallead {

struct HttpOutcome;

/// The part of a sub-request that all attempts of one request share.
struct SubRequestTemplate {
  /// JSON members without braces, each followed by a comma.
  std::string Members;
};

/// Nesting of arrays and objects in a reply.
inline constexpr std::size_t MaxReplyDepth = 64;

/// What one exchange with a backend server came to.
struct DecodedReply {
  AttemptResult Result = AttemptResult::BadReply;
  /// Valid if Result is Answered.
  SubReply Reply;
  HeldVersions Held;
  std::optional<LoadReport> Load;
  /// Words for the decision record.
  std::string Detail;
};

/// Body of a sub-request with identifier \p Id, pinned to \p Version if that
/// is not 0.
std::string encodeSubRequest(const SubRequestTemplate &Template,
                             const std::string &Id, std::uint64_t Version);

/// Reads the outcome of the exchange that sent identifier \p Id. A reply that
/// does not carry the identifier, or is not whole, is a BadReply.
DecodedReply decodeReply(const HttpOutcome &Outcome, const std::string &Id,
                         bool WantsCount);

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_BACKENDCODEC_H
