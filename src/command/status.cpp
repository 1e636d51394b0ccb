#include <boost/json.hpp>
#include <iomanip>
#include <iostream>

#include "command/commands.hpp"
#include "command/office_query.hpp"

namespace thistlefold::command {
namespace {

void print(const std::string& account) {
  const boost::json::value read = boost::json::parse(account);
  const boost::json::object& all = read.as_object();
  for (const auto& [key, value] : all) {
    if (key != "exchanges") std::cout << std::left << std::setw(16) << key << ' ' << value << '\n';
  }
  std::cout << std::left << std::setw(16) << "exchange" << std::setw(10) << "listed" << std::right << std::setw(9)
            << "circuits" << std::setw(6) << "free" << std::setw(9) << "ringing"
            << "  notes\n";
  for (const auto& entry : all.at("exchanges").as_array()) {
    const auto& one = entry.as_object();
    std::cout << std::left << std::setw(16) << one.at("exchange").as_string().c_str() << std::setw(10)
              << one.at("listed").as_string().c_str() << std::right << std::setw(9) << one.at("circuits")
              << std::setw(6) << one.at("free") << std::setw(9) << one.at("ringing") << ' '
              << (one.at("own").as_bool() ? " own" : "") << (one.at("silent").as_bool() ? " silent" : "")
              << (one.at("doubtful").as_bool() ? " doubtful" : "") << '\n';
  }
}

}  // namespace

void addStatus(CLI::App& app, int& status) {
  auto* command = app.add_subcommand("status", "Ask a running office for its state");
  auto address = std::make_shared<std::string>();
  auto json = std::make_shared<bool>(false);
  command->add_option("ADDRESS", *address, "where it listens, such as 127.0.0.1:4569")->required();
  command->add_flag("--json", *json, "as JSON");
  command->callback([=, &status] {
    const auto at = iax2::parseAddress(*address);
    if (!at) {
      std::cerr << "thistlefold status: an ADDRESS:PORT such as 127.0.0.1:4569 is expected, not '" << *address << "'\n";
      status = 2;
      return;
    }
    const auto account = queryOffice(*at, "thistlefold status 1\n");
    if (!account) {
      std::cerr << "thistlefold status: no answer from " << *address << '\n';
      status = 1;
    } else if (*json) {
      std::cout << *account << '\n';
    } else {
      print(*account);
    }
  });
}

}  // namespace thistlefold::command
