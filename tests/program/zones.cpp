// The account of traffic across zones.

#include <cmath>
#include <map>
#include <random>
#include <set>

#include "fleet_fixture.hpp"
#include "zones/budget.hpp"
#include "zones/ledger.hpp"
#include "zones/peer_usage.hpp"
#include "zones/top_users.hpp"

using namespace thistlefold;
using namespace thistlefold::zones;
using test::FleetFixture;
using test::smallFleet;
using test::TestPhone;

namespace {

template <std::size_t N>
UsageTotals sumOf(const Ring<N>& ring, std::uint64_t from, std::uint64_t to) {
  UsageTotals all;
  for (std::uint64_t i = from; i <= to; ++i) {
    if (const UsageTotals* one = ring.find(i)) all += *one;
  }
  return all;
}

}  // namespace

TEST_CASE("sums over seconds, minutes, hours and the total agree to the unit") {
  UsageCell cell;
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
  UsageCell cell;
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
  FleetFixture fixture(fleet, makeController, "zones");
  fixture.start();
  TestPhone phone(99);
  fixture.testbed().place(day::kCallers, phone);
  iax2::Call* direct = phone.dial(fixture.now(), fixture.office(0), "210001", Span::ms(3000), "wide");
  iax2::Call* over = phone.dial(fixture.now(), fixture.office(0), "220001");
  fixture.testbed().wakeUp(day::kCallers);
  fixture.run(1000);
  REQUIRE(phone.count("ANSWER") == 2);
  phone.endpoint().hangUp(fixture.now(), *direct, iax2::Iax::HANGUP, {});
  phone.endpoint().hangUp(fixture.now(), *over, iax2::Iax::HANGUP, {});
  fixture.testbed().wakeUp(day::kCallers);
  fixture.run(1000);
  const auto read = [&](int place) {
    return boost::json::parse(fixture.testbed().ask(place, "thistlefold zones 1\n").value()).at("cells").as_array();
  };
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
  const auto findings = fixture.findings();
  CHECK(findings.crossed.at({"home", "away", "call", "first"}) == audit::ZoneLegCounts{1, 1});
  CHECK(findings.crossed.at({"away", "far", "call", "second"}) == audit::ZoneLegCounts{1, 1});
  CHECK(findings.kept());
  fixture.testbed().remove(day::kCallers);
  fixture.run(10);
}

namespace {

const Instant kNow = Instant::ms(1e6);

Part partOf(int circuits, std::vector<ClassShare> classes) {
  Part part({{1, 1, Span::ms(10000)}, {4, 1, Span::ms(10000)}});
  part.set(Bounds{circuits, std::move(classes)});
  for (std::size_t service : {0u, 1u}) part.asked(kNow, service);
  return part;
}

int fill(Part& part, std::size_t service) {
  int taken = 0;
  for (; part.admits(kNow, service); ++taken) part.take(service);
  return taken;
}

}  // namespace

TEST_CASE("equal parts add up to the whole, whatever the count") {
  for (int whole : {0, 1, 7, 24, 95, 1000}) {
    for (int count : {1, 2, 3, 7, 95}) {
      int sum = 0;
      for (int i = 0; i < count; ++i) sum += equalPart(whole, i, count);
      CHECK(sum == whole);
      CHECK(equalPart(whole, 0, count) - equalPart(whole, count - 1, count) <= 1);
    }
  }
}

TEST_CASE("a flood of one class takes its most part and what others leave, never their guarantee") {
  Part part = partOf(24, {{0, std::nullopt}, {12, std::nullopt}});
  fill(part, 0);
  CHECK(part.heldBy(0) == 9);  // 24 less the guarantee, less what the widest needs beyond it
  CHECK(fill(part, 1) == 3);   // the guarantee is reachable at once, whatever the flood holds
  Part bounded = partOf(24, {{0, 5}, {0, std::nullopt}});
  CHECK(fill(bounded, 0) == 5);
  CHECK(fill(bounded, 1) == 4);
}

TEST_CASE("wide and narrow sessions are refused in the same states") {
  Part part = partOf(20, {{}, {}});
  // Narrow ones stop where a wide one would no longer fit, so the next circuits that come free are as good for it.
  CHECK(fill(part, 0) == 17);
  CHECK_FALSE(part.admits(kNow, 1));
  part.release(0);
  CHECK(part.admits(kNow, 1));
  CHECK(part.admits(kNow, 0));
  // Nobody has asked for a wide one of late: nothing is kept for it.
  for (int i = 0; i < 4; ++i) CHECK(part.admits(kNow + Span::ms(6000), 0));
  // A part that never holds a wide one is left to the narrow ones.
  Part small = partOf(3, {{}, {}});
  CHECK(fill(small, 0) == 3);
}

TEST_CASE("beside a service of more worth that is asked for, room for one of it is left") {
  Part part({{1, 1, Span::ms(10000)}, {2, 5, Span::ms(10000)}});
  part.set(Bounds{20, {}});
  part.asked(kNow, 1);
  CHECK(fill(part, 0) == 17);  // two for the widest, two for the dearer: 4 are left when the 17th is let in
  CHECK(fill(part, 1) == 1);
  part.release(0);
  CHECK_FALSE(part.admits(kNow, 0));
  CHECK(part.admits(kNow, 1));
  CHECK(part.admits(kNow + Span::ms(6000), 0));
}

TEST_CASE("who makes way: of least worth first, of these the newest, and no more than is wanted") {
  const std::vector<Kind> kinds{{1, 2, Span::ms(1000)}, {4, 1, Span::ms(1000)}};
  const std::vector<Standing> standing{
      {0, Instant::ms(1)}, {1, Instant::ms(2)}, {1, Instant::ms(3)}, {0, Instant::ms(4)}};
  CHECK(whoMakesWay(kinds, standing, 0).empty());
  CHECK(whoMakesWay(kinds, standing, 1) == std::vector<std::size_t>{2});
  CHECK(whoMakesWay(kinds, standing, 5) == std::vector<std::size_t>{2, 1});
  CHECK(whoMakesWay(kinds, standing, 9) == std::vector<std::size_t>{2, 1, 3});
  CHECK(whoMakesWay(kinds, standing, 100).size() == 4);
}

TEST_CASE("a lowered budget admits nothing until enough has ended, and says how much is over") {
  Part part = partOf(24, {{}, {}});
  for (int i = 0; i < 5; ++i) part.take(1);
  part.set(Bounds{8, {}});
  CHECK(part.over() == 12);
  CHECK(part.left() == 0);
  CHECK_FALSE(part.admits(kNow, 0));
  for (int i = 0; i < 4; ++i) part.release(1);
  CHECK(part.over() == 0);
  CHECK(part.admits(kNow, 1));
  part.set(std::nullopt);
  CHECK_FALSE(part.bounded());
  CHECK(part.admits(kNow, 1));
}

TEST_CASE("a budget lowered to nothing in service: new sessions go another way or are refused, standing ones end") {
  Fleet fleet = smallFleet(2, 50);
  fleet.places[1].zone = "away";
  const iax2::Address callers{2, 2}, other{3, 3};
  fleet.places[1].office = other;
  fleet.directory = {9, 9};
  Office office(fleet, OfficeOptions(), Instant::ms(1000));
  ExchangeList list{1, 1, true, {{0, Readiness::ready, 1, Span::ms(1e6)}, {1, Readiness::ready, 1, Span::ms(1e6)}}, {}};
  const std::string text = encode(list);
  Instant now = Instant::ms(1000);
  office.receive(now, fleet.directory, {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()});
  TestPhone phone(4), peer(5);
  std::set<iax2::Call*> answered;
  const auto pass = [&] {
    for (int i = 0; i < 4; ++i) {
      now = now + Span::ms(1);
      phone.process(now, [&](iax2::Address, iax2::Bytes bytes) { office.receive(now, callers, bytes); });
      peer.process(now, [&](iax2::Address, iax2::Bytes bytes) { office.receive(now, other, bytes); });
      office.process(now, [&](iax2::Address to, iax2::Bytes bytes) {
        if (to == callers) phone.receive(now, {1, 1}, bytes);
        if (to == other) peer.receive(now, {1, 1}, bytes);
      });
      for (iax2::Call* call : std::vector(peer.incomingCalls.begin(), peer.incomingCalls.end())) {
        if (!answered.insert(call).second) continue;
        peer.endpoint().send(now, *call, iax2::Iax::ACCEPT);
        peer.endpoint().send(now, *call, iax2::Control::answer);
      }
    }
  };
  Budget budget;
  budget.to = 1;
  budget.circuits = 3;
  budget.classes.resize(2);
  office.updateBudgets(now, {budget});
  std::vector<iax2::Call*> calls;
  for (int i = 0; i < 6; ++i) {
    calls.push_back(phone.dial(now, {1, 1}, "21000" + std::to_string(i)));
    pass();
  }
  CHECK(phone.count("ANSWER") == 3);
  CHECK(phone.count("REJECT") == 3);
  CHECK(office.trunkGroup(1)->circuitsInUse() == 3);
  budget.circuits = 0;
  office.updateBudgets(now, {budget});
  phone.dial(now, {1, 1}, "210009");
  pass();
  CHECK(phone.count("ANSWER") == 3);
  CHECK(phone.count("REJECT") == 4);
  CHECK(office.zonesReport(now).find("\"held\":3,\"over\":3") != std::string::npos);
  for (int i = 0; i < 3; ++i) phone.endpoint().hangUp(now, *calls[static_cast<std::size_t>(i)], iax2::Iax::HANGUP, {});
  pass();
  CHECK(office.zonesReport(now).find("\"held\":0,\"over\":0") != std::string::npos);
  office.updateBudgets(now, {});
  phone.dial(now, {1, 1}, "210010");
  pass();
  CHECK(phone.count("ANSWER") == 4);
}

TEST_CASE("the sketch of users names all who use more than its share, and bounds what it says of each") {
  std::mt19937_64 chance(11);
  TopUsers sketch(128);
  std::map<std::string, std::uint64_t> exact;
  std::uint64_t all = 0;
  for (int i = 0; i < 60000; ++i) {
    const double lot = std::generate_canonical<double, 53>(chance);
    const std::string user = std::to_string(static_cast<int>(20000 * std::pow(lot, 6)));
    const std::uint64_t amount = 1 + chance() % 20;
    sketch.add(user, amount);
    exact[user] += amount;
    all += amount;
  }
  REQUIRE(exact.size() > 5000);
  CHECK(sketch.all() == all);
  const auto top = sketch.top(128);
  CHECK(top.size() == 128);
  std::set<std::string> named;
  for (const auto& user : top) {
    named.insert(user.name);
    CHECK(user.sum >= exact[user.name]);
    CHECK(user.sum - user.slack <= exact[user.name]);
    CHECK(user.slack <= all / 128);
  }
  int heavy = 0;
  for (const auto& [user, sum] : exact) {
    if (sum <= all / 128) continue;
    ++heavy;
    CHECK(named.contains(user));
  }
  CHECK(heavy > 3);
}

TEST_CASE("what a far end saw of an office that was started anew counts once, from then on") {
  PeerUsage peerUsage;
  const Key key{0, 1, 0, LegKind::direct};
  peerUsage.of(3, 100, key).invites += 5;
  CHECK(peerUsage.inherited().empty());
  peerUsage.started(3, 100);
  CHECK(peerUsage.inherited().empty());
  peerUsage.started(3, 200);
  CHECK(peerUsage.inherited().at(key).invites == 5);
  // A NEW of the earlier start that was late on its way is in nobody else's account.
  peerUsage.of(3, 100, key).invites += 1;
  peerUsage.of(3, 200, key).invites += 7;
  CHECK(peerUsage.inherited().at(key).invites == 6);
  peerUsage.started(3, 300);
  CHECK(peerUsage.inherited().at(key).invites == 13);
}

TEST_CASE("a tandem in a third zone: each leg takes of the budget of its own pair, by the office that sends it") {
  Fleet fleet = smallFleet(3, 10);
  fleet.places[1].zone = "away";
  fleet.places[2].zone = "far";
  fleet.groups = {{0, 1, 10}, {1, 2, 10}};
  Budget first, second;
  first.to = 1, first.circuits = 9, first.classes.resize(2);
  second.from = 1, second.to = 2, second.circuits = 4, second.classes.resize(2);
  fleet.budgets = {first, second};
  FleetFixture fixture(fleet, makeController, "zones-third");
  fixture.start();
  TestPhone phone(99);
  fixture.testbed().place(day::kCallers, phone);
  for (int i = 0; i < 8; ++i) {
    phone.dial(fixture.now(), fixture.office(0), "22000" + std::to_string(i));
    fixture.testbed().wakeUp(day::kCallers);
    fixture.run(3000);
  }
  const auto budget = [&](int place) {
    return boost::json::parse(fixture.testbed().ask(place, "thistlefold zones 1\n").value())
        .at("budgets")
        .as_array()[0];
  };
  // The module keeps two-leg sessions off the last circuits of what it is shown.
  const auto stand = static_cast<std::int64_t>(phone.count("ANSWER"));
  CHECK(stand >= 2);
  CHECK(stand <= 4);
  CHECK(budget(0).at("held").as_int64() == stand);
  CHECK(budget(1).at("held").as_int64() == stand);
  CHECK(budget(1).at("part").as_int64() == 4);
  CHECK(fixture.findings().kept());
  fixture.testbed().remove(day::kCallers);
  fixture.run(10);
}
