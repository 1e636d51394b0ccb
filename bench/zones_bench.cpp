// The account's rings and the sketch of users against plain containers that hold the same.

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <cmath>
#include <map>
#include <random>
#include <set>

#include "dimension/advice.hpp"
#include "model/zone_model.hpp"
#include "zones/ledger.hpp"
#include "zones/top_users.hpp"

using namespace thistlefold;
using namespace thistlefold::zones;

namespace {

/// The plain account: a map by second, minute and hour, trimmed to the same lengths.
class MapCell {
 public:
  void invited(std::uint64_t us) {
    add(seconds_, us / 1000000, 300);
    add(minutes_, us / 60000000, 240);
    add(hours_, us / 3600000000, 192);
    ++total_.invites;
  }

 private:
  static void add(std::map<std::uint64_t, UsageTotals>& level, std::uint64_t number, std::size_t room) {
    ++level[number].invites;
    if (level.size() > room) level.erase(level.begin());
  }
  std::map<std::uint64_t, UsageTotals> seconds_, minutes_, hours_;
  UsageTotals total_;
};

constexpr double kEveryMs = 7;  // an INVITE: some 140 a second in one cell

void accountRing(benchmark::State& state) {
  UsageCell cell;
  Instant now = Instant::ms(1000);
  for (auto _ : state) {
    now = now + Span::ms(kEveryMs);
    cell.invited(now, 0);
  }
  state.counters["bytes"] = sizeof(UsageCell);
}

void accountMap(benchmark::State& state) {
  const std::size_t before = ::mallinfo2().uordblks;
  MapCell cell;
  std::uint64_t us = 1000000;
  for (auto _ : state) {
    us += static_cast<std::uint64_t>(kEveryMs * 1000);
    cell.invited(us);
  }
  state.counters["bytes"] = static_cast<double>(::mallinfo2().uordblks - before + sizeof(MapCell));
}

std::vector<std::string> users(int count, double skew) {
  std::mt19937_64 chance(7);
  std::vector<std::string> all;
  for (int i = 0; i < 200000; ++i) {
    const double lot = std::generate_canonical<double, 53>(chance);
    all.push_back("0" + std::to_string(static_cast<int>(count * std::pow(lot, skew))));
  }
  return all;
}

void usersSketch(benchmark::State& state) {
  const auto all = users(static_cast<int>(state.range(0)), 4);
  const std::size_t before = ::mallinfo2().uordblks;
  TopUsers sketch(128);
  std::size_t i = 0;
  for (auto _ : state) sketch.add(all[i++ % all.size()], 10);
  state.counters["bytes"] = static_cast<double>(::mallinfo2().uordblks - before);
}

void usersExact(benchmark::State& state) {
  const auto all = users(static_cast<int>(state.range(0)), 4);
  const std::size_t before = ::mallinfo2().uordblks;
  std::unordered_map<std::string, std::uint64_t> exact;
  std::size_t i = 0;
  for (auto _ : state) exact[all[i++ % all.size()]] += 10;
  state.counters["bytes"] = static_cast<double>(::mallinfo2().uordblks - before);
}

/// The sketch with the users kept in order of their sums, so that the least is at hand.
void usersOrdered(benchmark::State& state) {
  const auto all = users(static_cast<int>(state.range(0)), 4);
  std::set<std::pair<std::uint64_t, std::string>> order;
  std::unordered_map<std::string, std::uint64_t> sums;
  std::size_t i = 0;
  for (auto _ : state) {
    const std::string& name = all[i++ % all.size()];
    std::uint64_t sum = 0;
    if (const auto known = sums.find(name); known != sums.end()) {
      sum = known->second;
      order.erase({sum, name});
    } else if (sums.size() == 128) {
      sum = order.begin()->first;
      sums.erase(order.begin()->second);
      order.erase(order.begin());
    }
    sums[name] = sum + 10;
    order.insert({sum + 10, name});
  }
}

/// The table of docs/zones.md: offices, way of dividing, with trouble or without.
void dividing(benchmark::State& state) {
  const int offices = static_cast<int>(state.range(0));
  // Three seeds; one of four minutes at 95, where each takes a minute or more.
  const int seeds = offices < 95 ? 3 : 1;
  for (auto _ : state) {
    double refused = 0, offered = 0, idle = 0, words = 0;
    int over = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
      model::ZoneScenario day;
      day.offices = offices;
      day.circuits = offices * 8;
      day.scheme = static_cast<model::DivisionScheme>(state.range(1));
      day.seed = static_cast<std::uint64_t>(seed);
      day.clockDrift = 0.005;
      if (offices >= 95) day.duration = Span::ms(240000);
      if (state.range(2) != 0) {
        using Kind = model::ZoneFault::Kind;
        day.loss = day.duplication = day.lateness = 0.1;
        std::vector<int> half;
        for (int i = 0; i < offices / 2; ++i) half.push_back(i);
        day.faults = {{Kind::kill, Span::ms(60000), Span::ms(3000), half, 0},
                      {Kind::partition, Span::ms(100000), Span::ms(60000), half, 0},
                      {Kind::freeze, Span::ms(180000), Span::ms(20000), {0, 1}, 0},
                      {Kind::budget, Span::ms(220000), Span::ms(3000), {}, day.circuits / 3}};
      }
      const model::ZoneResult result = model::simulate(day);
      refused += static_cast<double>(result.refused);
      offered += static_cast<double>(result.offered);
      idle += result.meanIdleShare / seeds;
      words += result.messagesPerSecond / seeds;
      over = std::max(over, result.maxOverBudget);
    }
    state.counters["refused"] = refused / offered;
    state.counters["over"] = over / (offices * 8.0);
    state.counters["idle"] = idle;
    state.counters["words"] = words;
  }
}

/// A plan for a full mesh of unequal loads, and its price against each group by itself.
void planning(benchmark::State& state) {
  const int places = static_cast<int>(state.range(0));
  std::mt19937 chance(3);
  dimension::Mesh mesh;
  mesh.places = places;
  mesh.widths = {1, 4};
  mesh.loads.assign(static_cast<std::size_t>(places * places) * 2, 0.0);
  for (int a = 0; a < places; ++a) {
    for (int b = 0; b < places; ++b) {
      if (a < b) mesh.groups.push_back({a, b, 24, a % 3 == b % 3 ? 1.0 : 2.0});
      if (a == b) continue;
      const double load = 1 + 9 * std::generate_canonical<double, 30>(chance);
      mesh.loads[mesh.loadIndex(a, b, 0)] = 0.8 * load;
      mesh.loads[mesh.loadIndex(a, b, 1)] = 0.05 * load;
    }
  }
  dimension::DimensioningTarget wish;
  wish.loss = {0.01, 0.02};
  for (auto _ : state) {
    const dimension::Advice advice = dimension::advise(mesh, wish);
    const auto alone = dimension::sizeGroupsSeparately(mesh, wish);
    double naive = 0;
    for (std::size_t g = 0; g < alone.size(); ++g) naive += alone[g] * mesh.groups[g].price;
    state.counters["price"] = advice.price / naive;
    state.counters["met"] = advice.targetMet;
  }
}

}  // namespace

BENCHMARK(dividing)->ArgsProduct({{6, 30, 95}, {0, 1, 2}, {0, 1}})->Iterations(1)->Unit(benchmark::kSecond);
BENCHMARK(planning)->Arg(4)->Arg(6)->Arg(30)->Arg(95)->Iterations(1)->Unit(benchmark::kSecond);
BENCHMARK(accountRing);
BENCHMARK(accountMap);
BENCHMARK(usersSketch)->Arg(500)->Arg(100000);
BENCHMARK(usersOrdered)->Arg(500)->Arg(100000);
BENCHMARK(usersExact)->Arg(500)->Arg(100000);
