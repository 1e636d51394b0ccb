#include <boost/json.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <sstream>
#include <stdexcept>
#include <tuple>

#include "command/ask.hpp"
#include "command/commands.hpp"

namespace thistlefold::command {
namespace {

namespace json = boost::json;

struct Line {
  std::uint64_t invites = 0, stood = 0, cut = 0, refused = 0, circuitMicroseconds = 0;
  std::int64_t held = 0;
  Line& operator+=(const Line& other) {
    invites += other.invites;
    stood += other.stood;
    cut += other.cut;
    refused += other.refused;
    circuitMicroseconds += other.circuitMicroseconds;
    held += other.held;
    return *this;
  }
};
/// From zone, to zone, service, part.
using Account = std::map<std::tuple<std::string, std::string, std::string, std::string>, Line>;

void add(Account& account, const json::value& office) {
  for (const json::value& cell : office.at("cells").as_array()) {
    const auto word = [&](const char* field) { return std::string(cell.at(field).as_string()); };
    const auto count = [&](const char* field) { return cell.at(field).to_number<std::uint64_t>(); };
    account[{word("from"), word("to"), word("service"), word("part")}] +=
        {count("invites"), count("stood"), count("cut"), count("refused"), count("circuit_us"),
         cell.at("held").to_number<std::int64_t>()};
  }
}

std::string seconds(std::uint64_t microseconds) {
  std::ostringstream out;
  out << microseconds / 1000000 << '.' << std::setw(6) << std::setfill('0') << microseconds % 1000000;
  return out.str();
}

void table(const Account& account) {
  std::cout << std::left << std::setw(14) << "from" << std::setw(14) << "to" << std::setw(16) << "service" << std::setw(8)
            << "part" << std::right;
  for (const char* head : {"invites", "stood", "cut", "refused", "held"}) std::cout << std::setw(9) << head;
  std::cout << std::setw(20) << "circuit-seconds" << '\n';
  const auto row = [](const std::string& from, const std::string& to, const std::string& service, const std::string& part,
                      const Line& line) {
    std::cout << std::left << std::setw(14) << from << std::setw(14) << to << std::setw(16) << service << std::setw(8) << part
              << std::right << std::setw(9) << line.invites << std::setw(9) << line.stood << std::setw(9) << line.cut
              << std::setw(9) << line.refused << std::setw(9) << line.held << std::setw(20)
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
              << line.cut << ',' << line.refused << ',' << line.held << ',' << seconds(line.circuitMicroseconds) << '\n';
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

Account fromRun(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) throw std::runtime_error(path + ": can't be read");
  boost::system::error_code error;
  const json::value run = json::parse(text.str(), error);
  if (error || !run.is_object() || !run.as_object().contains("zones")) {
    throw std::runtime_error(path + ": the output of `thistlefold day --json` is expected");
  }
  Account account;
  for (const json::value& office : run.at("zones").as_array()) {
    if (!office.is_null()) add(account, office);
  }
  return account;
}

}  // namespace

void addZones(CLI::App& app, int& status) {
  struct Wanted {
    std::vector<std::string> offices;
    std::string run;
    bool csv = false, json = false;
  };
  auto* zones = app.add_subcommand("zones", "Traffic across zones: who uses the circuits between them");
  zones->require_subcommand(1);
  auto* report = zones->add_subcommand("report", "The account of running offices, or of a day that was played, summed up");
  auto wanted = std::make_shared<Wanted>();
  auto* offices = report->add_option("ADDRESS", wanted->offices, "where offices listen; several are summed up");
  auto* run = report->add_option("--run", wanted->run, "what `thistlefold day --json` printed, in place of offices");
  run->excludes(offices);
  auto* asCsv = report->add_flag("--csv", wanted->csv, "comma-separated lines");
  report->add_flag("--json", wanted->json, "as JSON")->excludes(asCsv);
  report->footer(
      "Each leg that crosses zones is counted once, by the office that sends it: direct, first (to a tandem) or second (from\n"
      "a tandem). A session over a tandem that crosses twice is two legs.");
  report->callback([=, &status] {
    Account account;
    if (!wanted->run.empty()) account = fromRun(wanted->run);
    if (wanted->run.empty() && wanted->offices.empty()) {
      std::cerr << "thistlefold zones report: an office's ADDRESS:PORT, or --run, is expected\n";
      status = 2;
      return;
    }
    for (const std::string& address : wanted->offices) {
      const auto at = iax2::parseAddress(address);
      if (!at) {
        std::cerr << "thistlefold zones report: an ADDRESS:PORT such as 127.0.0.1:4569 is expected, not '" << address << "'\n";
        status = 2;
        return;
      }
      const auto answer = askOffice(*at, "thistlefold zones 1\n");
      if (!answer) {
        // A sum without one of its parts would pass for the whole.
        std::cerr << "thistlefold zones report: no answer from " << address << '\n';
        status = 1;
        return;
      }
      add(account, json::parse(*answer));
    }
    wanted->csv ? csv(account) : wanted->json ? asJson(account) : table(account);
  });
}

}  // namespace thistlefold::command
