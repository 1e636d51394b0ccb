#include <boost/json.hpp>
#include <iomanip>
#include <iostream>

#include "command/commands.hpp"
#include "command/office_query.hpp"

namespace thistlefold::command {
namespace {

/// Prints the office's JSON answer as a table.
void print(const std::string& answer) {
  const boost::json::value parsed = boost::json::parse(answer);
  const boost::json::object& fields = parsed.as_object();
  for (const auto& [key, value] : fields) {
    if (key != "exchanges") std::cout << std::left << std::setw(16) << key << ' ' << value << '\n';
  }
  std::cout << std::left << std::setw(16) << "exchange" << std::setw(10) << "listed" << std::right << std::setw(9)
            << "circuits" << std::setw(6) << "free" << std::setw(9) << "ringing"
            << "  notes\n";
  for (const auto& entry : fields.at("exchanges").as_array()) {
    const auto& exchange = entry.as_object();
    std::cout << std::left << std::setw(16) << exchange.at("exchange").as_string().c_str() << std::setw(10)
              << exchange.at("listed").as_string().c_str() << std::right << std::setw(9) << exchange.at("circuits")
              << std::setw(6) << exchange.at("free") << std::setw(9) << exchange.at("ringing") << ' '
              << (exchange.at("own").as_bool() ? " own" : "") << (exchange.at("silent").as_bool() ? " silent" : "")
              << (exchange.at("doubtful").as_bool() ? " doubtful" : "") << '\n';
  }
}

}  // namespace

void addStatus(CLI::App& app, int& status) {
  auto* command = app.add_subcommand("status", "Print the state of a running office");
  auto address = std::make_shared<std::string>();
  auto json = std::make_shared<bool>(false);
  command->add_option("ADDRESS", *address, "address that the office listens on, such as 127.0.0.1:4569")->required();
  command->add_flag("--json", *json, "print the state as JSON");
  command->callback([=, &status] {
    const auto office = iax2::parseAddress(*address);
    if (!office) {
      std::cerr << "thistlefold status: an ADDRESS:PORT such as 127.0.0.1:4569 is expected, not '" << *address << "'\n";
      status = 2;
      return;
    }
    const auto answer = queryOffice(*office, "thistlefold status 1\n");
    if (!answer) {
      std::cerr << "thistlefold status: no answer from " << *address << '\n';
      status = 1;
    } else if (*json) {
      std::cout << *answer << '\n';
    } else {
      print(*answer);
    }
  });
}

}  // namespace thistlefold::command
