#include "core/base/NearestName.h"
#include <algorithm>
#include <cstddef>
#include <numeric>

namespace quetzallead {

/// Longer names are not compared; the cost grows with the square.
static constexpr std::size_t MaxComparedLength = 64;

static std::size_t editDistance(absl::string_view A, absl::string_view B) {
  std::vector<std::size_t> Row(B.size() + 1);
  std::iota(Row.begin(), Row.end(), std::size_t{0});
  for (std::size_t I = 1; I <= A.size(); ++I) {
    std::size_t Diagonal = Row[0];
    Row[0] = I;
    for (std::size_t J = 1; J <= B.size(); ++J) {
      std::size_t Replaced = Diagonal + (A[I - 1] == B[J - 1] ? 0 : 1);
      Diagonal = Row[J];
      Row[J] = std::min({Row[J] + 1, Row[J - 1] + 1, Replaced});
    }
  }
  return Row[B.size()];
}

std::string nearestName(absl::string_view Name,
                        const std::vector<std::string> &Candidates) {
  if (Name.size() > MaxComparedLength)
    return std::string();
  std::size_t Least = std::max<std::size_t>(2, Name.size() / 2) + 1;
  std::string Nearest;
  for (const std::string &Candidate : Candidates) {
    std::size_t Distance = editDistance(Name, Candidate);
    if (Distance >= Least)
      continue;
    Least = Distance;
    Nearest = Candidate;
  }
  return Nearest;
}

} // namespace quetzallead
