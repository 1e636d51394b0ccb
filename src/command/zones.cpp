#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <set>
#include <sstream>
#include <stdexcept>
#include <tuple>

#include "command/commands.hpp"
#include "command/office_query.hpp"
#include "pages/plot.hpp"
#include "pages/zones_account.hpp"
#include "pages/zones_page.hpp"
#include "settings/files.hpp"

namespace thistlefold::command {
namespace {

namespace json = boost::json;

using pages::stringField;
using pages::UsageRow;

/// Usage by zone of origin, zone of destination, service and part of the route (direct, first or second leg).
using UsageTable = std::map<std::tuple<std::string, std::string, std::string, std::string>, UsageRow>;

/// Adds the cells of one office's report.
void addReport(UsageTable& table, const json::value& office) {
  pages::forEachCell(office, [&](const json::value& cell) {
    table[{stringField(cell, "from"), stringField(cell, "to"), stringField(cell, "service"),
           stringField(cell, "part")}] += pages::parseUsageRow(cell);
  });
}

/// Microseconds as seconds with six decimals.
std::string formatSeconds(std::uint64_t microseconds) {
  std::ostringstream out;
  out << microseconds / 1000000 << '.' << std::setw(6) << std::setfill('0') << microseconds % 1000000;
  return out.str();
}

/// Prints the table with sums for each service and over all.
void printTable(const UsageTable& table) {
  std::cout << std::left << std::setw(14) << "from" << std::setw(14) << "to" << std::setw(16) << "service"
            << std::setw(8) << "part" << std::right;
  for (const char* heading : {"invites", "stood", "cut", "refused", "held"}) std::cout << std::setw(9) << heading;
  std::cout << std::setw(20) << "circuit-seconds" << '\n';
  const auto row = [](const std::string& from, const std::string& to, const std::string& service,
                      const std::string& part, const UsageRow& usage) {
    std::cout << std::left << std::setw(14) << from << std::setw(14) << to << std::setw(16) << service << std::setw(8)
              << part << std::right << std::setw(9) << usage.invites << std::setw(9) << usage.established
              << std::setw(9) << usage.dropped << std::setw(9) << usage.refused << std::setw(9) << usage.held
              << std::setw(20) << formatSeconds(usage.circuitMicroseconds) << '\n';
  };
  std::map<std::string, UsageRow> services;
  UsageRow all;
  for (const auto& [key, usage] : table) {
    const auto& [from, to, service, part] = key;
    row(from, to, service, part, usage);
    services[service] += usage;
    all += usage;
  }
  for (const auto& [service, usage] : services) row("all", "all", service, "all", usage);
  row("all", "all", "all", "all", all);
}

void printCsv(const UsageTable& table) {
  std::cout << "from,to,service,part,invites,stood,cut,refused,held,circuit_seconds\n";
  for (const auto& [key, usage] : table) {
    const auto& [from, to, service, part] = key;
    std::cout << from << ',' << to << ',' << service << ',' << part << ',' << usage.invites << ',' << usage.established
              << ',' << usage.dropped << ',' << usage.refused << ',' << usage.held << ','
              << formatSeconds(usage.circuitMicroseconds) << '\n';
  }
}

void printJson(const UsageTable& table) {
  json::array cells;
  for (const auto& [key, usage] : table) {
    const auto& [from, to, service, part] = key;
    cells.push_back(json::object{{"from", from},
                                 {"to", to},
                                 {"service", service},
                                 {"part", part},
                                 {"invites", usage.invites},
                                 {"stood", usage.established},
                                 {"cut", usage.dropped},
                                 {"refused", usage.refused},
                                 {"held", usage.held},
                                 {"circuit_us", usage.circuitMicroseconds}});
  }
  std::cout << json::serialize(json::object{{"cells", std::move(cells)}}) << '\n';
}

/// The zones reports and usage series of a fleet's offices, from running offices or from the end of a simulated day.
struct Reports {
  std::vector<json::value> offices, series;
};

/// Reads the output of `thistlefold day --json`. Throws std::runtime_error if the file can't be read or is something
/// else.
Reports readRun(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  if (!in) throw std::runtime_error(path + ": can't be read");
  text << in.rdbuf();
  boost::system::error_code error;
  const json::value run = json::parse(text.str(), error);
  if (error || !run.is_object() || !run.as_object().contains("zones") || !run.as_object().contains("series")) {
    throw std::runtime_error(path + ": the output of `thistlefold day --json` is expected");
  }
  Reports reports;
  for (const json::value& office : run.at("zones").as_array()) {
    if (!office.is_null()) reports.offices.push_back(office);
  }
  for (const json::value& one : run.at("series").as_array()) reports.series.push_back(one);
  return reports;
}

/// Sends a query to a running office and parses its answer. Throws std::runtime_error if there is none: a sum that
/// lacks one office could be mistaken for the whole.
json::value queryJson(iax2::Address office, const std::string& request) {
  const auto answer = queryOffice(office, request);
  if (!answer) throw std::runtime_error("no answer from " + iax2::text(office));
  return json::parse(*answer);
}

/// Queries running offices for their zones reports, and if `level` (second, minute or hour) is not empty also for the
/// series of that level.
Reports queryOffices(const std::vector<iax2::Address>& offices, const std::string& level) {
  Reports reports;
  for (const iax2::Address office : offices) {
    reports.offices.push_back(queryJson(office, "thistlefold zones 1\n"));
    if (level.empty()) continue;
    std::set<std::string> zones;
    for (const json::value& cell : reports.offices.back().at("cells").as_array()) zones.insert(stringField(cell, "to"));
    for (const std::string& zone : zones) {
      std::string request = "thistlefold series 1 ";
      request.append(level).append(" ").append(zone).append("\n");
      reports.series.push_back(queryJson(office, request));
    }
  }
  return reports;
}

/// Prints the usage per time span, newest last, as a table or as CSV.
void printSeries(const std::vector<json::value>& allSeries, bool csv) {
  std::map<std::tuple<std::int64_t, std::string, std::string, std::string>, UsageRow> rows;
  double spanSeconds = 1;
  bool isComplete = true;
  for (const json::value& one : allSeries) {
    spanSeconds = one.at("span_ms").to_number<double>() / 1000;
    isComplete = isComplete && one.at("whole").as_bool();
    for (const json::value& bucket : one.at("buckets").as_array()) {
      rows[{-bucket.at("ago").to_number<std::int64_t>(), stringField(one, "from"), stringField(one, "to"),
            stringField(bucket, "service")}] += pages::parseUsageRow(bucket);
    }
  }
  if (csv) std::cout << "ago_seconds,from,to,service,invites,stood,cut,refused,circuit_seconds\n";
  if (!csv) {
    std::cout << std::right << std::setw(9) << "ago"
              << "  " << std::left << std::setw(14) << "from" << std::setw(14) << "to" << std::setw(16) << "service"
              << std::right;
    for (const char* heading : {"invites", "stood", "cut", "refused"}) std::cout << std::setw(9) << heading;
    std::cout << std::setw(18) << "circuit-seconds" << '\n';
  }
  for (const auto& [key, usage] : rows) {
    const auto& [ago, from, to, service] = key;
    const auto secondsAgo = static_cast<std::int64_t>(-static_cast<double>(ago) * spanSeconds);
    if (csv) {
      std::cout << secondsAgo << ',' << from << ',' << to << ',' << service << ',' << usage.invites << ','
                << usage.established << ',' << usage.dropped << ',' << usage.refused << ','
                << formatSeconds(usage.circuitMicroseconds) << '\n';
    } else {
      std::cout << std::right << std::setw(8) << secondsAgo << "s  " << std::left << std::setw(14) << from
                << std::setw(14) << to << std::setw(16) << service << std::right << std::setw(9) << usage.invites
                << std::setw(9) << usage.established << std::setw(9) << usage.dropped << std::setw(9) << usage.refused
                << std::setw(18) << formatSeconds(usage.circuitMicroseconds) << '\n';
    }
  }
  if (!isComplete) std::cerr << "the oldest time spans are missing: an answer is limited to 60,000 bytes\n";
}

/// Prints the budgets of each office, and per pair of zones their sums over all offices.
void printBudgets(const std::vector<json::value>& offices) {
  std::cout << std::left << std::setw(14) << "from" << std::setw(14) << "to" << std::setw(14) << "office" << std::right;
  for (const char* heading : {"budget", "part", "owned", "lent", "borrowed", "held", "over"})
    std::cout << std::setw(9) << heading;
  std::cout << std::setw(10) << "under in"
            << "  "
            << "circuit-seconds\n";
  std::map<std::pair<std::string, std::string>, std::array<std::int64_t, 7>> sums;
  std::map<std::pair<std::string, std::string>, std::int64_t> underInMs;
  const auto row = [](const std::string& from, const std::string& to, const std::string& office,
                      const std::array<std::int64_t, 7>& numbers, std::int64_t underIn) {
    std::cout << std::left << std::setw(14) << from << std::setw(14) << to << std::setw(14) << office << std::right;
    for (const std::int64_t number : numbers) std::cout << std::setw(9) << number;
    std::cout << std::setw(9) << (numbers[6] == 0 ? std::string("-") : std::to_string(underIn / 1000))
              << (numbers[6] == 0 ? " " : "s");
  };
  for (const json::value& office : offices) {
    for (const json::value& one : office.at("budgets").as_array()) {
      const auto number = [&](const char* field) { return one.at(field).to_number<std::int64_t>(); };
      const std::string from = stringField(one, "from"), to = stringField(one, "to");
      const std::array<std::int64_t, 7> numbers{number("whole"),    number("part"), number("owned"), number("lent"),
                                                number("borrowed"), number("held"), number("over")};
      row(from, to, stringField(office, "office"), numbers, number("under_in_ms"));
      if (one.as_object().contains("allowance")) {
        std::cout << "  " << one.at("used").to_number<double>() << " of " << one.at("allowance").to_number<double>()
                  << ", next in " << number("next_period_in_ms") / 1000 << " s";
      }
      if (one.at("waiting").as_bool()) std::cout << "  waits for its zone's offices";
      std::cout << '\n';
      auto& sum = sums[{from, to}];
      for (std::size_t i = 1; i < sum.size(); ++i) sum[i] += numbers[i];
      sum[0] = numbers[0];
      underInMs[{from, to}] = std::max(underInMs[{from, to}], number("under_in_ms"));
    }
  }
  for (const auto& [pair, sum] : sums) {
    row(pair.first, pair.second, "all", sum, underInMs[pair]);
    std::cout << '\n';
  }
  if (sums.empty()) std::cout << "no budget is set\n";
}

/// Returns the fleet file's text with `circuits` as the size of the budget between these zones, which is added if there
/// is none. Everything else in the text stays, comments included. Throws SettingsError if the text can't be parsed.
std::string withBudget(const std::string& path, const std::string& text, const std::string& from, const std::string& to,
                       int circuits) {
  const settings::Document document = settings::Document::parse(path, text);
  const settings::Form& fleet = document.onlyForm("fleet");
  const auto offset = [&](const settings::Form& form) {
    std::size_t at = 0;
    for (int line = 1; line < form.line; ++line) at = text.find('\n', at) + 1;
    return at + static_cast<std::size_t>(form.column) - 1;
  };
  for (const settings::Form& one : fleet.items) {
    if (one.head() != "budget" || one.items.size() < 4 || one.items[1].value != from || one.items[2].value != to)
      continue;
    const std::size_t at = offset(one.items[3]);
    return text.substr(0, at) + std::to_string(circuits) + text.substr(at + one.items[3].value.size());
  }
  // Insert the budget before the last ')' outside comments, which closes the fleet: only comments can follow it.
  std::size_t end = 0;
  for (std::size_t begin = 0; begin < text.size(); begin = text.find('\n', begin) + 1) {
    const std::size_t line = std::min(text.find('\n', begin), text.size());
    const std::size_t last = text.substr(begin, std::min(text.find(';', begin), line) - begin).rfind(')');
    if (last != std::string::npos) end = begin + last;
    if (line == text.size()) break;
  }
  return text.substr(0, end) + "\n  (budget \"" + from + "\" \"" + to + "\" " + std::to_string(circuits) + ")" +
         text.substr(end);
}

/// Changes a budget in the fleet file and requests the offices of its zone to read the file again. `arguments` are the
/// two zones and the number of circuits. The file is replaced atomically, and only after the new one was parsed
/// successfully and has the budget. Returns 0 if all these offices have accepted the budget, else 1. Throws
/// std::runtime_error.
int changeBudget(const std::string& path, const std::vector<std::string>& arguments) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) throw std::runtime_error(path + ": can't be read");
  const Fleet before = settings::openFleet(path);
  for (std::size_t i = 0; i < 2; ++i) {
    if (before.zone(arguments[i]) < 0) throw std::runtime_error(path + ": no zone '" + arguments[i] + "'");
  }
  std::size_t parsedLength = 0;
  int circuits = -1;
  try {
    circuits = std::stoi(arguments[2], &parsedLength);
  } catch (const std::exception&) {
  }
  if (circuits < 0 || circuits > 1000000 || parsedLength != arguments[2].size()) {
    throw std::runtime_error("a whole number of circuits from 0 to 1000000 is expected, not '" + arguments[2] + "'");
  }
  const std::string newText = withBudget(path, text.str(), arguments[0], arguments[1], circuits);
  const std::string newPath = path + ".new";
  Fleet fleet;
  try {
    std::ofstream out(newPath, std::ios::binary | std::ios::trunc);
    out << newText;
    if (!out.flush()) throw std::runtime_error(newPath + ": can't be written; " + path + " is unchanged");
    fleet = settings::openFleet(newPath);
    const bool hasBudget = std::any_of(fleet.budgets.begin(), fleet.budgets.end(), [&](const zones::Budget& one) {
      return one.from == fleet.zone(arguments[0]) && one.to == fleet.zone(arguments[1]) && one.circuits == circuits;
    });
    if (!hasBudget) throw std::runtime_error(path + ": no place for the budget was found; the file is unchanged");
    std::filesystem::rename(newPath, path);
  } catch (...) {
    std::error_code ignored;
    std::filesystem::remove(newPath, ignored);
    throw;
  }
  std::cout << path << ": " << arguments[0] << " to " << arguments[1] << ", " << circuits << " circuits\n";
  int status = 0;
  for (const ExchangeSite& place : fleet.places) {
    if (place.zone != arguments[0]) continue;
    const auto answer = queryOffice(place.office, "thistlefold reread 1\n");
    const bool isAccepted = answer && answer->starts_with("taken");
    if (!isAccepted) status = 1;
    std::cout << place.name << ": "
              << (answer ? *answer : "no answer; it will read the file when it is started, or on SIGHUP\n");
  }
  return status;
}

}  // namespace

void addZones(CLI::App& app, int& status) {
  struct Options {
    std::vector<std::string> offices, set;
    std::string run, html, level, fleet;
    bool csv = false, json = false;
  };
  auto* zones = app.add_subcommand("zones", "Traffic between zones: usage and budgets of the circuits between them");
  zones->require_subcommand(1);
  const auto addresses = [](const std::string& command, const std::vector<std::string>& texts) {
    std::vector<iax2::Address> parsed;
    for (const std::string& text : texts) {
      const auto at = iax2::parseAddress(text);
      if (!at)
        throw CLI::ValidationError(command, "an ADDRESS:PORT such as 127.0.0.1:4569 is expected, not '" + text + "'");
      parsed.push_back(*at);
    }
    return parsed;
  };
  // The offices given by address, and all offices of the fleet file if one is given.
  const auto officeAddresses = [addresses](const std::string& command, const Options& options) {
    std::vector<iax2::Address> all = addresses(command, options.offices);
    if (options.fleet.empty()) return all;
    for (const ExchangeSite& place : settings::openFleet(options.fleet).places) all.push_back(place.office);
    return all;
  };
  const auto guarded = [&status](const std::string& command, const std::function<void()>& body) {
    try {
      body();
    } catch (const CLI::ValidationError& error) {
      std::cerr << "thistlefold " << command << ": " << error.what() << '\n';
      status = 2;
    } catch (const std::exception& error) {
      std::cerr << "thistlefold " << command << ": " << error.what() << '\n';
      status = 1;
    }
  };

  auto* report = zones->add_subcommand(
      "report", "Print the usage summed over running offices, or over the offices of a simulated day");
  auto reportOptions = std::make_shared<Options>();
  auto* offices = report->add_option("ADDRESS", reportOptions->offices,
                                     "addresses that offices listen on; their reports are summed up");
  auto* fleet = report->add_option("--fleet", reportOptions->fleet, "all offices of this fleet file");
  auto* run = report->add_option("--run", reportOptions->run,
                                 "a file with the output of `thistlefold day --json`, instead of running offices");
  run->excludes(offices)->excludes(fleet);
  report
      ->add_option("--series", reportOptions->level,
                   "usage over time by second (five minutes), minute (four hours) or hour (eight days)")
      ->check(CLI::IsMember({"second", "minute", "hour"}));
  auto* csvFlag = report->add_flag("--csv", reportOptions->csv, "print comma-separated values");
  auto* jsonFlag = report->add_flag("--json", reportOptions->json, "print JSON")->excludes(csvFlag);
  report
      ->add_option("--html", reportOptions->html,
                   "write a page with plots to this file; the time axis is in units of --series, by default seconds")
      ->excludes(csvFlag)
      ->excludes(jsonFlag);
  report->footer(
      "Each leg between zones is counted once, by the office that sends it: direct, first (to a tandem) or second\n"
      "(from a tandem). A session over a tandem that crosses zones twice has two legs. What an office sent before it\n"
      "was killed is reported by the offices that it reached. A stored run has its last five minutes by second.");
  report->callback([=, &status] {
    guarded("zones report", [&] {
      if (reportOptions->run.empty() && reportOptions->offices.empty() && reportOptions->fleet.empty()) {
        throw CLI::ValidationError("zones report", "an office's ADDRESS:PORT, --fleet or --run is expected");
      }
      if (!reportOptions->run.empty() && !reportOptions->level.empty() && reportOptions->level != "second") {
        throw CLI::ValidationError("zones report", "a stored run has the series by second only");
      }
      const std::string level = !reportOptions->level.empty() ? reportOptions->level
                                : reportOptions->html.empty() ? ""
                                                              : "second";
      const Reports reports = reportOptions->run.empty()
                                  ? queryOffices(officeAddresses("zones report", *reportOptions), level)
                                  : readRun(reportOptions->run);
      if (!reportOptions->html.empty()) {
        const std::string page = pages::zonesPage("Traffic across zones", reports.offices, reports.series);
        std::ofstream out(reportOptions->html, std::ios::binary | std::ios::trunc);
        out << page;
        if (!out.flush()) throw std::runtime_error(reportOptions->html + ": can't be written");
        return;
      }
      if (!reportOptions->level.empty()) {
        if (!reportOptions->json) return printSeries(reports.series, reportOptions->csv);
        std::cout << json::serialize(json::array(reports.series.begin(), reports.series.end())) << '\n';
        return;
      }
      UsageTable table;
      for (const json::value& office : reports.offices) addReport(table, office);
      reportOptions->csv ? printCsv(table) : reportOptions->json ? printJson(table) : printTable(table);
    });
    (void)status;
  });

  auto* budget =
      zones->add_subcommand("budget", "Print the budgets between zones and the offices' parts of them, or change one");
  auto budgetOptions = std::make_shared<Options>();
  auto* budgetOffices = budget->add_option("ADDRESS", budgetOptions->offices, "addresses that offices listen on");
  auto* budgetFleet = budget->add_option("--fleet", budgetOptions->fleet, "all offices of this fleet file");
  budget
      ->add_option(
          "--set", budgetOptions->set,
          "FROM TO CIRCUITS: change the budget in the fleet file and have the offices of zone FROM read it again")
      ->expected(3)
      ->needs(budgetFleet)
      ->excludes(budgetOffices);
  budget->footer(
      "The part of an office is what it owns, less what it has lent, plus what it has borrowed from other offices of\n"
      "its zone. `over` counts circuits held above the part; they become free by themselves in about the time shown.");
  budget->callback([=, &status] {
    guarded("zones budget", [&] {
      if (!budgetOptions->set.empty()) {
        status = changeBudget(budgetOptions->fleet, budgetOptions->set);
        return;
      }
      if (budgetOptions->offices.empty() && budgetOptions->fleet.empty()) {
        throw CLI::ValidationError("zones budget", "an office's ADDRESS:PORT or --fleet is expected");
      }
      printBudgets(queryOffices(officeAddresses("zones budget", *budgetOptions), "").offices);
    });
  });
}

}  // namespace thistlefold::command
