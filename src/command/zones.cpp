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

using pages::Line;
using pages::wordOf;

/// From zone, to zone, service, part.
using Account = std::map<std::tuple<std::string, std::string, std::string, std::string>, Line>;

void add(Account& account, const json::value& office) {
  pages::eachCell(office, [&](const json::value& cell) {
    account[{wordOf(cell, "from"), wordOf(cell, "to"), wordOf(cell, "service"), wordOf(cell, "part")}] +=
        pages::lineOf(cell);
  });
}

std::string seconds(std::uint64_t microseconds) {
  std::ostringstream out;
  out << microseconds / 1000000 << '.' << std::setw(6) << std::setfill('0') << microseconds % 1000000;
  return out.str();
}

void table(const Account& account) {
  std::cout << std::left << std::setw(14) << "from" << std::setw(14) << "to" << std::setw(16) << "service"
            << std::setw(8) << "part" << std::right;
  for (const char* head : {"invites", "stood", "cut", "refused", "held"}) std::cout << std::setw(9) << head;
  std::cout << std::setw(20) << "circuit-seconds" << '\n';
  const auto row = [](const std::string& from, const std::string& to, const std::string& service,
                      const std::string& part, const Line& line) {
    std::cout << std::left << std::setw(14) << from << std::setw(14) << to << std::setw(16) << service << std::setw(8)
              << part << std::right << std::setw(9) << line.invites << std::setw(9) << line.stood << std::setw(9)
              << line.cut << std::setw(9) << line.refused << std::setw(9) << line.held << std::setw(20)
              << seconds(line.circuitMicroseconds) << '\n';
  };
  std::map<std::string, Line> services;
  Line all;
  for (const auto& [key, line] : account) {
    const auto& [from, to, service, part] = key;
    row(from, to, service, part, line);
    services[service] += line;
    all += line;
  }
  for (const auto& [service, line] : services) row("all", "all", service, "all", line);
  row("all", "all", "all", "all", all);
}

void csv(const Account& account) {
  std::cout << "from,to,service,part,invites,stood,cut,refused,held,circuit_seconds\n";
  for (const auto& [key, line] : account) {
    const auto& [from, to, service, part] = key;
    std::cout << from << ',' << to << ',' << service << ',' << part << ',' << line.invites << ',' << line.stood << ','
              << line.cut << ',' << line.refused << ',' << line.held << ',' << seconds(line.circuitMicroseconds)
              << '\n';
  }
}

void asJson(const Account& account) {
  json::array cells;
  for (const auto& [key, line] : account) {
    const auto& [from, to, service, part] = key;
    cells.push_back(json::object{{"from", from},
                                 {"to", to},
                                 {"service", service},
                                 {"part", part},
                                 {"invites", line.invites},
                                 {"stood", line.stood},
                                 {"cut", line.cut},
                                 {"refused", line.refused},
                                 {"held", line.held},
                                 {"circuit_us", line.circuitMicroseconds}});
  }
  std::cout << json::serialize(json::object{{"cells", std::move(cells)}}) << '\n';
}

/// What was told of a fleet, by its offices now or at the end of a day that was played.
struct Told {
  std::vector<json::value> offices, series;
};

Told fromRun(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  if (!in) throw std::runtime_error(path + ": can't be read");
  text << in.rdbuf();
  boost::system::error_code error;
  const json::value run = json::parse(text.str(), error);
  if (error || !run.is_object() || !run.as_object().contains("zones") || !run.as_object().contains("series")) {
    throw std::runtime_error(path + ": the output of `thistlefold day --json` is expected");
  }
  Told told;
  for (const json::value& office : run.at("zones").as_array()) {
    if (!office.is_null()) told.offices.push_back(office);
  }
  for (const json::value& one : run.at("series").as_array()) told.series.push_back(one);
  return told;
}

json::value asked(iax2::Address office, const std::string& question) {
  const auto answer = queryOffice(office, question);
  // A sum without one of its parts would pass for the whole.
  if (!answer) throw std::runtime_error("no answer from " + iax2::text(office));
  return json::parse(*answer);
}

Told fromOffices(const std::vector<iax2::Address>& offices, const std::string& level) {
  Told told;
  for (const iax2::Address office : offices) {
    told.offices.push_back(asked(office, "thistlefold zones 1\n"));
    if (level.empty()) continue;
    std::set<std::string> zones;
    for (const json::value& cell : told.offices.back().at("cells").as_array()) zones.insert(wordOf(cell, "to"));
    for (const std::string& zone : zones) {
      std::string request = "thistlefold series 1 ";
      request.append(level).append(" ").append(zone).append("\n");
      told.series.push_back(asked(office, request));
    }
  }
  return told;
}

/// What crossed by span of time, newest last.
void series(const std::vector<json::value>& told, bool csv) {
  std::map<std::tuple<std::int64_t, std::string, std::string, std::string>, Line> lines;
  double span = 1;
  bool whole = true;
  for (const json::value& one : told) {
    span = one.at("span_ms").to_number<double>() / 1000;
    whole = whole && one.at("whole").as_bool();
    for (const json::value& bucket : one.at("buckets").as_array()) {
      lines[{-bucket.at("ago").to_number<std::int64_t>(), wordOf(one, "from"), wordOf(one, "to"),
             wordOf(bucket, "service")}] += pages::lineOf(bucket);
    }
  }
  if (csv) std::cout << "ago_seconds,from,to,service,invites,stood,cut,refused,circuit_seconds\n";
  if (!csv) {
    std::cout << std::right << std::setw(9) << "ago"
              << "  " << std::left << std::setw(14) << "from" << std::setw(14) << "to" << std::setw(16) << "service"
              << std::right;
    for (const char* head : {"invites", "stood", "cut", "refused"}) std::cout << std::setw(9) << head;
    std::cout << std::setw(18) << "circuit-seconds" << '\n';
  }
  for (const auto& [key, line] : lines) {
    const auto& [ago, from, to, service] = key;
    const auto past = static_cast<std::int64_t>(-static_cast<double>(ago) * span);
    if (csv) {
      std::cout << past << ',' << from << ',' << to << ',' << service << ',' << line.invites << ',' << line.stood << ','
                << line.cut << ',' << line.refused << ',' << seconds(line.circuitMicroseconds) << '\n';
    } else {
      std::cout << std::right << std::setw(8) << past << "s  " << std::left << std::setw(14) << from << std::setw(14)
                << to << std::setw(16) << service << std::right << std::setw(9) << line.invites << std::setw(9)
                << line.stood << std::setw(9) << line.cut << std::setw(9) << line.refused << std::setw(18)
                << seconds(line.circuitMicroseconds) << '\n';
    }
  }
  if (!whole) std::cerr << "the oldest spans are left out: an answer holds 60,000 bytes\n";
}

void showBudgets(const std::vector<json::value>& offices) {
  std::cout << std::left << std::setw(14) << "from" << std::setw(14) << "to" << std::setw(14) << "office" << std::right;
  for (const char* head : {"budget", "part", "owned", "lent", "borrowed", "held", "over"})
    std::cout << std::setw(9) << head;
  std::cout << std::setw(10) << "under in"
            << "  "
            << "circuit-seconds\n";
  std::map<std::pair<std::string, std::string>, std::array<std::int64_t, 7>> sums;
  std::map<std::pair<std::string, std::string>, std::int64_t> under;
  const auto row = [](const std::string& from, const std::string& to, const std::string& office,
                      const std::array<std::int64_t, 7>& numbers, std::int64_t underIn) {
    std::cout << std::left << std::setw(14) << from << std::setw(14) << to << std::setw(14) << office << std::right;
    for (const std::int64_t one : numbers) std::cout << std::setw(9) << one;
    std::cout << std::setw(9) << (numbers[6] == 0 ? std::string("-") : std::to_string(underIn / 1000))
              << (numbers[6] == 0 ? " " : "s");
  };
  for (const json::value& office : offices) {
    for (const json::value& one : office.at("budgets").as_array()) {
      const auto number = [&](const char* field) { return one.at(field).to_number<std::int64_t>(); };
      const std::string from = wordOf(one, "from"), to = wordOf(one, "to");
      const std::array<std::int64_t, 7> numbers{number("whole"),    number("part"), number("owned"), number("lent"),
                                                number("borrowed"), number("held"), number("over")};
      row(from, to, wordOf(office, "office"), numbers, number("under_in_ms"));
      if (one.as_object().contains("allowance")) {
        std::cout << "  " << one.at("used").to_number<double>() << " of " << one.at("allowance").to_number<double>()
                  << ", next in " << number("next_period_in_ms") / 1000 << " s";
      }
      if (one.at("waiting").as_bool()) std::cout << "  waits for its zone's offices";
      std::cout << '\n';
      auto& sum = sums[{from, to}];
      for (std::size_t i = 1; i < sum.size(); ++i) sum[i] += numbers[i];
      sum[0] = numbers[0];
      under[{from, to}] = std::max(under[{from, to}], number("under_in_ms"));
    }
  }
  for (const auto& [pair, sum] : sums) {
    row(pair.first, pair.second, "all", sum, under[pair]);
    std::cout << '\n';
  }
  if (sums.empty()) std::cout << "no budget is set\n";
}

/// The fleet file's text with another number of circuits in one budget, or with that budget added.
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
  // The fleet's own end: what comes behind it can only be comments, which may hold anything.
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

/// Changes a budget in the fleet file and has the offices of its zone read it. The file is replaced whole, and only by
/// one that can be read.
int changeBudget(const std::string& path, const std::vector<std::string>& set) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) throw std::runtime_error(path + ": can't be read");
  const Fleet before = settings::openFleet(path);
  for (std::size_t i = 0; i < 2; ++i) {
    if (before.zone(set[i]) < 0) throw std::runtime_error(path + ": no zone '" + set[i] + "'");
  }
  std::size_t used = 0;
  int circuits = -1;
  try {
    circuits = std::stoi(set[2], &used);
  } catch (const std::exception&) {
  }
  if (circuits < 0 || circuits > 1000000 || used != set[2].size()) {
    throw std::runtime_error("a whole number of circuits from 0 to 1000000 is expected, not '" + set[2] + "'");
  }
  const std::string changed = withBudget(path, text.str(), set[0], set[1], circuits);
  const std::string beside = path + ".new";
  Fleet fleet;
  try {
    std::ofstream out(beside, std::ios::binary | std::ios::trunc);
    out << changed;
    if (!out.flush()) throw std::runtime_error(beside + ": can't be written; " + path + " stays as it was");
    fleet = settings::openFleet(beside);
    const bool there = std::any_of(fleet.budgets.begin(), fleet.budgets.end(), [&](const zones::Budget& one) {
      return one.from == fleet.zone(set[0]) && one.to == fleet.zone(set[1]) && one.circuits == circuits;
    });
    if (!there) throw std::runtime_error(path + ": no place for a budget was found; it stays as it was");
    std::filesystem::rename(beside, path);
  } catch (...) {
    std::error_code ignored;
    std::filesystem::remove(beside, ignored);
    throw;
  }
  std::cout << path << ": " << set[0] << " to " << set[1] << ", " << circuits << " circuits\n";
  int status = 0;
  for (const Place& place : fleet.places) {
    if (place.zone != set[0]) continue;
    const auto answer = queryOffice(place.office, "thistlefold reread 1\n");
    const bool taken = answer && answer->starts_with("taken");
    if (!taken) status = 1;
    std::cout << place.name << ": "
              << (answer ? *answer : "no answer; it reads the file when it is started, or at SIGHUP\n");
  }
  return status;
}

}  // namespace

void addZones(CLI::App& app, int& status) {
  struct Wanted {
    std::vector<std::string> offices, set;
    std::string run, html, level, fleet;
    bool csv = false, json = false;
  };
  auto* zones = app.add_subcommand("zones", "Traffic across zones: who uses the circuits between them");
  zones->require_subcommand(1);
  const auto addresses = [](const std::string& command, const std::vector<std::string>& texts) {
    std::vector<iax2::Address> all;
    for (const std::string& text : texts) {
      const auto at = iax2::parseAddress(text);
      if (!at)
        throw CLI::ValidationError(command, "an ADDRESS:PORT such as 127.0.0.1:4569 is expected, not '" + text + "'");
      all.push_back(*at);
    }
    return all;
  };
  // Of several offices, or of all in a fleet file.
  const auto wantedOffices = [addresses](const std::string& command, const Wanted& wanted) {
    std::vector<iax2::Address> all = addresses(command, wanted.offices);
    if (wanted.fleet.empty()) return all;
    for (const Place& place : settings::openFleet(wanted.fleet).places) all.push_back(place.office);
    return all;
  };
  const auto guarded = [&status](const std::string& command, const std::function<void()>& what) {
    try {
      what();
    } catch (const CLI::ValidationError& wrong) {
      std::cerr << "thistlefold " << command << ": " << wrong.what() << '\n';
      status = 2;
    } catch (const std::exception& wrong) {
      std::cerr << "thistlefold " << command << ": " << wrong.what() << '\n';
      status = 1;
    }
  };

  auto* report =
      zones->add_subcommand("report", "The account of running offices, or of a day that was played, summed up");
  auto wanted = std::make_shared<Wanted>();
  auto* offices = report->add_option("ADDRESS", wanted->offices, "where offices listen; several are summed up");
  auto* fleet = report->add_option("--fleet", wanted->fleet, "all offices of this fleet file");
  auto* run = report->add_option("--run", wanted->run, "what `thistlefold day --json` printed, in place of offices");
  run->excludes(offices)->excludes(fleet);
  report->add_option("--series", wanted->level, "by second (five minutes), minute (four hours) or hour (eight days)")
      ->check(CLI::IsMember({"second", "minute", "hour"}));
  auto* csvFlag = report->add_flag("--csv", wanted->csv, "comma-separated lines");
  auto* jsonFlag = report->add_flag("--json", wanted->json, "as JSON")->excludes(csvFlag);
  report
      ->add_option("--html", wanted->html,
                   "a page with plots, written to this file; over time as --series says, or by second")
      ->excludes(csvFlag)
      ->excludes(jsonFlag);
  report->footer(
      "Each leg that crosses zones is counted once, by the office that sends it: direct, first (to a tandem) or second "
      "(from\n"
      "a tandem). A session over a tandem that crosses twice is two legs. What an office sent before it was killed is "
      "told\n"
      "by the offices that it reached. A stored run has its last five minutes by second.");
  report->callback([=, &status] {
    guarded("zones report", [&] {
      if (wanted->run.empty() && wanted->offices.empty() && wanted->fleet.empty()) {
        throw CLI::ValidationError("zones report", "an office's ADDRESS:PORT, --fleet or --run is expected");
      }
      if (!wanted->run.empty() && !wanted->level.empty() && wanted->level != "second") {
        throw CLI::ValidationError("zones report", "a stored run is by second only");
      }
      const std::string level = !wanted->level.empty() ? wanted->level : wanted->html.empty() ? "" : "second";
      const Told told =
          wanted->run.empty() ? fromOffices(wantedOffices("zones report", *wanted), level) : fromRun(wanted->run);
      if (!wanted->html.empty()) {
        const std::string page = pages::zonesPage("Traffic across zones", told.offices, told.series);
        std::ofstream out(wanted->html, std::ios::binary | std::ios::trunc);
        out << page;
        if (!out.flush()) throw std::runtime_error(wanted->html + ": can't be written");
        return;
      }
      if (!wanted->level.empty()) {
        if (!wanted->json) return series(told.series, wanted->csv);
        std::cout << json::serialize(json::array(told.series.begin(), told.series.end())) << '\n';
        return;
      }
      Account account;
      for (const json::value& office : told.offices) add(account, office);
      wanted->csv ? csv(account) : wanted->json ? asJson(account) : table(account);
    });
    (void)status;
  });

  auto* budget = zones->add_subcommand("budget", "Budgets between zones: who holds what part of them; changes one");
  auto of = std::make_shared<Wanted>();
  auto* shown = budget->add_option("ADDRESS", of->offices, "where offices listen");
  auto* file = budget->add_option("--fleet", of->fleet, "all offices of this fleet file");
  budget
      ->add_option("--set", of->set,
                   "FROM TO CIRCUITS: changes the fleet file and has the offices of zone FROM read it")
      ->expected(3)
      ->needs(file)
      ->excludes(shown);
  budget->footer(
      "An office's part is what it owns, less what it has lent, and what it has borrowed of others of its zone. `over` "
      "is\n"
      "held above the part, and ends by itself in about the time shown.");
  budget->callback([=, &status] {
    guarded("zones budget", [&] {
      if (!of->set.empty()) {
        status = changeBudget(of->fleet, of->set);
        return;
      }
      if (of->offices.empty() && of->fleet.empty()) {
        throw CLI::ValidationError("zones budget", "an office's ADDRESS:PORT or --fleet is expected");
      }
      showBudgets(fromOffices(wantedOffices("zones budget", *of), "").offices);
    });
  });
}

}  // namespace thistlefold::command
