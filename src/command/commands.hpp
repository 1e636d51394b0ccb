#pragma once

// The sub-commands of the program. Each function registers its sub-commands with the command line parser. A sub-command
// runs during parsing if it was given, and sets `status`, which must outlive `app`, to the exit status of the process:
//   0  success
//   1  a negative result, for example a violated rule, a faulty file or an office that doesn't answer
//   2  the command could not be carried out, for example because of wrong arguments

#include <CLI/CLI.hpp>

namespace thistlefold::command {

/// serve: runs one office on a UDP socket.
void addServe(CLI::App& app, int& status);
/// node: runs one softswitch on the platform's protocol, by TCP.
void addNode(CLI::App& app, int& status);
/// exchange, directory and load: run simulators of an exchange, of the directory and of callers.
void addSimulators(CLI::App& app, int& status);
/// day: simulates a scripted day of a fleet.
void addDay(CLI::App& app, int& status);
/// audit: checks the five rules on a capture.
void addAudit(CLI::App& app, int& status);
/// check: validates settings files and explains their keywords.
void addCheck(CLI::App& app, int& status);
/// status: prints the state of a running office.
void addStatus(CLI::App& app, int& status);
/// zones report and zones budget: traffic between zones, and its budgets.
void addZones(CLI::App& app, int& status);
/// dimension what-if and dimension advise: sizes of trunk groups for given loads.
void addDimension(CLI::App& app, int& status);

}  // namespace thistlefold::command
