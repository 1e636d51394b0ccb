#include "dimension/theory.hpp"

#include <algorithm>
#include <boost/math/special_functions/gamma.hpp>
#include <cmath>
#include <numeric>
#include <stdexcept>

namespace thistlefold::dimension {
namespace {

// Number of bisection steps; the interval that is left is below the resolution of a double.
constexpr int kBisections = 80;

/// The reciprocal of Erlang's loss for a fraction f of a circuit: e^A A^-f Gamma(1+f, A).
double inverseOfFraction(double load, double fraction) {
  if (fraction == 0) return 1;
  // For larger loads e^A approaches the limit of a double, and the asymptotic expansion is exact to 1e-9 after three
  // terms.
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

/// Scales state weights so that they add up to 1.
std::vector<double> normalized(std::vector<double> weights) {
  const double all = std::accumulate(weights.begin(), weights.end(), 0.0);
  for (double& one : weights) one /= all;
  return weights;
}

/// Scales down the entries of a growing recursion before they exceed the range of a double.
void rescale(std::vector<double>& weights, std::size_t upTo) {
  if (weights[upTo] < 1e200) return;
  for (std::size_t i = 0; i <= upTo; ++i) weights[i] *= 1e-200;
}

}  // namespace

double erlangB(double load, double circuits) {
  if (circuits < 0) throw std::invalid_argument("the number of circuits must not be negative");
  if (load <= 0) return circuits > 0 ? 0 : 1;
  const double whole = std::floor(circuits), fraction = circuits - whole;
  double inverse = inverseOfFraction(load, fraction);
  for (double n = 1; n <= whole; ++n) {
    inverse = 1 + (n + fraction) / load * inverse;
    // The loss is too small to be distinguished from 0.
    if (inverse > 1e300) return 0;
  }
  return 1 / inverse;
}

double circuitsFor(double load, double loss) {
  if (load <= 0) return 0;
  double low = 0, high = load + 10;
  while (erlangB(load, high) > loss) high *= 2;
  for (int i = 0; i < kBisections; ++i) {
    const double middle = (low + high) / 2;
    (erlangB(load, middle) > loss ? low : high) = middle;
  }
  return high;
}

double loadFor(double circuits, double loss) {
  if (circuits <= 0) return 0;
  double low = 0, high = circuits + 1;
  while (erlangB(high, circuits) < loss) high *= 2;
  for (int i = 0; i < kBisections; ++i) {
    const double middle = (low + high) / 2;
    (erlangB(middle, circuits) < loss ? low : high) = middle;
  }
  return low;
}

Engset engset(int sources, double idleLoad, int circuits) {
  // Share of time in which all of n circuits are busy, for S sources: E(n) = (S-n+1) b E(n-1) / (n + (S-n+1) b E(n-1)).
  const auto timeCongestion = [&](int sourceCount) {
    if (circuits >= sourceCount) return circuits > sourceCount ? 0.0 : std::pow(idleLoad / (1 + idleLoad), sourceCount);
    double busy = 1;
    for (int n = 1; n <= circuits; ++n) {
      const double rateUp = (sourceCount - n + 1) * idleLoad * busy;
      busy = rateUp / (n + rateUp);
    }
    return busy;
  };
  if (sources <= 0) return {};
  return {timeCongestion(sources), circuits >= sources ? 0 : timeCongestion(sources - 1)};
}

std::vector<double> streamLosses(const std::vector<PoissonStream>& streams, int circuits) {
  std::vector<double> weights(static_cast<std::size_t>(circuits) + 1, 0.0);
  weights[0] = 1;
  for (int j = 1; j <= circuits; ++j) {
    double sum = 0;
    for (const PoissonStream& one : streams) {
      // A session is admitted in state j - width only if that leaves the stream's reserve free.
      if (j - one.width >= 0 && j <= circuits - one.reserve) {
        sum += one.load * one.width * weights[static_cast<std::size_t>(j - one.width)];
      }
    }
    weights[static_cast<std::size_t>(j)] = sum / j;
    rescale(weights, static_cast<std::size_t>(j));
  }
  weights = normalized(std::move(weights));
  std::vector<double> lost;
  for (const PoissonStream& one : streams) {
    double share = 0;
    for (int j = std::max(0, circuits - one.reserve - one.width + 1); j <= circuits; ++j)
      share += weights[static_cast<std::size_t>(j)];
    lost.push_back(std::min(1.0, share));
  }
  return lost;
}

PeakyTraffic overflow(double load, double circuits) {
  if (load <= 0) return {0, 0};
  const double mean = load * erlangB(load, circuits);
  return {mean, mean * (1 - mean + load / (circuits + 1 - load + mean))};
}

EquivalentRandom equivalentRandom(PeakyTraffic traffic) {
  const double z = traffic.peakedness();
  EquivalentRandom estimate{traffic.variance + 3 * z * (z - 1), 0};
  estimate.circuits = std::max(0.0, estimate.load * (traffic.mean + z) / (traffic.mean + z - 1) - traffic.mean - 1);
  // Rapp's approximation is accurate to a few percent. Newton steps on both values then meet both conditions; a step is
  // halved while it overshoots.
  const auto relativeErrors = [&](const EquivalentRandom& e) {
    const PeakyTraffic got = overflow(e.load, e.circuits);
    return std::pair(got.mean / traffic.mean - 1, got.variance / traffic.variance - 1);
  };
  for (int i = 0; i < 60; ++i) {
    const auto [m, v] = relativeErrors(estimate);
    if (std::abs(m) + std::abs(v) < 1e-10) break;
    const double da = estimate.load * 1e-6, dn = std::max(estimate.circuits, 1.0) * 1e-6;
    const auto [ma, va] = relativeErrors({estimate.load + da, estimate.circuits});
    const auto [mn, vn] = relativeErrors({estimate.load, estimate.circuits + dn});
    const double a = (ma - m) / da, b = (mn - m) / dn, c = (va - v) / da, d = (vn - v) / dn;
    const double det = a * d - b * c;
    if (std::abs(det) < 1e-300) break;
    double stepLoad = -(d * m - b * v) / det, stepCircuits = -(a * v - c * m) / det;
    for (int half = 0; half < 30; ++half, stepLoad /= 2, stepCircuits /= 2) {
      const EquivalentRandom next{estimate.load + stepLoad, estimate.circuits + stepCircuits};
      if (next.load <= 0 || next.circuits < 0) continue;
      const auto [nm, nv] = relativeErrors(next);
      if (std::abs(nm) + std::abs(nv) < std::abs(m) + std::abs(v)) {
        estimate = next;
        break;
      }
    }
  }
  return estimate;
}

double hayward(PeakyTraffic traffic, double circuits) {
  const double z = traffic.peakedness();
  return traffic.mean <= 0 ? 0 : erlangB(traffic.mean / z, circuits / z);
}

double wilkinson(PeakyTraffic traffic, double circuits) {
  if (traffic.mean <= 0) return 0;
  if (traffic.peakedness() <= 1.0001) return hayward(traffic, circuits);
  const EquivalentRandom random = equivalentRandom(traffic);
  return std::min(1.0, random.load * erlangB(random.load, random.circuits + circuits) / traffic.mean);
}

std::vector<double> streamLosses(const std::vector<PeakyStream>& streams, int circuits) {
  const std::size_t states = static_cast<std::size_t>(circuits) + 1;
  std::vector<double> weights(states, 0.0);
  weights[0] = 1;
  // The contribution of a stream to state j is the sum over i of (load / z) width ((z - 1) / z)^(i-1) weights(j - i
  // width). It has a recursion of its own and is kept by stream and state, to compute the load that each stream
  // carries.
  std::vector<std::vector<double>> contributions(streams.size(), std::vector<double>(states, 0.0));
  for (int j = 1; j <= circuits; ++j) {
    const auto at = static_cast<std::size_t>(j);
    double sum = 0;
    for (std::size_t k = 0; k < streams.size(); ++k) {
      const PeakyStream& one = streams[k];
      if (j < one.width || one.load <= 0) continue;
      const auto before = static_cast<std::size_t>(j - one.width);
      const double z = one.peakedness;
      contributions[k][at] = one.load / z * weights[before] + (z - 1) / z * contributions[k][before];
      sum += one.width * contributions[k][at];
    }
    weights[at] = sum / j;
    if (weights[at] > 1e200) {
      for (auto& contribution : contributions) {
        for (std::size_t i = 0; i <= at; ++i) contribution[i] *= 1e-200;
      }
      rescale(weights, at);
    }
  }
  const double all = std::accumulate(weights.begin(), weights.end(), 0.0);
  std::vector<double> lost;
  for (std::size_t k = 0; k < streams.size(); ++k) {
    // Up to the scale, contributions[k][j] is the stream's mean number of sessions while j circuits are busy,
    // multiplied by the share of time of that state.
    const double carried = std::accumulate(contributions[k].begin(), contributions[k].end(), 0.0) / all;
    lost.push_back(streams[k].load <= 0 ? 0 : std::clamp(1 - carried / streams[k].load, 0.0, 1.0));
  }
  return lost;
}

}  // namespace thistlefold::dimension
