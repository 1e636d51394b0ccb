// The usage ledger's rings and the sketch of heavy users compared with standard containers that hold the same, the ways
// to divide a budget, and dimensioning.

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

/// A usage cell made of maps by second, minute and hour, limited to the same numbers of buckets.
class MapCell {
 public:
  void invited(std::uint64_t us) {
    add(seconds_, us / 1000000, 300);
    add(minutes_, us / 60000000, 240);
    add(hours_, us / 3600000000, 192);
    ++total_.invites;
  }

 private:
  static void add(std::map<std::uint64_t, UsageTotals>& level, std::uint64_t number, std::size_t capacity) {
    ++level[number].invites;
    if (level.size() > capacity) level.erase(level.begin());
  }
  std::map<std::uint64_t, UsageTotals> seconds_, minutes_, hours_;
  UsageTotals total_;
};

constexpr double kInviteIntervalMs = 7;  // between INVITEs: about 140 per second in one cell

void accountRing(benchmark::State& state) {
  UsageCell cell;
  Instant now = Instant::ms(1000);
  for (auto _ : state) {
    now = now + Span::ms(kInviteIntervalMs);
    cell.invited(now, 0);
  }
  state.counters["bytes"] = sizeof(UsageCell);
}

void accountMap(benchmark::State& state) {
  const std::size_t before = ::mallinfo2().uordblks;
  MapCell cell;
  std::uint64_t us = 1000000;
  for (auto _ : state) {
    us += static_cast<std::uint64_t>(kInviteIntervalMs * 1000);
    cell.invited(us);
  }
  state.counters["bytes"] = static_cast<double>(::mallinfo2().uordblks - before + sizeof(MapCell));
}

std::vector<std::string> users(int count, double skew) {
  std::mt19937_64 random(7);
  std::vector<std::string> names;
  for (int i = 0; i < 200000; ++i) {
    const double draw = std::generate_canonical<double, 53>(random);
    names.push_back("0" + std::to_string(static_cast<int>(count * std::pow(draw, skew))));
  }
  return names;
}

void usersSketch(benchmark::State& state) {
  const auto names = users(static_cast<int>(state.range(0)), 4);
  const std::size_t before = ::mallinfo2().uordblks;
  TopUsers sketch(128);
  std::size_t i = 0;
  for (auto _ : state) sketch.add(names[i++ % names.size()], 10);
  state.counters["bytes"] = static_cast<double>(::mallinfo2().uordblks - before);
}

void usersExact(benchmark::State& state) {
  const auto names = users(static_cast<int>(state.range(0)), 4);
  const std::size_t before = ::mallinfo2().uordblks;
  std::unordered_map<std::string, std::uint64_t> exact;
  std::size_t i = 0;
  for (auto _ : state) exact[names[i++ % names.size()]] += 10;
  state.counters["bytes"] = static_cast<double>(::mallinfo2().uordblks - before);
}

/// The sketch with its users kept in order of their sums, so that the smallest is found at once.
void usersOrdered(benchmark::State& state) {
  const auto names = users(static_cast<int>(state.range(0)), 4);
  std::set<std::pair<std::uint64_t, std::string>> order;
  std::unordered_map<std::string, std::uint64_t> sums;
  std::size_t i = 0;
  for (auto _ : state) {
    const std::string& name = names[i++ % names.size()];
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

/// The table of docs/zones.md. Arguments: number of offices, scheme of division, whether there are faults.
void dividing(benchmark::State& state) {
  const int offices = static_cast<int>(state.range(0));
  // Three seeds; a single one with four simulated minutes for 95 offices, where each takes a minute or more to run.
  const int seeds = offices < 95 ? 3 : 1;
  for (auto _ : state) {
    double refused = 0, offered = 0, idle = 0, messages = 0;
    int overBudget = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
      model::ZoneScenario scenario;
      scenario.offices = offices;
      scenario.circuits = offices * 8;
      scenario.scheme = static_cast<model::DivisionScheme>(state.range(1));
      scenario.seed = static_cast<std::uint64_t>(seed);
      scenario.clockDrift = 0.005;
      if (offices >= 95) scenario.duration = Span::ms(240000);
      if (state.range(2) != 0) {
        using Kind = model::ZoneFault::Kind;
        scenario.loss = scenario.duplication = scenario.lateness = 0.1;
        std::vector<int> half;
        for (int i = 0; i < offices / 2; ++i) half.push_back(i);
        scenario.faults = {{Kind::kill, Span::ms(60000), Span::ms(3000), half, 0},
                           {Kind::partition, Span::ms(100000), Span::ms(60000), half, 0},
                           {Kind::freeze, Span::ms(180000), Span::ms(20000), {0, 1}, 0},
                           {Kind::budget, Span::ms(220000), Span::ms(3000), {}, scenario.circuits / 3}};
      }
      const model::ZoneResult result = model::simulate(scenario);
      refused += static_cast<double>(result.refused);
      offered += static_cast<double>(result.offered);
      idle += result.meanIdleShare / seeds;
      messages += result.messagesPerSecond / seeds;
      overBudget = std::max(overBudget, result.maxOverBudget);
    }
    state.counters["refused"] = refused / offered;
    state.counters["over"] = overBudget / (offices * 8.0);
    state.counters["idle"] = idle;
    state.counters["words"] = messages;
  }
}

/// A plan for a full mesh of unequal loads, and its price relative to that of groups sized separately.
void planning(benchmark::State& state) {
  const int places = static_cast<int>(state.range(0));
  std::mt19937 random(3);
  dimension::Mesh mesh;
  mesh.places = places;
  mesh.widths = {1, 4};
  mesh.loads.assign(static_cast<std::size_t>(places * places) * 2, 0.0);
  for (int a = 0; a < places; ++a) {
    for (int b = 0; b < places; ++b) {
      if (a < b) mesh.groups.push_back({a, b, 24, a % 3 == b % 3 ? 1.0 : 2.0});
      if (a == b) continue;
      const double load = 1 + 9 * std::generate_canonical<double, 30>(random);
      mesh.loads[mesh.loadIndex(a, b, 0)] = 0.8 * load;
      mesh.loads[mesh.loadIndex(a, b, 1)] = 0.05 * load;
    }
  }
  dimension::DimensioningTarget target;
  target.loss = {0.01, 0.02};
  for (auto _ : state) {
    const dimension::Advice advice = dimension::advise(mesh, target);
    const auto separateSizes = dimension::sizeGroupsSeparately(mesh, target);
    double separatePrice = 0;
    for (std::size_t g = 0; g < separateSizes.size(); ++g) separatePrice += separateSizes[g] * mesh.groups[g].price;
    state.counters["price"] = advice.price / separatePrice;
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
