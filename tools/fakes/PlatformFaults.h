#ifndef QUETZALLEAD_TOOLS_FAKES_PLATFORMFAULTS_H
#define QUETZALLEAD_TOOLS_FAKES_PLATFORMFAULTS_H

#include "quetzallead/NameTable.h"
#include "quetzallead/Time.h"
#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace quetzallead {

/// How a platform that is down shows it.
enum class Outage {
  None,
  Refuse, ///< Connecting fails; open connections are closed.
  Error,  ///< Every call is answered 500 and changes nothing.
  Hang,   ///< Calls are read and never answered, and change nothing.
};

inline constexpr NamedValue<Outage> OutageNames[] = {
    {Outage::None, "none"},
    {Outage::Refuse, "refuse"},
    {Outage::Error, "error"},
    {Outage::Hang, "hang"},
};

/// The faults of a running fake platform. The names of the JSON form are those
/// of the admin call.
struct PlatformFaults {
  /// "outage".
  Outage Down = Outage::None;
  /// "slow_ms": time before a call takes effect.
  Duration Slow;
  /// "slow_answer_ms": time between the effect and the answer.
  Duration SlowAnswer;
  /// "lose_write_answers": the next N key-value writes take effect and are
  /// closed unanswered.
  std::int64_t LoseWriteAnswers = 0;
  /// "frozen_list": lists stay as they are now.
  bool FrozenList = false;
  /// "hidden_nodes": nodes left out of every list.
  std::set<std::string> HiddenNodes;
};

/// Sets the fields that \p Patch names. An empty string, or what is wrong, in
/// which case nothing was changed.
std::string mergeFaults(PlatformFaults &Faults, const nlohmann::json &Patch);

} // namespace quetzallead

#endif // QUETZALLEAD_TOOLS_FAKES_PLATFORMFAULTS_H
