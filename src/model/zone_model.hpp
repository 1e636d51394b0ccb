#pragma once

// The offices of one zone with one budget: their deciding cores, sessions drawn from a seed, and a network that loses,
// doubles and delays words between them. No sockets, no module; one thread. For measurements and for tests of the
// bound at sizes that sockets can't reach.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "zones/lease.hpp"

namespace thistlefold::model {

/// How a zone's budget is divided. `chance` is a baseline: each office hears from its mates what they hold, and lets
/// a session in by lot, with the chance that leaves room if all others did the same.
enum class Way { equal, lent, chance };

struct ZoneTrouble {
  enum class Kind { kill, freeze, part, budget };
  Kind kind;
  Span at, lasts;            // budget: `lasts` is over how long offices come to know of it, one after another
  std::vector<int> offices;  // part: cut off from all others
  int circuits = 0;          // budget
};

struct ZoneDay {
  int offices = 6;
  int circuits = 48;
  Way way = Way::lent;
  zones::OverrunPolicy overrun = zones::OverrunPolicy::keep;
  std::vector<zones::ServiceProfile> kinds{{1, 1, Span::ms(10000)}, {4, 0.5, Span::ms(10000)}};
  std::vector<double> shares{0.9, 0.1};    // of the sessions, by service
  std::vector<zones::ClassShare> classes;  // of the budget
  double load = 0.8;                       // offered circuits over the budget's
  double uneven = 1;                       // standard deviation of the logarithm of an office's share of the load
  Span moves = Span::ms(60000);            // shares are drawn anew so often
  Span length = Span::ms(300000);
  double loss = 0, twice = 0, late = 0;  // of words; late ones by up to `lateBy`
  Span delay = Span::ms(4), lateBy = Span::ms(2000);
  double drift = 0;  // clocks run apart by up to this share, and begin anywhere
  std::uint64_t seed = 1;
  std::vector<ZoneTrouble> faults;
  zones::LeaseTiming spans;
};

struct ZoneResult {
  std::uint64_t offered = 0, refused = 0, ended = 0;  // sessions; ended: by the operator's word
  std::vector<std::uint64_t> offeredBy, refusedBy;    // by service
  int mostOut = 0;                                    // circuits out at once, of the whole zone
  int mostOver = 0;         // above the budget at that instant (above what stood when it was lowered)
  double overShare = 0;     // of the time
  double idleShare = 0;     // room while sessions were refused, over the budget, mean over refusals
  Span longestIdle;         // longest time that an office went on refusing while room for the session was idle
  int mostLent = 0;         // circuits at once
  std::uint64_t words = 0;  // between offices
  double wordsASecond = 0;  // of one office
};

ZoneResult play(const ZoneDay& day);

}  // namespace thistlefold::model
