// The loss formulas against exact solutions of their Markov chains, and against published values.

#include "dimension/theory.hpp"

#include <doctest/doctest.h>

#include <cmath>
#include <functional>
#include <map>
#include <vector>

using namespace thistlefold::dimension;
using doctest::Approx;

namespace {

/// The Erlang B formula by its definition, computed with logarithms.
double erlangBByDefinition(double load, int circuits) {
  double sum = 0;
  for (int i = 0; i <= circuits; ++i)
    sum += std::exp(i * std::log(load) - std::lgamma(i + 1) - (circuits * std::log(load) - std::lgamma(circuits + 1)));
  return 1 / sum;
}

/// Two kinds of sessions on one group, as a Markov chain of states (n1, n2): the shares of time, by iteration.
/// `admits(kind, n1, n2)` decides whether a session is admitted; `rate(kind, n)` is the arrival rate; each session ends
/// at rate 1.
std::map<std::pair<int, int>, double> stationaryDistribution(int max1, int max2,
                                                             const std::function<bool(int, int, int)>& admits,
                                                             const std::function<double(int, int)>& rate) {
  struct State {
    int a, b;
  };
  std::map<std::pair<int, int>, double> probabilities;
  for (int a = 0; a <= max1; ++a) {
    for (int b = 0; b <= max2; ++b) probabilities[{a, b}] = 0;
  }
  probabilities[{0, 0}] = 1;
  double totalRate = max1 + max2 + rate(0, max1) + rate(1, max2) + rate(0, 0) + rate(1, 0);
  // Uniformized, so that each step combines staying in a state and moving to its neighbours.
  for (int step = 0; step < 20000; ++step) {
    auto next = probabilities;
    double change = 0;
    for (auto& [state, share] : probabilities) {
      if (share == 0) continue;
      const auto [a, b] = state;
      const auto moveTo = [&, &state = state, &share = share](std::pair<int, int> to, double transitionRate) {
        next[to] += share * transitionRate / totalRate;
        next[state] -= share * transitionRate / totalRate;
      };
      if (admits(0, a, b)) moveTo({a + 1, b}, rate(0, a));
      if (admits(1, a, b)) moveTo({a, b + 1}, rate(1, b));
      if (a > 0) moveTo({a - 1, b}, a);
      if (b > 0) moveTo({a, b - 1}, b);
    }
    for (auto& [state, share] : next) change += std::abs(share - probabilities[state]);
    probabilities = std::move(next);
    if (change < 1e-13) break;
  }
  return probabilities;
}

}  // namespace

TEST_CASE("Erlang B: by definition, published values, ten thousand circuits, and fractional circuits") {
  for (const double load : {0.01, 0.5, 3.0, 10.0, 80.0, 400.0}) {
    for (const int circuits : {0, 1, 2, 7, 30, 120, 450})
      CHECK(erlangB(load, circuits) == Approx(erlangBByDefinition(load, circuits)).epsilon(1e-9));
  }
  // Published tables: a loss of 1% on 10, 24 and 100 circuits is reached at 4.46, 15.3 and 84.1 erlangs.
  CHECK(loadFor(10, 0.01) == Approx(4.461).epsilon(0.0005));
  CHECK(loadFor(24, 0.01) == Approx(15.295).epsilon(0.0005));
  CHECK(loadFor(100, 0.01) == Approx(84.064).epsilon(0.0005));
  CHECK(erlangB(10, 10) == Approx(0.214582).epsilon(1e-5));
  const double large = erlangB(10000, 10000);
  CHECK(large == Approx(std::sqrt(2 / (3.14159265 * 10000))).epsilon(0.02));
  CHECK(erlangB(9000, 10000) < 1e-20);
  CHECK(erlangB(20000, 10000) == Approx(0.5).epsilon(0.001));
  // The loss decreases strictly, without a step at whole circuits or at the switch to the expansion for large loads.
  for (const double load : {0.2, 5.0, 499.0, 501.0}) {
    double before = 1.0000001;
    for (double circuits = 0; circuits < 12; circuits += 0.05) {
      const double loss = erlangB(load, circuits);
      CHECK(loss < before);
      before = loss;
    }
  }
  CHECK(erlangB(499.999, 5.5) == Approx(erlangB(500.001, 5.5)).epsilon(1e-6));
  CHECK(erlangB(0, 5) == 0);
  CHECK(erlangB(0, 0) == 1);
}

TEST_CASE("inverses of Erlang B meet the loss, also for tiny loads and many circuits") {
  for (const double load : {0.001, 0.7, 12.0, 350.0, 9000.0}) {
    for (const double loss : {0.5, 0.01, 0.0001}) {
      const double circuits = circuitsFor(load, loss);
      CHECK(erlangB(load, circuits) == Approx(loss).epsilon(1e-6));
      CHECK(loadFor(circuits, loss) == Approx(load).epsilon(1e-6));
    }
  }
}

TEST_CASE("Engset: against the solved chain, and close to Erlang B with many sources") {
  for (const int sources : {3, 10, 40}) {
    for (const int circuits : {1, 2, 8, 40}) {
      for (const double idleLoad : {0.05, 0.4, 2.0}) {
        std::vector<double> probabilities{1};
        for (int n = 1; n <= std::min(sources, circuits); ++n)
          probabilities.push_back(probabilities.back() * (sources - n + 1) * idleLoad / n);
        double all = 0, offered = 0;
        for (std::size_t n = 0; n < probabilities.size(); ++n) {
          all += probabilities[n];
          offered += probabilities[n] * (sources - static_cast<double>(n));
        }
        const bool bounds = circuits <= sources;
        const double time = bounds ? probabilities.back() / all : 0;
        const double call = bounds && offered > 0 ? probabilities.back() * (sources - circuits) / offered : 0;
        const Engset result = engset(sources, idleLoad, circuits);
        CHECK(result.timeCongestion == Approx(time).epsilon(1e-9));
        CHECK(result.callCongestion == Approx(call).epsilon(1e-9));
      }
    }
  }
  CHECK(engset(100000, 8.0 / 100000, 10).callCongestion == Approx(erlangB(8, 10)).epsilon(0.001));
}

TEST_CASE("widths 1 and 4 on twenty circuits: exact without reserves, close to the chain with them") {
  const auto exactLosses = [](double a1, double a4, int circuits, int reserve1) {
    const auto probabilities = stationaryDistribution(
        circuits, circuits / 4,
        [&](int kind, int a, int b) {
          const int used = a + 4 * b + (kind == 0 ? 1 : 4);
          return used <= circuits - (kind == 0 ? reserve1 : 0);
        },
        [&](int kind, int) { return kind == 0 ? a1 : a4; });
    std::vector<double> lost(2, 0.0);
    for (const auto& [state, share] : probabilities) {
      const int used = state.first + 4 * state.second;
      if (used > circuits) continue;
      if (used + 1 > circuits - reserve1) lost[0] += share;
      if (used + 4 > circuits) lost[1] += share;
    }
    return lost;
  };
  for (const auto& [a1, a4] : {std::pair(8.0, 1.5), std::pair(12.0, 0.5), std::pair(3.0, 4.0)}) {
    const auto exact = exactLosses(a1, a4, 20, 0);
    const auto result = streamLosses(std::vector<PoissonStream>{{a1, 1, 0}, {a4, 4, 0}}, 20);
    CHECK(result[0] == Approx(exact[0]).epsilon(1e-6));
    CHECK(result[1] == Approx(exact[1]).epsilon(1e-6));
    // With a reserve that refuses both in the same states, both have the same loss.
    const auto equalized = streamLosses(std::vector<PoissonStream>{{a1, 1, 3}, {a4, 4, 0}}, 20);
    const auto equalizedExact = exactLosses(a1, a4, 20, 3);
    CHECK(equalized[0] == Approx(equalized[1]).epsilon(1e-9));
    CHECK(equalizedExact[0] == Approx(equalizedExact[1]).epsilon(1e-6));
    // Roberts' approximation is not exact: within 10% here.
    CHECK(equalized[1] == Approx(equalizedExact[1]).epsilon(0.1));
  }
  // A single width gives the Erlang B formula.
  CHECK(streamLosses(std::vector<PoissonStream>{{80, 1, 0}}, 90)[0] == Approx(erlangB(80, 90)).epsilon(1e-9));
  CHECK(streamLosses(std::vector<PoissonStream>{{9000, 1, 0}}, 9100)[0] == Approx(erlangB(9000, 9100)).epsilon(1e-6));
  CHECK(streamLosses(std::vector<PoissonStream>{{0, 1, 0}}, 0)[0] == 1);
}

TEST_CASE("overflow: mean and variance against the chain of a group and its overflow") {
  // A first group of 6 circuits, then more circuits than the overflow ever uses.
  const double load = 7;
  const auto probabilities = stationaryDistribution(
      6, 40, [](int kind, int a, int b) { return kind == 0 ? a < 6 : a == 6 && b < 40; },
      [&](int, int) { return load; });
  double mean = 0, square = 0;
  for (const auto& [state, share] : probabilities) {
    mean += share * state.second;
    square += share * state.second * state.second;
  }
  const PeakyTraffic result = overflow(load, 6);
  CHECK(result.mean == Approx(mean).epsilon(1e-4));
  CHECK(result.variance == Approx(square - mean * mean).epsilon(1e-3));
  CHECK(result.peakedness() > 1.3);
}

TEST_CASE("peaky traffic: Wilkinson is exact for an overflow and Hayward close to it, up to a peakedness of four") {
  for (const auto& [load, first] : {std::pair(30.0, 25.0), std::pair(80.0, 75.0), std::pair(300.0, 260.0)}) {
    const PeakyTraffic peaky = overflow(load, first);
    for (const double more : {5.0, 15.0, 30.0}) {
      const double exact = load * erlangB(load, first + more) / peaky.mean;
      CHECK(wilkinson(peaky, more) == Approx(exact).epsilon(1e-4));
      if (exact > 0.01) CHECK(hayward(peaky, more) == Approx(exact).epsilon(0.15));
    }
    const EquivalentRandom recovered = equivalentRandom(peaky);
    CHECK(recovered.load == Approx(load).epsilon(1e-4));
    CHECK(recovered.circuits == Approx(first).epsilon(1e-4));
  }
  const PeakyTraffic flood{20, 80};
  CHECK(flood.peakedness() == 4);
  const EquivalentRandom random = equivalentRandom(flood);
  CHECK(overflow(random.load, random.circuits).mean == Approx(20).epsilon(1e-6));
  CHECK(overflow(random.load, random.circuits).variance == Approx(80).epsilon(1e-6));
  // Peaky traffic loses several times as much as Erlang B gives for its mean.
  CHECK(wilkinson(flood, 30) > 5 * erlangB(20, 30));
  CHECK(wilkinson({5, 5}, 8) == Approx(erlangB(5, 8)).epsilon(1e-9));
}

TEST_CASE("peaky traffic of several widths: against the chain of negative binomial streams") {
  // A stream of load a and peakedness z has the arrival rate a/z + n (z-1)/z while n of its sessions are active.
  const auto arrivalRate = [](double a, double z, int n) { return a / z + n * (z - 1) / z; };
  for (const auto& [z1, z4] : {std::pair(1.0, 1.0), std::pair(2.0, 1.0), std::pair(4.0, 1.5)}) {
    const double a1 = 8, a4 = 1;
    const auto probabilities = stationaryDistribution(
        20, 5, [](int kind, int a, int b) { return a + 4 * b + (kind == 0 ? 1 : 4) <= 20; },
        [&, z1 = z1, z4 = z4](int kind, int n) { return kind == 0 ? arrivalRate(a1, z1, n) : arrivalRate(a4, z4, n); });
    double offered1 = 0, lost1 = 0, offered4 = 0, lost4 = 0, carried1 = 0, carried4 = 0;
    for (const auto& [state, share] : probabilities) {
      const int used = state.first + 4 * state.second;
      if (used > 20) continue;
      const double r1 = share * arrivalRate(a1, z1, state.first), r4 = share * arrivalRate(a4, z4, state.second);
      offered1 += r1;
      offered4 += r4;
      if (used + 1 > 20) lost1 += r1;
      if (used + 4 > 20) lost4 += r4;
      carried1 += share * state.first;
      carried4 += share * state.second;
    }
    const auto result = streamLosses(std::vector<PeakyStream>{{a1, 1, z1}, {a4, 4, z4}}, 20);
    CHECK(result[0] == Approx(1 - carried1 / a1).epsilon(1e-4));
    CHECK(result[1] == Approx(1 - carried4 / a4).epsilon(1e-4));
    CHECK(offered1 > lost1);
    CHECK(offered4 > lost4);
  }
  CHECK(streamLosses(std::vector<PeakyStream>{{80, 1, 1}}, 90)[0] == Approx(erlangB(80, 90)).epsilon(1e-9));
  CHECK(streamLosses(std::vector<PeakyStream>{{0, 1, 1}}, 10)[0] == 0);
}
