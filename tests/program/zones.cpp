// Usage accounting across zones, admission to an office's part of a budget, and budgets in running offices.

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
  UsageTotals total;
  for (std::uint64_t i = from; i <= to; ++i) {
    if (const UsageTotals* bucket = ring.find(i)) total += *bucket;
  }
  return total;
}

}  // namespace

TEST_CASE("sums over seconds, minutes and hours equal the total exactly") {
  UsageCell cell;
  std::mt19937 random(4);
  Instant now = Instant::ms(1000);
  std::vector<int> held;
  std::uint64_t expected = 0;  // computed independently: circuits times microseconds
  int circuits = 0;
  while (now < Instant::ms(240000)) {
    const double step = static_cast<double>(random() % 700) + 0.001 * static_cast<double>(random() % 1000);
    const Instant next = now + Span::ms(step);
    expected +=
        static_cast<std::uint64_t>(circuits) * static_cast<std::uint64_t>(std::llround((next - now).ms() * 1000));
    now = next;
    switch (random() % 4) {
      case 0:
      case 1:
        held.push_back(1 + static_cast<int>(random() % 4));
        circuits += held.back();
        cell.invited(now, held.back());
        break;
      case 2:
        if (held.empty()) break;
        cell.established(now);
        [[fallthrough]];
      default:
        if (held.empty()) break;
        circuits -= held.back();
        cell.released(now, held.back());
        held.pop_back();
    }
  }
  cell.accrue(now);
  CHECK(cell.held() == circuits);
  CHECK(cell.total().circuitMicroseconds == expected);
  CHECK(cell.total().invites > 100);
  CHECK(sumOf(cell.seconds(), 0, 300) == cell.total());
  CHECK(sumOf(cell.minutes(), 0, 10) == cell.total());
  CHECK(sumOf(cell.hours(), 0, 1) == cell.total());
  for (std::uint64_t minute = 0; minute < 4; ++minute) {
    CHECK(sumOf(cell.seconds(), minute * 60, minute * 60 + 59) == *cell.minutes().find(minute));
  }
}

TEST_CASE("a bucket that leaves the ring is gone from it, and an idle hour adds nothing") {
  UsageCell cell;
  cell.invited(Instant::ms(1500), 2);
  cell.released(Instant::ms(2500), 2);
  cell.accrue(Instant::ms(7.2e6));
  CHECK(cell.total().circuitMicroseconds == 2000000);
  cell.invited(Instant::ms(7.2e6), 1);
  CHECK(cell.seconds().find(1) == nullptr);
  CHECK(cell.hours().find(0)->circuitMicroseconds == 2000000);
  CHECK(cell.hours().find(2)->invites == 1);
  cell.accrue(Instant::ms(7.0e6));  // a clock that goes back
  CHECK(cell.total().circuitMicroseconds == 2000000);
}

TEST_CASE("an office counts each leg across zones once, by kind, and releases its circuits in the ledger") {
  Fleet fleet = smallFleet(3, 10);
  fleet.places[1].zone = "away";
  fleet.places[2].zone = "far";
  fleet.groups = {{0, 1, 10}, {1, 2, 10}};
  FleetFixture fixture(fleet, makeController, "zones");
  fixture.start();
  TestPhone phone(99);
  fixture.testbed().attach(day::kCallersIdentity, phone);
  iax2::Call* direct = phone.dial(fixture.now(), fixture.office(0), "210001", Span::ms(3000), "wide");
  iax2::Call* viaTandem = phone.dial(fixture.now(), fixture.office(0), "220001");
  fixture.testbed().wakeUp(day::kCallersIdentity);
  fixture.run(1000);
  REQUIRE(phone.count("ANSWER") == 2);
  phone.endpoint().hangUp(fixture.now(), *direct, iax2::Iax::HANGUP, {});
  phone.endpoint().hangUp(fixture.now(), *viaTandem, iax2::Iax::HANGUP, {});
  fixture.testbed().wakeUp(day::kCallersIdentity);
  fixture.run(1000);
  const auto readCells = [&](int place) {
    return boost::json::parse(fixture.testbed().query(place, "thistlefold zones 1\n").value()).at("cells").as_array();
  };
  const auto firstCells = readCells(0), secondCells = readCells(1);
  REQUIRE(firstCells.size() == 2);
  REQUIRE(secondCells.size() == 1);
  CHECK(firstCells[0].at("part").as_string() == "first");
  CHECK(firstCells[0].at("service").as_string() == "call");
  CHECK(firstCells[1].at("part").as_string() == "direct");
  CHECK(firstCells[1].at("service").as_string() == "wide");
  CHECK(secondCells[0].at("part").as_string() == "second");
  CHECK(secondCells[0].at("to").as_string() == "far");
  for (const auto& cell : {firstCells[0], firstCells[1], secondCells[0]}) {
    CHECK(cell.at("invites").as_int64() == 1);
    CHECK(cell.at("stood").as_int64() == 1);
    CHECK(cell.at("held").as_int64() == 0);
  }
  // Four circuits for little more than a second.
  CHECK(firstCells[1].at("circuit_us").as_int64() > 4000000);
  CHECK(firstCells[1].at("circuit_us").as_int64() < 4200000);
  const auto findings = fixture.findings();
  CHECK(findings.zoneLegs.at({"home", "away", "call", "first"}) == audit::ZoneLegCounts{1, 1});
  CHECK(findings.zoneLegs.at({"away", "far", "call", "second"}) == audit::ZoneLegCounts{1, 1});
  CHECK(findings.passed());
  fixture.testbed().detach(day::kCallersIdentity);
  fixture.run(10);
}

namespace {

const Instant kNow = Instant::ms(1e6);

BudgetPart partOf(int circuits, std::vector<ClassShare> classes) {
  BudgetPart part({{1, 1, Span::ms(10000)}, {4, 1, Span::ms(10000)}});
  part.setBounds(Bounds{circuits, std::move(classes)});
  for (std::size_t service : {0u, 1u}) part.recordRequest(kNow, service);
  return part;
}

int fill(BudgetPart& part, std::size_t service) {
  int taken = 0;
  for (; part.admits(kNow, service); ++taken) part.seize(service);
  return taken;
}

}  // namespace

TEST_CASE("equal parts add up to the whole for any count") {
  for (int whole : {0, 1, 7, 24, 95, 1000}) {
    for (int count : {1, 2, 3, 7, 95}) {
      int sum = 0;
      for (int i = 0; i < count; ++i) sum += equalPart(whole, i, count);
      CHECK(sum == whole);
      CHECK(equalPart(whole, 0, count) - equalPart(whole, count - 1, count) <= 1);
    }
  }
}

TEST_CASE("a flood of one class uses its limit and what others leave free, never their guarantee") {
  BudgetPart part = partOf(24, {{0, std::nullopt}, {12, std::nullopt}});
  fill(part, 0);
  CHECK(part.heldBy(0) == 9);  // 24 less the guarantee, less what the widest needs beyond one circuit
  CHECK(fill(part, 1) == 3);   // the guarantee is available at once, whatever the flood holds
  BudgetPart bounded = partOf(24, {{0, 5}, {0, std::nullopt}});
  CHECK(fill(bounded, 0) == 5);
  CHECK(fill(bounded, 1) == 4);
}

TEST_CASE("wide and narrow sessions are refused in the same states") {
  BudgetPart part = partOf(20, {{}, {}});
  // Narrow sessions are refused as soon as a wide one no longer fits, so a wide one can use the next free circuits.
  CHECK(fill(part, 0) == 17);
  CHECK_FALSE(part.admits(kNow, 1));
  part.release(0);
  CHECK(part.admits(kNow, 1));
  CHECK(part.admits(kNow, 0));
  // No wide session was requested recently: nothing is reserved for one.
  for (int i = 0; i < 4; ++i) CHECK(part.admits(kNow + Span::ms(6000), 0));
  // In a part too small for a wide session, nothing is reserved for one.
  BudgetPart small = partOf(3, {{}, {}});
  CHECK(fill(small, 0) == 3);
}

TEST_CASE("circuits for one session of a requested higher-value service are kept free") {
  BudgetPart part({{1, 1, Span::ms(10000)}, {2, 5, Span::ms(10000)}});
  part.setBounds(Bounds{20, {}});
  part.recordRequest(kNow, 1);
  // Two for the widest, two for the higher-value service: 4 are free when the 17th is admitted.
  CHECK(fill(part, 0) == 17);
  CHECK(fill(part, 1) == 1);
  part.release(0);
  CHECK_FALSE(part.admits(kNow, 0));
  CHECK(part.admits(kNow, 1));
  CHECK(part.admits(kNow + Span::ms(6000), 0));
}

TEST_CASE("sessions to end: of the lowest value first, of these the newest, and no more than needed") {
  const std::vector<ServiceProfile> services{{1, 2, Span::ms(1000)}, {4, 1, Span::ms(1000)}};
  const std::vector<EstablishedSession> sessions{
      {0, Instant::ms(1)}, {1, Instant::ms(2)}, {1, Instant::ms(3)}, {0, Instant::ms(4)}};
  CHECK(selectSessionsToEnd(services, sessions, 0).empty());
  CHECK(selectSessionsToEnd(services, sessions, 1) == std::vector<std::size_t>{2});
  CHECK(selectSessionsToEnd(services, sessions, 5) == std::vector<std::size_t>{2, 1});
  CHECK(selectSessionsToEnd(services, sessions, 9) == std::vector<std::size_t>{2, 1, 3});
  CHECK(selectSessionsToEnd(services, sessions, 100).size() == 4);
}

TEST_CASE("a lowered budget admits nothing until enough sessions have ended, and reports the excess") {
  BudgetPart part = partOf(24, {{}, {}});
  for (int i = 0; i < 5; ++i) part.seize(1);
  part.setBounds(Bounds{8, {}});
  CHECK(part.excess() == 12);
  CHECK(part.free() == 0);
  CHECK_FALSE(part.admits(kNow, 0));
  for (int i = 0; i < 4; ++i) part.release(1);
  CHECK(part.excess() == 0);
  CHECK(part.admits(kNow, 1));
  part.setBounds(std::nullopt);
  CHECK_FALSE(part.isBounded());
  CHECK(part.admits(kNow, 1));
}

TEST_CASE("a budget lowered to 0 in service refuses new sessions and lets established ones end by themselves") {
  Fleet fleet = smallFleet(2, 50);
  fleet.places[1].zone = "away";
  const iax2::Address callers{2, 2}, peerAddress{3, 3};
  fleet.places[1].office = peerAddress;
  fleet.directory = {9, 9};
  Office office(fleet, OfficeOptions(), Instant::ms(1000));
  ExchangeList list{1, 1, true, {{0, Readiness::ready, 1, Span::ms(1e6)}, {1, Readiness::ready, 1, Span::ms(1e6)}}, {}};
  const std::string text = encode(list);
  Instant now = Instant::ms(1000);
  office.receive(now, fleet.directory, {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()});
  TestPhone phone(4), peer(5);
  std::set<iax2::Call*> answered;
  const auto exchangeFrames = [&] {
    for (int i = 0; i < 4; ++i) {
      now = now + Span::ms(1);
      phone.process(now, [&](iax2::Address, iax2::Bytes bytes) { office.receive(now, callers, bytes); });
      peer.process(now, [&](iax2::Address, iax2::Bytes bytes) { office.receive(now, peerAddress, bytes); });
      office.process(now, [&](iax2::Address to, iax2::Bytes bytes) {
        if (to == callers) phone.receive(now, {1, 1}, bytes);
        if (to == peerAddress) peer.receive(now, {1, 1}, bytes);
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
    exchangeFrames();
  }
  CHECK(phone.count("ANSWER") == 3);
  CHECK(phone.count("REJECT") == 3);
  CHECK(office.trunkGroup(1)->circuitsInUse() == 3);
  budget.circuits = 0;
  office.updateBudgets(now, {budget});
  phone.dial(now, {1, 1}, "210009");
  exchangeFrames();
  CHECK(phone.count("ANSWER") == 3);
  CHECK(phone.count("REJECT") == 4);
  CHECK(office.zonesReport(now).find("\"held\":3,\"over\":3") != std::string::npos);
  for (int i = 0; i < 3; ++i) phone.endpoint().hangUp(now, *calls[static_cast<std::size_t>(i)], iax2::Iax::HANGUP, {});
  exchangeFrames();
  CHECK(office.zonesReport(now).find("\"held\":0,\"over\":0") != std::string::npos);
  office.updateBudgets(now, {});
  phone.dial(now, {1, 1}, "210010");
  exchangeFrames();
  CHECK(phone.count("ANSWER") == 4);
}

TEST_CASE("the sketch lists every user above total / capacity, and bounds the error of each sum") {
  std::mt19937_64 random(11);
  TopUsers sketch(128);
  std::map<std::string, std::uint64_t> expected;
  std::uint64_t total = 0;
  for (int i = 0; i < 60000; ++i) {
    const double draw = std::generate_canonical<double, 53>(random);
    const std::string user = std::to_string(static_cast<int>(20000 * std::pow(draw, 6)));
    const std::uint64_t amount = 1 + random() % 20;
    sketch.add(user, amount);
    expected[user] += amount;
    total += amount;
  }
  REQUIRE(expected.size() > 5000);
  CHECK(sketch.total() == total);
  const auto top = sketch.top(128);
  CHECK(top.size() == 128);
  std::set<std::string> listed;
  for (const auto& user : top) {
    listed.insert(user.name);
    CHECK(user.sum >= expected[user.name]);
    CHECK(user.sum - user.maxOverestimate <= expected[user.name]);
    CHECK(user.maxOverestimate <= total / 128);
  }
  int heavy = 0;
  for (const auto& [user, sum] : expected) {
    if (sum <= total / 128) continue;
    ++heavy;
    CHECK(listed.contains(user));
  }
  CHECK(heavy > 3);
}

TEST_CASE("usage of a restarted office's earlier incarnation counts once, from the restart on") {
  PeerUsage peerUsage;
  const UsageKey key{0, 1, 0, LegKind::direct};
  peerUsage.totalsFor(3, 100, key).invites += 5;
  CHECK(peerUsage.inherited().empty());
  peerUsage.recordIncarnation(3, 100);
  CHECK(peerUsage.inherited().empty());
  peerUsage.recordIncarnation(3, 200);
  CHECK(peerUsage.inherited().at(key).invites == 5);
  // A delayed NEW of the earlier incarnation is in no other office's account.
  peerUsage.totalsFor(3, 100, key).invites += 1;
  peerUsage.totalsFor(3, 200, key).invites += 7;
  CHECK(peerUsage.inherited().at(key).invites == 6);
  peerUsage.recordIncarnation(3, 300);
  CHECK(peerUsage.inherited().at(key).invites == 13);
}

TEST_CASE("a tandem in a third zone: each leg uses the budget of its own pair of zones, at the office that sends it") {
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
  fixture.testbed().attach(day::kCallersIdentity, phone);
  for (int i = 0; i < 8; ++i) {
    phone.dial(fixture.now(), fixture.office(0), "22000" + std::to_string(i));
    fixture.testbed().wakeUp(day::kCallersIdentity);
    fixture.run(3000);
  }
  const auto budget = [&](int place) {
    return boost::json::parse(fixture.testbed().query(place, "thistlefold zones 1\n").value())
        .at("budgets")
        .as_array()[0];
  };
  // The controller does not use the last circuits of a group for two-leg sessions.
  const auto established = static_cast<std::int64_t>(phone.count("ANSWER"));
  CHECK(established >= 2);
  CHECK(established <= 4);
  CHECK(budget(0).at("held").as_int64() == established);
  CHECK(budget(1).at("held").as_int64() == established);
  CHECK(budget(1).at("part").as_int64() == 4);
  CHECK(fixture.findings().passed());
  fixture.testbed().detach(day::kCallersIdentity);
  fixture.run(10);
}
