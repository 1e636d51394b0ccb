#include <filesystem>
#include <fstream>
#include <iostream>

#include "command/commands.hpp"
#include "day/bench_day.hpp"
#include "day/play.hpp"
#include "settings/files.hpp"

namespace thistlefold::command {

void addDay(CLI::App& app, int& status) {
  struct Wanted {
    std::string path, bench, folder = "day-out";
    double scale = 1;
    bool json = false, inMemory = false;
    std::uint64_t seed = 0;
  };
  auto* command =
      app.add_subcommand("day", "Play a day: a fleet of offices, stand-in exchanges, directory and callers");
  auto wanted = std::make_shared<Wanted>();
  auto* own = command->add_option("FILE", wanted->path, "the day file");
  auto* bench =
      command->add_option("--from-bench", wanted->bench, "a day that the bench has drawn, in place of a day file");
  own->excludes(bench);
  command
      ->add_option("--scale", wanted->scale, "share of the bench day's traffic, circuits and processors that is played")
      ->needs(bench)
      ->check(CLI::Range(0.001, 1.0))
      ->capture_default_str();
  command->add_option("--out", wanted->folder, "folder for the capture, the fleet file and logs")
      ->capture_default_str();
  command->add_option("--seed", wanted->seed, "in place of the file's seed");
  command->add_flag("--virtual", wanted->inMemory, "on a virtual clock and network, in this process");
  command->add_flag("--json", wanted->json, "the report as JSON");
  command->footer(
      "Offices run as processes of their own on loopback sockets, and every datagram passes a relay that delays, "
      "loses\n"
      "and records it. Status 0 only when no rule broke, all sessions are accounted for and both ends of every trunk\n"
      "group agree. The capture (day.pcapng) opens in common packet tools; interface 0 is what was sent, 1 what was\n"
      "delivered.");
  command->callback([=, &status] {
    try {
      if (wanted->path.empty() && wanted->bench.empty()) {
        std::cerr << "thistlefold day: a day file, or --from-bench, is expected\n";
        status = 2;
        return;
      }
      day::BenchDay drawn;
      if (!wanted->bench.empty()) drawn = day::openBenchDay(wanted->bench, wanted->scale);
      day::DayPlan plan = wanted->bench.empty() ? day::openDay(wanted->path) : std::move(drawn.plan);
      for (const std::string& left : drawn.unsupported) std::cerr << "no counterpart: " << left << '\n';
      if (command->count("--seed") > 0) plan.seed = wanted->seed;
      std::filesystem::create_directories(wanted->folder);
      const std::string program = std::filesystem::read_symlink("/proc/self/exe").string();
      auto testbed = wanted->inMemory ? day::virtualTestbed(plan.fleet)
                                      : day::loopbackTestbed(plan.fleet, program, wanted->folder);
      std::ofstream identities(wanted->folder + "/identities.sexp");
      identities << settings::writeFleet(day::withIdentityAddresses(plan.fleet));
      if (!identities.flush()) throw std::runtime_error(wanted->folder + "/identities.sexp: can't be written");
      const day::Report report = day::play(plan, *testbed, wanted->folder + "/day.pcapng");
      std::cout << (wanted->json ? day::json(report) + "\n" : day::describe(report));
      status = report.good() ? 0 : 1;
    } catch (const settings::SettingsError& wrong) {
      std::cerr << wrong.what() << '\n';
      status = 1;
    }
  });
}

}  // namespace thistlefold::command
