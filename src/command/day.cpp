#include <filesystem>
#include <fstream>
#include <iostream>

#include "command/commands.hpp"
#include "day/bench_day.hpp"
#include "day/play.hpp"
#include "settings/files.hpp"

namespace thistlefold::command {

void addDay(CLI::App& app, int& status) {
  struct Options {
    std::string dayFile, benchFile, folder = "day-out";
    double scale = 1;
    bool json = false, isVirtual = false;
    std::uint64_t seed = 0;
  };
  auto* command = app.add_subcommand(
      "day", "Run a scripted day: a fleet of offices with simulated exchanges, directory and callers");
  auto options = std::make_shared<Options>();
  auto* dayFile = command->add_option("FILE", options->dayFile, "the day file");
  auto* benchFile =
      command->add_option("--from-bench", options->benchFile, "a day in the bench's format, instead of a day file");
  dayFile->excludes(benchFile);
  command
      ->add_option("--scale", options->scale,
                   "share of the bench day's traffic, circuits and processor capacity that is simulated")
      ->needs(benchFile)
      ->check(CLI::Range(0.001, 1.0))
      ->capture_default_str();
  command->add_option("--out", options->folder, "folder for the capture, the fleet file and the logs")
      ->capture_default_str();
  command->add_option("--seed", options->seed, "seed, instead of the one in the file");
  command->add_flag("--virtual", options->isVirtual, "run in this process, on a virtual clock and network");
  command->add_flag("--json", options->json, "print the report as JSON");
  command->footer(
      "Each office runs as a process of its own on loopback sockets. A relay passes on all datagrams; it delays,\n"
      "drops and records them. The exit status is 0 only if no rule was violated, all sessions are accounted for\n"
      "and both ends of every trunk group agree. The capture (day.pcapng) opens in common packet analysers:\n"
      "interface 0 has the datagrams as they were sent, interface 1 as they were delivered.");
  command->callback([=, &status] {
    try {
      if (options->dayFile.empty() && options->benchFile.empty()) {
        std::cerr << "thistlefold day: a day file, or --from-bench, is expected\n";
        status = 2;
        return;
      }
      day::BenchDay benchDay;
      if (!options->benchFile.empty()) benchDay = day::openBenchDay(options->benchFile, options->scale);
      day::DayPlan plan = options->benchFile.empty() ? day::openDay(options->dayFile) : std::move(benchDay.plan);
      for (const std::string& feature : benchDay.unsupported)
        std::cerr << "not supported, left out: " << feature << '\n';
      if (command->count("--seed") > 0) plan.seed = options->seed;
      std::filesystem::create_directories(options->folder);
      const std::string program = std::filesystem::read_symlink("/proc/self/exe").string();
      auto testbed = options->isVirtual ? day::virtualTestbed(plan.fleet)
                                        : day::loopbackTestbed(plan.fleet, program, options->folder);
      std::ofstream identities(options->folder + "/identities.sexp");
      identities << settings::writeFleet(day::withIdentityAddresses(plan.fleet));
      if (!identities.flush()) throw std::runtime_error(options->folder + "/identities.sexp: can't be written");
      const day::Report report = day::play(plan, *testbed, options->folder + "/day.pcapng");
      std::cout << (options->json ? day::json(report) + "\n" : day::describe(report));
      status = report.good() ? 0 : 1;
    } catch (const settings::SettingsError& error) {
      std::cerr << error.what() << '\n';
      status = 1;
    }
  });
}

}  // namespace thistlefold::command
