#include "dimension/theory.hpp"

#include <algorithm>
#include <boost/math/special_functions/gamma.hpp>
#include <cmath>
#include <numeric>
#include <stdexcept>

namespace thistlefold::dimension {
namespace {

// Bisections halve what is left; so many leave less than a double can tell.
constexpr int kHalvings = 80;

/// One over Erlang's loss for a fraction of a circuit: e^A A^-f Gamma(1+f, A).
double inverseOfFraction(double load, double fraction) {
  if (fraction == 0) return 1;
  // Beyond this e^A nears the end of doubles, and three terms of the expansion are exact to 1e-9.
  if (load > 500) {
    double term = 1, sum = 1;
    for (int i = 0; i < 6; ++i) {
      term *= (fraction - i) / load;
      sum += term;
    }
    return sum;
  }
  return std::exp(load - fraction * std::log(load)) * boost::math::tgamma(1 + fraction, load);
}

/// Shares of time by circuits busy, from the sums' relation; any scale.
std::vector<double> scaled(std::vector<double> q) {
  const double all = std::accumulate(q.begin(), q.end(), 0.0);
  for (double& one : q) one /= all;
  return q;
}

/// Keeps a recursion that grows away from the end of doubles.
void rescale(std::vector<double>& q, std::size_t upTo) {
  if (q[upTo] < 1e200) return;
  for (std::size_t i = 0; i <= upTo; ++i) q[i] *= 1e-200;
}

}  // namespace

double erlangB(double load, double circuits) {
  if (circuits < 0) throw std::invalid_argument("circuits below none");
  if (load <= 0) return circuits > 0 ? 0 : 1;
  const double whole = std::floor(circuits), fraction = circuits - whole;
  double inverse = inverseOfFraction(load, fraction);
  for (double n = 1; n <= whole; ++n) {
    inverse = 1 + (n + fraction) / load * inverse;
    // Nothing that could be told from none is lost.
    if (inverse > 1e300) return 0;
  }
  return 1 / inverse;
}

double circuitsFor(double load, double loss) {
  if (load <= 0) return 0;
  double low = 0, high = load + 10;
  while (erlangB(load, high) > loss) high *= 2;
  for (int i = 0; i < kHalvings; ++i) {
    const double middle = (low + high) / 2;
    (erlangB(load, middle) > loss ? low : high) = middle;
  }
  return high;
}

double loadFor(double circuits, double loss) {
  if (circuits <= 0) return 0;
  double low = 0, high = circuits + 1;
  while (erlangB(high, circuits) < loss) high *= 2;
  for (int i = 0; i < kHalvings; ++i) {
    const double middle = (low + high) / 2;
    (erlangB(middle, circuits) < loss ? low : high) = middle;
  }
  return low;
}

Engset engset(int sources, double idleLoad, int circuits) {
  // Share of time in which n of n are busy, for S sources: E(n) = (S-n+1) b E(n-1) / (n + (S-n+1) b E(n-1)).
  const auto time = [&](int of) {
    if (circuits >= of) return circuits > of ? 0.0 : std::pow(idleLoad / (1 + idleLoad), of);
    double busy = 1;
    for (int n = 1; n <= circuits; ++n) {
      const double up = (of - n + 1) * idleLoad * busy;
      busy = up / (n + up);
    }
    return busy;
  };
  if (sources <= 0) return {};
  return {time(sources), circuits >= sources ? 0 : time(sources - 1)};
}

std::vector<double> losses(const std::vector<Stream>& streams, int circuits) {
  std::vector<double> q(static_cast<std::size_t>(circuits) + 1, 0.0);
  q[0] = 1;
  for (int j = 1; j <= circuits; ++j) {
    double sum = 0;
    for (const Stream& one : streams) {
      // It may come in from j - width only if that leaves its reserve.
      if (j - one.width >= 0 && j <= circuits - one.reserve) {
        sum += one.load * one.width * q[static_cast<std::size_t>(j - one.width)];
      }
    }
    q[static_cast<std::size_t>(j)] = sum / j;
    rescale(q, static_cast<std::size_t>(j));
  }
  q = scaled(std::move(q));
  std::vector<double> lost;
  for (const Stream& one : streams) {
    double share = 0;
    for (int j = std::max(0, circuits - one.reserve - one.width + 1); j <= circuits; ++j)
      share += q[static_cast<std::size_t>(j)];
    lost.push_back(std::min(1.0, share));
  }
  return lost;
}

Peaky overflow(double load, double circuits) {
  if (load <= 0) return {0, 0};
  const double mean = load * erlangB(load, circuits);
  return {mean, mean * (1 - mean + load / (circuits + 1 - load + mean))};
}

EquivalentRandom equivalentRandom(Peaky traffic) {
  const double z = traffic.peakedness();
  EquivalentRandom at{traffic.variance + 3 * z * (z - 1), 0};
  at.circuits = std::max(0.0, at.load * (traffic.mean + z) / (traffic.mean + z - 1) - traffic.mean - 1);
  // Rapp's start is good to a few percent; both conditions are then met by steps on both, halved while they overshoot.
  const auto off = [&](const EquivalentRandom& e) {
    const Peaky got = overflow(e.load, e.circuits);
    return std::pair(got.mean / traffic.mean - 1, got.variance / traffic.variance - 1);
  };
  for (int i = 0; i < 60; ++i) {
    const auto [m, v] = off(at);
    if (std::abs(m) + std::abs(v) < 1e-10) break;
    const double da = at.load * 1e-6, dn = std::max(at.circuits, 1.0) * 1e-6;
    const auto [ma, va] = off({at.load + da, at.circuits});
    const auto [mn, vn] = off({at.load, at.circuits + dn});
    const double a = (ma - m) / da, b = (mn - m) / dn, c = (va - v) / da, d = (vn - v) / dn;
    const double det = a * d - b * c;
    if (std::abs(det) < 1e-300) break;
    double stepLoad = -(d * m - b * v) / det, stepCircuits = -(a * v - c * m) / det;
    for (int half = 0; half < 30; ++half, stepLoad /= 2, stepCircuits /= 2) {
      const EquivalentRandom next{at.load + stepLoad, at.circuits + stepCircuits};
      if (next.load <= 0 || next.circuits < 0) continue;
      const auto [nm, nv] = off(next);
      if (std::abs(nm) + std::abs(nv) < std::abs(m) + std::abs(v)) {
        at = next;
        break;
      }
    }
  }
  return at;
}

double hayward(Peaky traffic, double circuits) {
  const double z = traffic.peakedness();
  return traffic.mean <= 0 ? 0 : erlangB(traffic.mean / z, circuits / z);
}

double wilkinson(Peaky traffic, double circuits) {
  if (traffic.mean <= 0) return 0;
  if (traffic.peakedness() <= 1.0001) return hayward(traffic, circuits);
  const EquivalentRandom random = equivalentRandom(traffic);
  return std::min(1.0, random.load * erlangB(random.load, random.circuits + circuits) / traffic.mean);
}

std::vector<double> losses(const std::vector<PeakyStream>& streams, int circuits) {
  const std::size_t states = static_cast<std::size_t>(circuits) + 1;
  std::vector<double> q(states, 0.0);
  q[0] = 1;
  // What a stream adds to j: the sum over i of (load / z) width ((z - 1) / z)^(i-1) q(j - i width), by a recursion of
  // its own. Kept by stream and state, to find what each carries.
  std::vector<std::vector<double>> adds(streams.size(), std::vector<double>(states, 0.0));
  for (int j = 1; j <= circuits; ++j) {
    const auto at = static_cast<std::size_t>(j);
    double sum = 0;
    for (std::size_t k = 0; k < streams.size(); ++k) {
      const PeakyStream& one = streams[k];
      if (j < one.width || one.load <= 0) continue;
      const auto before = static_cast<std::size_t>(j - one.width);
      const double z = one.peakedness;
      adds[k][at] = one.load / z * q[before] + (z - 1) / z * adds[k][before];
      sum += one.width * adds[k][at];
    }
    q[at] = sum / j;
    if (q[at] > 1e200) {
      for (auto& add : adds) {
        for (std::size_t i = 0; i <= at; ++i) add[i] *= 1e-200;
      }
      rescale(q, at);
    }
  }
  const double all = std::accumulate(q.begin(), q.end(), 0.0);
  std::vector<double> lost;
  for (std::size_t k = 0; k < streams.size(); ++k) {
    // adds[k][j] is, in scale, the mean of the stream's sessions while j circuits are busy, times the share of that.
    const double carried = std::accumulate(adds[k].begin(), adds[k].end(), 0.0) / all;
    lost.push_back(streams[k].load <= 0 ? 0 : std::clamp(1 - carried / streams[k].load, 0.0, 1.0));
  }
  return lost;
}

}  // namespace thistlefold::dimension
