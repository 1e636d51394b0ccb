#pragma once

#include <unordered_map>
#include <vector>

#include "thistlefold/samples.hpp"

namespace thistlefold {

struct Session;

enum class Readiness { ready, draining, gone };

/// What this office has seen of the leg between a tandem and a destination.
struct FarLeg {
  Instant turnedBack = Instant::distantPast();
  bool carried = false;  // a session stood over it
};

/// What an office usually dials.
struct UsualDemand {
  double perWindow = -1;  // sessions in a tip window, to all exchanges; below zero: not known
  double toExchange = 0;  // of them to one exchange
};

/// What this office has seen of one exchange. Plain state: only the module reads or changes it, but for
/// `place` and `own`, which are set where the exchange is first listed.
struct Exchange {
  int place = -1;
  bool own = false;

  Readiness readiness = Readiness::gone;
  Instant started = Instant::distantPast();
  UsualDemand usualDemand;  // when it started; not known where this office had not run for long enough

  double freeCircuits = 0;                              // of the group between here and there
  double circuits = -1;                                 // below zero: not told yet
  std::unordered_map<const Exchange*, FarLeg> farLegs;  // by destination; looked up, never walked

  Samples<bool, 12> directOutcomes;              // outcomes as a destination: answered in any way, or not
  Samples<bool, 12> tandemOutcomes;              // outcomes as a tandem
  Instant suspectedAt = Instant::distantPast();  // a direct session went unanswered or was cut, none was answered since
  Samples<Span, 8> postDialDelays;               // of sessions that stood
  Samples<double, 16> reportedCapacity;          // set-ups a second that its processor said it can take
  Samples<Instant, 128> inviteTimes;             // INVITEs that went to or through it
  std::vector<const Session*> pendingInvites;    // INVITEs out, oldest first
  Instant blockedUntil = Instant::distantPast();
  Instant lastProbe = Instant::distantPast();
};

}  // namespace thistlefold
