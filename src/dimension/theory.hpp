#pragma once

// How many sessions a group of circuits loses. Pure functions; loads in erlangs unless said, losses as shares.
// Each says where it is from; docs/dimensioning.md says which holds when.

#include <vector>

namespace thistlefold::dimension {

/// Erlang's loss formula for `load` on `circuits`, which need not be whole: the share of time in which all are busy,
/// and of Poisson traffic that is lost. By the recursion in circuits, which damps errors, from the fractional part of
/// `circuits`, for which the integral of Jagerman (BSTJ 53, 1974) is an incomplete gamma function.
double erlangB(double load, double circuits);

/// The least circuits, not whole, on which `load` loses `loss` at most; 0 < loss < 1.
double circuitsFor(double load, double loss);
/// The most that `circuits` carry at that loss.
double loadFor(double circuits, double loss);

struct Engset {
  double time = 0;  // share of time in which all are busy
  double call = 0;  // share of sessions lost: what the others, one source fewer, see
};
/// `sources` that each offer `idleLoad` while idle, on `circuits` (Engset 1918; ITU-D Teletraffic Engineering Handbook,
/// section 5.4).
Engset engset(int sources, double idleLoad, int circuits);

/// Sessions of one kind on a group: Poisson, each taking `width` circuits; none of these is let in when that would
/// leave fewer than `reserve` free.
struct Stream {
  double load = 0;  // sessions at once, were there room: rate times hold
  int width = 1;
  int reserve = 0;
};
/// Share of each stream that is lost on `circuits`. Exact without reserves (Kaufman 1981, Roberts 1981); with them
/// Roberts' approximation (1983), which counts a stream's circuits only where it may come in.
std::vector<double> losses(const std::vector<Stream>& streams, int circuits);

/// Mean and variance of what overflows a group that is offered Poisson traffic (Riordan, in Wilkinson, BSTJ 35, 1956).
struct Peaky {
  double mean = 0;
  double variance = 0;
  double peakedness() const { return mean > 0 ? variance / mean : 1; }
};
Peaky overflow(double load, double circuits);

/// The Poisson load and group whose overflow has that mean and variance (Rapp's approximation, Ericsson Technics 20,
/// 1964, then Newton's steps on both). For peakedness above one.
struct EquivalentRandom {
  double load = 0;
  double circuits = 0;
};
EquivalentRandom equivalentRandom(Peaky traffic);

/// Share of peaky traffic that is lost on `circuits`: Wilkinson's equivalent random method; for peakedness of one or
/// less, Hayward's.
double wilkinson(Peaky traffic, double circuits);
/// Hayward's approximation: load and circuits both divided by the peakedness (Fredericks, BSTJ 59, 1980).
double hayward(Peaky traffic, double circuits);

/// Sessions of one kind whose counts at once have that peakedness.
struct PeakyStream {
  double load = 0;
  int width = 1;
  double peakedness = 1;  // 1: Poisson
};
/// Share of each stream lost, for peaky traffic of several widths (Delbrouck, IEEE Trans. Comm. 31, 1983): exact
/// for negative binomial streams; call congestion from the streams' carried loads.
std::vector<double> losses(const std::vector<PeakyStream>& streams, int circuits);

}  // namespace thistlefold::dimension
