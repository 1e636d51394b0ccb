#pragma once

// The loss of sessions on a group of circuits. Pure functions; loads are in erlangs unless noted, losses are shares
// from 0 to 1. Each function names its source; docs/dimensioning.md explains which one applies when.

#include <vector>

namespace thistlefold::dimension {

/// The Erlang B formula for `load` on `circuits`, which need not be an integer: the share of time in which all circuits
/// are busy, and the share of Poisson traffic that is lost. Computed by the recursion over circuits, which damps
/// errors, starting from the fractional part of `circuits`, for which the integral of Jagerman (BSTJ 53, 1974) is an
/// incomplete gamma function. Throws std::invalid_argument if `circuits` is negative.
double erlangB(double load, double circuits);

/// The smallest number of circuits, not rounded to an integer, on which `load` loses at most `loss`; 0 < loss < 1.
double circuitsFor(double load, double loss);
/// The largest load that loses at most `loss` on `circuits`; 0 < loss < 1.
double loadFor(double circuits, double loss);

/// Result of the Engset formula.
struct Engset {
  double timeCongestion = 0;  // share of time in which all circuits are busy
  double callCongestion = 0;  // share of sessions lost: the time congestion with one source fewer
};
/// The Engset formula for `sources` that each offer `idleLoad` while idle, on `circuits` (Engset 1918; ITU-D
/// Teletraffic Engineering Handbook, section 5.4).
Engset engset(int sources, double idleLoad, int circuits);

/// Poisson sessions of one kind on a group, each using `width` circuits. A session is refused if it would leave fewer
/// than `reserve` circuits free.
struct PoissonStream {
  double load = 0;  // mean number of sessions if none were refused: arrival rate times mean hold time
  int width = 1;
  int reserve = 0;
};
/// The share of each stream that is lost on `circuits`, by the Kaufman-Roberts recursion. Exact without reserves
/// (Kaufman 1981, Roberts 1981); with reserves it is Roberts' approximation (1983), which counts a stream's circuits
/// only in the states that admit the stream.
std::vector<double> streamLosses(const std::vector<PoissonStream>& streams, int circuits);

/// Traffic described by the mean and variance of the number of its sessions on an unlimited group.
struct PeakyTraffic {
  double mean = 0;
  double variance = 0;
  /// Variance divided by mean; 1, as of Poisson traffic, if there is no traffic.
  double peakedness() const { return mean > 0 ? variance / mean : 1; }
};
/// The traffic that overflows from a group that is offered Poisson traffic (Riordan, in Wilkinson, BSTJ 35, 1956).
PeakyTraffic overflow(double load, double circuits);

/// The Poisson load and the group whose overflow has a given mean and variance.
struct EquivalentRandom {
  double load = 0;
  double circuits = 0;
};
/// Finds them by Rapp's approximation (Ericsson Technics 20, 1964), improved by Newton steps on both values. For
/// peakedness above 1.
EquivalentRandom equivalentRandom(PeakyTraffic traffic);

/// The share of peaky traffic that is lost on `circuits`, by Wilkinson's equivalent random method; for a peakedness of
/// 1 or less, by hayward().
double wilkinson(PeakyTraffic traffic, double circuits);
/// The same by Hayward's approximation: load and circuits are both divided by the peakedness (Fredericks, BSTJ 59,
/// 1980).
double hayward(PeakyTraffic traffic, double circuits);

/// Sessions of one kind, each using `width` circuits, whose number has the given peakedness on an unlimited group.
struct PeakyStream {
  double load = 0;
  int width = 1;
  double peakedness = 1;  // 1: Poisson
};
/// The share of each stream that is lost, for peaky traffic of several widths (Delbrouck, IEEE Trans. Comm. 31, 1983).
/// Exact for negative binomial streams; the call congestion follows from the streams' carried loads.
std::vector<double> streamLosses(const std::vector<PeakyStream>& streams, int circuits);

}  // namespace thistlefold::dimension
