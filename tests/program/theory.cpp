// The loss formulas against exact solutions of the Markov chains they stand for, and published values.

#include "dimension/theory.hpp"

#include <doctest/doctest.h>

#include <cmath>
#include <functional>
#include <map>
#include <vector>

using namespace thistlefold::dimension;
using doctest::Approx;

namespace {

/// Erlang's formula as it is written, in logarithms.
double plainErlang(double load, int circuits) {
  double sum = 0;
  for (int i = 0; i <= circuits; ++i)
    sum += std::exp(i * std::log(load) - std::lgamma(i + 1) - (circuits * std::log(load) - std::lgamma(circuits + 1)));
  return 1 / sum;
}

/// Two kinds of sessions on one group, as a chain of states (n1, n2): shares of time, by iteration. `lets(kind, n1,
/// n2)` says whether a session may come in; `rate(kind, n)` how often one comes; each ends at rate one.
std::map<std::pair<int, int>, double> chain(int most1, int most2, const std::function<bool(int, int, int)>& lets,
                                            const std::function<double(int, int)>& rate) {
  struct State {
    int a, b;
  };
  std::map<std::pair<int, int>, double> p;
  for (int a = 0; a <= most1; ++a) {
    for (int b = 0; b <= most2; ++b) p[{a, b}] = 0;
  }
  p[{0, 0}] = 1;
  double fastest = most1 + most2 + rate(0, most1) + rate(1, most2) + rate(0, 0) + rate(1, 0);
  // Uniformised, so that each step is a mix of where one is and where one goes.
  for (int step = 0; step < 20000; ++step) {
    auto next = p;
    double moved = 0;
    for (auto& [state, share] : p) {
      if (share == 0) continue;
      const auto [a, b] = state;
      const auto go = [&](std::pair<int, int> to, double how) {
        next[to] += share * how / fastest;
        next[state] -= share * how / fastest;
      };
      if (lets(0, a, b)) go({a + 1, b}, rate(0, a));
      if (lets(1, a, b)) go({a, b + 1}, rate(1, b));
      if (a > 0) go({a - 1, b}, a);
      if (b > 0) go({a, b - 1}, b);
    }
    for (auto& [state, share] : next) moved += std::abs(share - p[state]);
    p = std::move(next);
    if (moved < 1e-13) break;
  }
  return p;
}

}  // namespace

TEST_CASE("Erlang B: as written, published values, ten thousand circuits, and between whole circuits") {
  for (const double load : {0.01, 0.5, 3.0, 10.0, 80.0, 400.0}) {
    for (const int circuits : {0, 1, 2, 7, 30, 120, 450})
      CHECK(erlangB(load, circuits) == Approx(plainErlang(load, circuits)).epsilon(1e-9));
  }
  // Tables: 1% of loss on 10, 24 and 100 circuits is reached at 4.46, 15.3 and 84.1 erlangs.
  CHECK(loadFor(10, 0.01) == Approx(4.461).epsilon(0.0005));
  CHECK(loadFor(24, 0.01) == Approx(15.295).epsilon(0.0005));
  CHECK(loadFor(100, 0.01) == Approx(84.064).epsilon(0.0005));
  CHECK(erlangB(10, 10) == Approx(0.214582).epsilon(1e-5));
  const double large = erlangB(10000, 10000);
  CHECK(large == Approx(std::sqrt(2 / (3.14159265 * 10000))).epsilon(0.02));
  CHECK(erlangB(9000, 10000) < 1e-20);
  CHECK(erlangB(20000, 10000) == Approx(0.5).epsilon(0.001));
  // It falls all the way, with no step at whole circuits and across the expansion for large loads.
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

TEST_CASE("inverses of Erlang B meet the loss from below, also for tiny loads and many circuits") {
  for (const double load : {0.001, 0.7, 12.0, 350.0, 9000.0}) {
    for (const double loss : {0.5, 0.01, 0.0001}) {
      const double circuits = circuitsFor(load, loss);
      CHECK(erlangB(load, circuits) == Approx(loss).epsilon(1e-6));
      CHECK(loadFor(circuits, loss) == Approx(load).epsilon(1e-6));
    }
  }
}

TEST_CASE("Engset: against the chain as written, and towards Erlang with many sources") {
  for (const int sources : {3, 10, 40}) {
    for (const int circuits : {1, 2, 8, 40}) {
      for (const double idle : {0.05, 0.4, 2.0}) {
        std::vector<double> p{1};
        for (int n = 1; n <= std::min(sources, circuits); ++n) p.push_back(p.back() * (sources - n + 1) * idle / n);
        double all = 0, offered = 0;
        for (std::size_t n = 0; n < p.size(); ++n) {
          all += p[n];
          offered += p[n] * (sources - static_cast<double>(n));
        }
        const bool bounds = circuits <= sources;
        const double time = bounds ? p.back() / all : 0;
        const double call = bounds && offered > 0 ? p.back() * (sources - circuits) / offered : 0;
        const Engset got = engset(sources, idle, circuits);
        CHECK(got.time == Approx(time).epsilon(1e-9));
        CHECK(got.call == Approx(call).epsilon(1e-9));
      }
    }
  }
  CHECK(engset(100000, 8.0 / 100000, 10).call == Approx(erlangB(8, 10)).epsilon(0.001));
}

TEST_CASE("widths 1 and 4 on twenty circuits: exact without reserves, near the chain with them") {
  const auto solve = [](double a1, double a4, int circuits, int reserve1) {
    const auto p = chain(
        circuits, circuits / 4,
        [&](int kind, int a, int b) {
          const int used = a + 4 * b + (kind == 0 ? 1 : 4);
          return used <= circuits - (kind == 0 ? reserve1 : 0);
        },
        [&](int kind, int) { return kind == 0 ? a1 : a4; });
    std::vector<double> lost(2, 0.0);
    for (const auto& [state, share] : p) {
      const int used = state.first + 4 * state.second;
      if (used > circuits) continue;
      if (used + 1 > circuits - reserve1) lost[0] += share;
      if (used + 4 > circuits) lost[1] += share;
    }
    return lost;
  };
  for (const auto& [a1, a4] : {std::pair(8.0, 1.5), std::pair(12.0, 0.5), std::pair(3.0, 4.0)}) {
    const auto exact = solve(a1, a4, 20, 0);
    const auto got = losses(std::vector<Stream>{{a1, 1, 0}, {a4, 4, 0}}, 20);
    CHECK(got[0] == Approx(exact[0]).epsilon(1e-6));
    CHECK(got[1] == Approx(exact[1]).epsilon(1e-6));
    // Reserved so that both are refused in the same states: the same loss for both.
    const auto even = losses(std::vector<Stream>{{a1, 1, 3}, {a4, 4, 0}}, 20);
    const auto evenExact = solve(a1, a4, 20, 3);
    CHECK(even[0] == Approx(even[1]).epsilon(1e-9));
    CHECK(evenExact[0] == Approx(evenExact[1]).epsilon(1e-6));
    // Roberts' approximation is no exact one: within a tenth here.
    CHECK(even[1] == Approx(evenExact[1]).epsilon(0.1));
  }
  // One width alone is Erlang's.
  CHECK(losses(std::vector<Stream>{{80, 1, 0}}, 90)[0] == Approx(erlangB(80, 90)).epsilon(1e-9));
  CHECK(losses(std::vector<Stream>{{9000, 1, 0}}, 9100)[0] == Approx(erlangB(9000, 9100)).epsilon(1e-6));
  CHECK(losses(std::vector<Stream>{{0, 1, 0}}, 0)[0] == 1);
}

TEST_CASE("overflow: mean and variance against the chain of a group and all that overflows from it") {
  // First group of 6, then as many as the overflow could ever want.
  const double load = 7;
  const auto p = chain(
      6, 40, [](int kind, int a, int b) { return kind == 0 ? a < 6 : a == 6 && b < 40; },
      [&](int, int) { return load; });
  double mean = 0, square = 0;
  for (const auto& [state, share] : p) {
    mean += share * state.second;
    square += share * state.second * state.second;
  }
  const Peaky got = overflow(load, 6);
  CHECK(got.mean == Approx(mean).epsilon(1e-4));
  CHECK(got.variance == Approx(square - mean * mean).epsilon(1e-3));
  CHECK(got.peakedness() > 1.3);
}

TEST_CASE("peaky traffic: Wilkinson is exact for an overflow, Hayward near it, at peakedness up to four") {
  for (const auto& [load, first] : {std::pair(30.0, 25.0), std::pair(80.0, 75.0), std::pair(300.0, 260.0)}) {
    const Peaky peaky = overflow(load, first);
    for (const double more : {5.0, 15.0, 30.0}) {
      const double exact = load * erlangB(load, first + more) / peaky.mean;
      CHECK(wilkinson(peaky, more) == Approx(exact).epsilon(1e-4));
      if (exact > 0.01) CHECK(hayward(peaky, more) == Approx(exact).epsilon(0.15));
    }
    const EquivalentRandom back = equivalentRandom(peaky);
    CHECK(back.load == Approx(load).epsilon(1e-4));
    CHECK(back.circuits == Approx(first).epsilon(1e-4));
  }
  const Peaky flood{20, 80};
  CHECK(flood.peakedness() == 4);
  const EquivalentRandom random = equivalentRandom(flood);
  CHECK(overflow(random.load, random.circuits).mean == Approx(20).epsilon(1e-6));
  CHECK(overflow(random.load, random.circuits).variance == Approx(80).epsilon(1e-6));
  // Peaky traffic loses several times what Erlang says.
  CHECK(wilkinson(flood, 30) > 5 * erlangB(20, 30));
  CHECK(wilkinson({5, 5}, 8) == Approx(erlangB(5, 8)).epsilon(1e-9));
}

TEST_CASE("peaky traffic of several widths: against the chain of negative binomial streams") {
  // A stream of load a and peakedness z comes at rate a/z + n (z-1)/z while n of it stand.
  const auto comes = [](double a, double z, int n) { return a / z + n * (z - 1) / z; };
  for (const auto& [z1, z4] : {std::pair(1.0, 1.0), std::pair(2.0, 1.0), std::pair(4.0, 1.5)}) {
    const double a1 = 8, a4 = 1;
    const auto p = chain(
        20, 5, [](int kind, int a, int b) { return a + 4 * b + (kind == 0 ? 1 : 4) <= 20; },
        [&, z1 = z1, z4 = z4](int kind, int n) { return kind == 0 ? comes(a1, z1, n) : comes(a4, z4, n); });
    double come1 = 0, lost1 = 0, come4 = 0, lost4 = 0, carried1 = 0, carried4 = 0;
    for (const auto& [state, share] : p) {
      const int used = state.first + 4 * state.second;
      if (used > 20) continue;
      const double r1 = share * comes(a1, z1, state.first), r4 = share * comes(a4, z4, state.second);
      come1 += r1;
      come4 += r4;
      if (used + 1 > 20) lost1 += r1;
      if (used + 4 > 20) lost4 += r4;
      carried1 += share * state.first;
      carried4 += share * state.second;
    }
    const auto got = losses(std::vector<PeakyStream>{{a1, 1, z1}, {a4, 4, z4}}, 20);
    CHECK(got[0] == Approx(1 - carried1 / a1).epsilon(1e-4));
    CHECK(got[1] == Approx(1 - carried4 / a4).epsilon(1e-4));
    CHECK(come1 > lost1);
    CHECK(come4 > lost4);
  }
  CHECK(losses(std::vector<PeakyStream>{{80, 1, 1}}, 90)[0] == Approx(erlangB(80, 90)).epsilon(1e-9));
  CHECK(losses(std::vector<PeakyStream>{{0, 1, 1}}, 10)[0] == 0);
}
