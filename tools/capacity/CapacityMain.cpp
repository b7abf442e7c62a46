#include "capacity/CapacityModel.h"
#include "capacity/CapacityPage.h"
#include "capacity/FleetSize.h"
#include "capacity/SlopeTable.h"
#include <fstream>
#include <iostream>
#include <sstream>

/// \file
/// quetzallead-capacity FILE: prints the tables of docs/CAPACITY.md from the
/// slopes in FILE.

using namespace quetzallead;

int main(int Argc, char **Argv) {
  if (Argc != 2) {
    std::cerr << "quetzallead-capacity SLOPES.json\n";
    return 2;
  }
  std::ifstream File(Argv[1]);
  std::ostringstream Text;
  Text << File.rdbuf();
  const auto Read = capture([&] { return parseSlopes(Text.str()); });
  if (const auto *Failure = std::get_if<Error>(&Read)) {
    std::cerr << Argv[1] << ": " << Failure->text() << '\n';
    return 2;
  }
  const auto &Slopes = std::get<SlopeTable>(Read);
  const FleetSize Size;
  std::cout << formatCapacityTables(makeCapacityRows(Size, Slopes),
                                    makeControlCost(Size, Slopes), Slopes);
  return 0;
}
