#pragma once

// One function a sub-command. Each adds itself to the command line and runs when it was called; the status is what
// the process returns: 0 as wished, 1 the answer is no (a rule broken, a file wrong), 2 it could not be done.

#include <CLI/CLI.hpp>

namespace thistlefold::command {

void addServe(CLI::App& app, int& status);
void addNode(CLI::App& app, int& status);
void addSimulators(CLI::App& app, int& status);  // exchange, directory, load
void addDay(CLI::App& app, int& status);
void addAudit(CLI::App& app, int& status);
void addCheck(CLI::App& app, int& status);
void addStatus(CLI::App& app, int& status);
void addZones(CLI::App& app, int& status);
void addDimension(CLI::App& app, int& status);

}  // namespace thistlefold::command
