// The account of traffic across zones.

#include <random>

#include "town.hpp"
#include "zones/ledger.hpp"

using namespace thistlefold;
using namespace thistlefold::zones;
using test::smallFleet;
using test::Telephone;
using test::Town;

namespace {

template <std::size_t N>
Sums sumOf(const Ring<N>& ring, std::uint64_t from, std::uint64_t to) {
  Sums all;
  for (std::uint64_t i = from; i <= to; ++i) {
    if (const Sums* one = ring.find(i)) all += *one;
  }
  return all;
}

}  // namespace

TEST_CASE("sums over seconds, minutes, hours and the total agree to the unit") {
  Cell cell;
  std::mt19937 chance(4);
  Instant now = Instant::ms(1000);
  std::vector<int> held;
  std::uint64_t exact = 0;  // the plain account: circuits times microseconds, kept beside
  int circuits = 0;
  while (now < Instant::ms(240000)) {
    const double step = static_cast<double>(chance() % 700) + 0.001 * static_cast<double>(chance() % 1000);
    const Instant next = now + Span::ms(step);
    exact += static_cast<std::uint64_t>(circuits) * static_cast<std::uint64_t>(std::llround((next - now).ms() * 1000));
    now = next;
    switch (chance() % 4) {
      case 0:
      case 1:
        held.push_back(1 + static_cast<int>(chance() % 4));
        circuits += held.back();
        cell.invited(now, held.back());
        break;
      case 2:
        if (held.empty()) break;
        cell.stood(now);
        [[fallthrough]];
      default:
        if (held.empty()) break;
        circuits -= held.back();
        cell.released(now, held.back());
        held.pop_back();
    }
  }
  cell.settle(now);
  CHECK(cell.held() == circuits);
  CHECK(cell.total().circuitMicroseconds == exact);
  CHECK(cell.total().invites > 100);
  CHECK(sumOf(cell.seconds(), 0, 300) == cell.total());
  CHECK(sumOf(cell.minutes(), 0, 10) == cell.total());
  CHECK(sumOf(cell.hours(), 0, 1) == cell.total());
  for (std::uint64_t minute = 0; minute < 4; ++minute) {
    CHECK(sumOf(cell.seconds(), minute * 60, minute * 60 + 59) == *cell.minutes().find(minute));
  }
}

TEST_CASE("what leaves the ring leaves it whole, and an idle hour costs nothing") {
  Cell cell;
  cell.invited(Instant::ms(1500), 2);
  cell.released(Instant::ms(2500), 2);
  cell.settle(Instant::ms(7.2e6));
  CHECK(cell.total().circuitMicroseconds == 2000000);
  cell.invited(Instant::ms(7.2e6), 1);
  CHECK(cell.seconds().find(1) == nullptr);
  CHECK(cell.hours().find(0)->circuitMicroseconds == 2000000);
  CHECK(cell.hours().find(2)->invites == 1);
  cell.settle(Instant::ms(7.0e6));  // a clock that goes back
  CHECK(cell.total().circuitMicroseconds == 2000000);
}

TEST_CASE("an office counts each leg that crosses once, by kind, and frees its circuits in the account") {
  Fleet fleet = smallFleet(3, 10);
  fleet.places[1].zone = "away";
  fleet.places[2].zone = "far";
  fleet.groups = {{0, 1, 10}, {1, 2, 10}};
  Town town(fleet, openOffice, "zones");
  town.open();
  Telephone phone(99);
  town.stage().place(day::kCallers, phone);
  iax2::Call* direct = phone.dial(town.now(), town.office(0), "210001", Span::ms(3000), "wide");
  iax2::Call* over = phone.dial(town.now(), town.office(0), "220001");
  town.stage().nudge(day::kCallers);
  town.run(1000);
  REQUIRE(phone.count("ANSWER") == 2);
  phone.endpoint().hangUp(town.now(), *direct, iax2::Iax::HANGUP, {});
  phone.endpoint().hangUp(town.now(), *over, iax2::Iax::HANGUP, {});
  town.stage().nudge(day::kCallers);
  town.run(1000);
  const auto read = [&](int place) { return boost::json::parse(town.stage().askZones(place).value()).at("cells").as_array(); };
  const auto first = read(0), second = read(1);
  REQUIRE(first.size() == 2);
  REQUIRE(second.size() == 1);
  CHECK(first[0].at("part").as_string() == "first");
  CHECK(first[0].at("service").as_string() == "call");
  CHECK(first[1].at("part").as_string() == "direct");
  CHECK(first[1].at("service").as_string() == "wide");
  CHECK(second[0].at("part").as_string() == "second");
  CHECK(second[0].at("to").as_string() == "far");
  for (const auto& cell : {first[0], first[1], second[0]}) {
    CHECK(cell.at("invites").as_int64() == 1);
    CHECK(cell.at("stood").as_int64() == 1);
    CHECK(cell.at("held").as_int64() == 0);
  }
  // Four circuits for a little over a second.
  CHECK(first[1].at("circuit_us").as_int64() > 4000000);
  CHECK(first[1].at("circuit_us").as_int64() < 4200000);
  const auto findings = town.findings();
  CHECK(findings.crossed.at({"home", "away", "call", "first"}) == audit::Crossed{1, 1});
  CHECK(findings.crossed.at({"away", "far", "call", "second"}) == audit::Crossed{1, 1});
  CHECK(findings.kept());
  town.stage().remove(day::kCallers);
  town.run(10);
}
