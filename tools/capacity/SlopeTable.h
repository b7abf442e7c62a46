#ifndef QUETZALLEAD_CAPACITY_SLOPETABLE_H
#define QUETZALLEAD_CAPACITY_SLOPETABLE_H

#include "absl/strings/string_view.h"
#include "capacity/Slope.h"
#include "quetzallead/Error.h"
#include <vector>

namespace quetzallead {

/// The slopes that the capacity figures are worked out from.
class SlopeTable {
public:
  explicit SlopeTable(std::vector<Slope> Known) : Slopes(std::move(Known)) {}

  /// The slope called \p Name; one with status Missing if there is none.
  Slope find(absl::string_view Name) const;
  const std::vector<Slope> &all() const { return Slopes; }

private:
  std::vector<Slope> Slopes;
};

/// Reads {"slopes": [{"name", "value", "unit", "status", "measured_up_to",
/// "command", "commit"}]} from JSON with comments. A measured slope must name
/// command and commit.
Result<SlopeTable> parseSlopes(absl::string_view Text);

} // namespace quetzallead

#endif // QUETZALLEAD_CAPACITY_SLOPETABLE_H
