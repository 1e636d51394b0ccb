#include <iostream>

#include "command/commands.hpp"

// NOLINTNEXTLINE(bugprone-exception-escape): defining the commands throws only if their definition is wrong
int main(int argumentCount, char** arguments) {
  CLI::App app{"thistlefold: a call router that sets calls up over trunk groups"};
  app.require_subcommand(1);
  app.footer("Help on a command: thistlefold COMMAND --help. Help on settings files: thistlefold check --explain.");
  int status = 0;
  using namespace thistlefold::command;
  addServe(app, status);
  addNode(app, status);
  addStatus(app, status);
  addCheck(app, status);
  addDay(app, status);
  addAudit(app, status);
  addZones(app, status);
  addDimension(app, status);
  addSimulators(app, status);
  try {
    app.parse(argumentCount, arguments);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error);
    return code == 0 ? 0 : 2;
  } catch (const std::exception& error) {
    std::cerr << "thistlefold: " << error.what() << '\n';
    return 2;
  }
  // The flush fails if the output could not be written, for example to a file on a full disk.
  if (!std::cout.flush()) {
    std::cerr << "thistlefold: standard output: could not be written completely (disk full?)\n";
    return 2;
  }
  return status;
}
