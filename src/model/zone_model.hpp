#pragma once

// Simulation of the offices of one zone that share one budget: the offices' decision cores (zones::LeasedBudget),
// randomly generated sessions, and a network that loses, duplicates and delays messages. It has no sockets and no
// controller and runs in one thread. Used for measurements, and for tests of the budget's bound at sizes that tests
// with sockets cannot reach.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "zones/lease.hpp"

namespace thistlefold::model {

/// How a zone's budget is divided. `randomAdmission` is a baseline for comparison: each office reports to its peers
/// how many circuits it holds, and admits a session with the probability that keeps the budget if all others do the
/// same.
enum class DivisionScheme { equal, lending, randomAdmission };

/// A fault at one time of a scenario.
struct ZoneFault {
  /// `kill`: the offices' processes end and start again after `duration`. `freeze`: the offices do not run for
  /// `duration`. `partition`: the offices exchange no messages with the others for `duration`. `budget`: the budget
  /// becomes `circuits`, and the offices learn of it one after another within `duration`.
  enum class Kind { kill, freeze, partition, budget };
  Kind kind;
  Span at, duration;         // `at`: since the start of the scenario
  std::vector<int> offices;  // that the fault affects; not used by `budget`
  int circuits = 0;          // used by `budget` only
};

/// The parameters of a simulation. The same scenario always gives the same result.
struct ZoneScenario {
  int offices = 6;
  int circuits = 48;  // of the budget
  DivisionScheme scheme = DivisionScheme::lending;
  zones::OverrunPolicy overrun = zones::OverrunPolicy::keep;
  std::vector<zones::ServiceProfile> services{{1, 1, Span::ms(10000)}, {4, 0.5, Span::ms(10000)}};
  std::vector<double> shares{0.9, 0.1};    // of the sessions, by service
  std::vector<zones::ClassShare> classes;  // of the budget, by service
  double load = 0.8;                       // offered circuits divided by those of the budget
  double loadSpread = 1;                   // standard deviation of the logarithm of an office's share of the load
  Span redrawInterval = Span::ms(60000);   // between random changes of the offices' shares of the load; none: no change
  Span duration = Span::ms(300000);
  double loss = 0, duplication = 0, lateness = 0;  // probabilities for a message
  // Transit time of messages on average, and additional time of a late one at most.
  Span delay = Span::ms(4), maxExtraDelay = Span::ms(2000);
  double clockDrift = 0;  // clock rates deviate by up to this share; clocks start at random times
  std::uint64_t seed = 1;
  std::vector<ZoneFault> faults;
  zones::LeaseTiming leaseTiming;
};

/// What a simulation has measured, over all offices unless noted.
struct ZoneResult {
  std::uint64_t offered = 0, refused = 0, ended = 0;  // sessions; `ended` by the budget's overrun policy
  std::vector<std::uint64_t> offeredBy, refusedBy;    // sessions, by service
  int maxInUse = 0;                                   // circuits in use at once
  int maxOverBudget = 0;         // circuits above the budget at once, without those in use when it was lowered
  double overBudgetShare = 0;    // share of the time with circuits above the budget
  double meanIdleShare = 0;      // free circuits at a refusal divided by the budget, mean over all refusals
  Span longestIdle;              // longest time in which an office only refused although enough circuits were free
  int maxLent = 0;               // circuits lent at once
  std::uint64_t messages = 0;    // between offices
  double messagesPerSecond = 0;  // of one office
};

/// Runs a scenario to its end.
ZoneResult simulate(const ZoneScenario& scenario);

}  // namespace thistlefold::model
