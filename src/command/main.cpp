#include <iostream>

#include "command/commands.hpp"

// NOLINTNEXTLINE(bugprone-exception-escape): before parsing, only a wrong definition of the commands or lack of memory
// throws
int main(int count, char** words) {
  CLI::App app{"thistlefold: a call router that sets calls up over trunk groups"};
  app.require_subcommand(1);
  app.footer("Each command explains itself: thistlefold COMMAND --help. Settings: thistlefold check --explain.");
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
    app.parse(count, words);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error);
    return code == 0 ? 0 : 2;
  } catch (const std::exception& failure) {
    std::cerr << "thistlefold: " << failure.what() << '\n';
    return 2;
  }
  // What was asked for may have met a full disk, also when it went through a pipe or a redirection.
  if (!std::cout.flush()) {
    std::cerr << "thistlefold: standard output: not written whole (no room?)\n";
    return 2;
  }
  return status;
}
