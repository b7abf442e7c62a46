#include "runtime/DaemonArguments.h"
#include "runtime/Version.h"
#include <boost/program_options.hpp>
#include <iostream>

namespace quetzallead {

namespace options = boost::program_options;

std::variant<DaemonArguments, int>
parseDaemonArguments(const std::string &Program, int ArgCount, char **Args) {
  options::options_description Known("Options");
  Known.add_options()("help", "print this help")(
      "version", "print the version")("settings", options::value<std::string>(),
                                      "settings file, JSON with comments")(
      "check-settings", "check the settings and exit")(
      "print-settings", "print the effective settings and exit");
  options::variables_map Given;
  try {
    options::store(options::parse_command_line(ArgCount, Args, Known), Given);
  } catch (const options::error &Fault) {
    std::cerr << Program << ": " << Fault.what() << "\n";
    return ExitUsage;
  }
  if (Given.count("help") != 0) {
    std::cout << "Usage: " << Program << " --settings FILE\n" << Known;
    return ExitOk;
  }
  if (Given.count("version") != 0) {
    std::cout << Program << " " << Version << "\n";
    return ExitOk;
  }
  if (Given.count("settings") == 0) {
    std::cerr << Program << ": --settings FILE is needed\n";
    return ExitUsage;
  }
  DaemonArguments Arguments;
  Arguments.SettingsFile = Given["settings"].as<std::string>();
  Arguments.PrintSettings = Given.count("print-settings") != 0;
  Arguments.CheckSettings = Given.count("check-settings") != 0;
  return Arguments;
}

} // namespace quetzallead
