// Settings files: what is read and written, and the error for a faulty file, which is one line that gives file, line,
// column and what was expected.

#include <doctest/doctest.h>

#include "day/script.hpp"
#include "settings/files.hpp"

using namespace thistlefold;
using namespace thistlefold::settings;

namespace {

/// The message of the SettingsError that reading `text` as file "f" throws; empty if it is read without one.
std::string errorOf(const std::string& text) {
  try {
    const Document document = Document::parse("f", text);
    const Form& form = document.forms().front();
    if (form.head() == "day") {
      day::readDay(form, ".");
    } else {
      readFleet(form);
    }
  } catch (const SettingsError& error) {
    return error.what();
  }
  return "";
}

const std::string kValidFleet =
    "(fleet (service call)\n"
    "  (exchange a (numbers \"20\") (office 127.0.0.1:1) (processor 127.0.0.1:2))\n"
    "  (exchange b (numbers \"21\") (office 127.0.0.1:3) (processor 127.0.0.1:4))\n"
    "  (group a b 10) (directory 127.0.0.1:5))";

/// kValidFleet with the first occurrence of `from` replaced by `to`.
std::string fleetWith(const std::string& from, const std::string& to) {
  std::string text = kValidFleet;
  const auto at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

}  // namespace

TEST_CASE("a fleet that is written and read back is the same") {
  const Document document = Document::parse("f", kValidFleet);
  const Fleet fleet = readFleet(document.forms().front());
  CHECK(fleet.places.size() == 2);
  CHECK(fleet.circuits(1, 0) == 10);
  CHECK(fleet.destination("2155") == 1);
  CHECK(fleet.destination("99") == -1);
  CHECK(fleet.config.releaseTime == Span::ms(300));
  const std::string text = writeFleet(fleet);
  const Document reread = Document::parse("g", text);
  CHECK(writeFleet(readFleet(reread.forms().front())) == text);
}

TEST_CASE("error messages give line, column and what was expected") {
  CHECK(errorOf(kValidFleet) == "");
  CHECK(errorOf(fleetWith("(group a b 10)", "(group a b ten)")) ==
        "f:4:14: a number from 0 to 100000 is expected, not 'ten'");
  CHECK(errorOf(fleetWith("(numbers \"21\")", "(nubmers \"21\")")) ==
        "f:3:16: unknown word 'nubmers'; the nearest known is 'numbers'");
  CHECK(errorOf(fleetWith("group a b", "group a bb")) == "f:4:12: unknown word 'bb'; the nearest known is 'b'");
  CHECK(errorOf(fleetWith("(numbers \"21\")", "(numbers \"20\")")).find("belong to exchange 'a'") != std::string::npos);
  CHECK(errorOf(fleetWith("127.0.0.1:4", "127.0.0.1")).find(": an ADDRESS:PORT such as") != std::string::npos);
  CHECK(errorOf(fleetWith("(directory 127.0.0.1:5)", "")).find("(directory ADDRESS:PORT) is missing") !=
        std::string::npos);
  CHECK(errorOf("(fleet (service call)") == "f:1:1: a list whose ')' is missing");
  CHECK(errorOf("(fleet))") == "f:1:8: a ')' without its '('");
  CHECK(errorOf("(fleet \"a") == "f:1:8: a text whose closing '\"' is missing");
  CHECK(errorOf("; nothing\n") == "f: the file holds no expression");
  CHECK(errorOf("(flet)") == "f:1:1: (fleet ...) is expected");
  CHECK(errorOf(fleetWith("(service call)", "(service call (width 1) (width 2))")).find("is given twice") !=
        std::string::npos);
  CHECK(errorOf(fleetWith("(service call)", "(service call (width 1.5))")) == "f:1:29: a whole number is expected");
}

TEST_CASE("budgets are read, written and validated") {
  const std::string twoZones = fleetWith("(exchange b ", "(exchange b (zone away) ");
  const auto fleetWithBudget = [&](const std::string& text) {
    return twoZones.substr(0, twoZones.size() - 1) + text + ")";
  };
  const Document document =
      Document::parse("f", fleetWithBudget("(budget home away 12 (class call (guaranteed 4) (most 8)))"));
  const Fleet fleet = readFleet(document.forms().front());
  REQUIRE(fleet.budgets.size() == 1);
  CHECK(fleet.budgets[0].circuits == 12);
  CHECK(fleet.budgets[0].classes[0].most == 8);
  const Document reread = Document::parse("g", writeFleet(fleet));
  CHECK(writeFleet(readFleet(reread.forms().front())) == writeFleet(fleet));
  CHECK(errorOf(fleetWithBudget("(budget home awya 12)")).find("unknown word 'awya'; the nearest known is 'away'") !=
        std::string::npos);
  CHECK(errorOf(fleetWithBudget("(budget home home 12)")).find("two different zones") != std::string::npos);
  CHECK(errorOf(fleetWithBudget("(budget home away 3 (class call (guaranteed 4)))")).find("more than the budget") !=
        std::string::npos);
  CHECK(errorOf(fleetWithBudget("(budget home away 9 (class call (guaranteed 4) (most 2)))")).find("more than most") !=
        std::string::npos);
}

TEST_CASE("the scripted faults of a day are validated") {
  const std::string fleet = "(fleet (service call) (mesh 3))";
  CHECK(errorOf("(day d " + fleet + " (at 5 (hang e1 100)))") == "");
  CHECK(
      errorOf("(day d " + fleet + " (at 5 (hnag e1 100)))").find("unknown word 'hnag'; the nearest known is 'hang'") !=
      std::string::npos);
  CHECK(errorOf("(day d " + fleet + " (at 5 (hang e9 100)))").find("unknown word 'e9'") != std::string::npos);
  CHECK(errorOf("(day d " + fleet + " (at 5 (hang e1)))").find("(hang WHERE LASTS) is expected") != std::string::npos);
  CHECK(errorOf("(day d " + fleet + " (at 5 (cut all 2)))").find("a number from 0 to 1 is expected") !=
        std::string::npos);
  CHECK(errorOf("(day d " + fleet + " (callers (share cal 2)))").find("nearest known is 'call'") != std::string::npos);
}

TEST_CASE("random choices in a day script depend on its seed alone") {
  const auto plan = [](int seed) {
    const Document document = Document::parse(
        "d", "(day d (seed " + std::to_string(seed) +
                 ") (length 5000) (fleet (service call) (mesh 9)) (at (between 0 4000) (hang (any 3) 100)))");
    return day::readDay(document.forms().front(), ".");
  };
  CHECK(plan(1).faults[0].places == plan(1).faults[0].places);
  CHECK(plan(1).faults[0].at == plan(1).faults[0].at);
  CHECK(plan(1).faults[0].at != plan(2).faults[0].at);
  const auto first = day::drawTraffic(plan(3)), second = day::drawTraffic(plan(3));
  REQUIRE(first.size() == second.size());
  REQUIRE(first.size() > 50);
  CHECK(first.back().at == second.back().at);
  CHECK(first.back().number == second.back().number);
}
