#include <filesystem>
#include <iostream>

#include "command/commands.hpp"
#include "day/script.hpp"
#include "settings/files.hpp"

namespace thistlefold::command {
namespace {

/// Reads the file and prints one line that describes it. Throws SettingsError if the file is faulty.
void check(const std::string& path) {
  const settings::Document document = settings::Document::open(path);
  const std::string_view kind = document.forms().front().head();
  if (kind == "fleet") {
    const Fleet fleet = settings::readFleet(document.onlyForm("fleet"));
    std::cout << path << ": a fleet of " << fleet.places.size() << " exchanges, " << fleet.groups.size()
              << " trunk groups, " << fleet.offeredServices.size() << " services\n";
  } else if (kind == "office") {
    const settings::OfficeFile office = settings::openOfficeFile(path);
    std::cout << path << ": the office of " << office.fleet.places[static_cast<std::size_t>(office.options.place)].name
              << ", listening at " << text(office.listen) << '\n';
  } else if (kind == "day") {
    const day::DayPlan plan = day::openDay(path);
    std::cout << path << ": day " << plan.name << " of " << plan.length.ms() / 1000 << " s, "
              << plan.fleet.places.size() << " exchanges, " << plan.faults.size() << " scripted faults\n";
  } else {
    document.forms().front().fail("(fleet ...), (office ...) or (day ...) is expected");
  }
}

}  // namespace

void addCheck(CLI::App& app, int& status) {
  auto* command = app.add_subcommand("check", "Read settings files and report errors in them");
  auto paths = std::make_shared<std::vector<std::string>>();
  auto explain = std::make_shared<bool>(false);
  command->add_option("FILE", *paths, "fleet, office or day files");
  command->add_flag("--explain", *explain, "print all keywords of settings files, with their defaults and meanings");
  command->callback([=, &status] {
    if (*explain) {
      settings::explain(std::cout);
      day::explainDay(std::cout);
    } else if (paths->empty()) {
      std::cerr << "thistlefold check: a file, or --explain, is expected\n";
      status = 2;
    }
    for (const std::string& path : *paths) {
      try {
        check(path);
      } catch (const settings::SettingsError& error) {
        std::cerr << error.what() << '\n';
        status = 1;
      }
    }
  });
}

}  // namespace thistlefold::command
