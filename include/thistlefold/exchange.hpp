#pragma once

#include <unordered_map>
#include <vector>

#include "thistlefold/samples.hpp"

namespace thistlefold {

struct Session;

/// State of an exchange as listed by the directory.
/// - ready: accepts new sessions.
/// - draining: completes the established sessions and accepts no new ones.
/// - gone: out of service, or not listed.
enum class Readiness { ready, draining, gone };

/// What this office has observed of the leg between a tandem and a destination.
struct FarLeg {
  Instant turnedBackAt = Instant::distantPast();  ///< when the tandem last turned a session back for lack of circuits
  bool hasCarriedSession = false;                 ///< whether a session was ever established over it
};

/// Demand that an office usually generates.
struct UsualDemand {
  double perWindow = -1;  ///< sessions per overload window, to all exchanges; negative if unknown
  double toExchange = 0;  ///< sessions per overload window to one exchange, included in `perWindow`
};

/// What this office knows of one exchange. Only the controller reads or changes it, except `place` and `own`, which the
/// host sets before it first reports the exchange.
struct Exchange {
  int place = -1;    ///< number under which the exchange is dialled; a replacement has the same place
  bool own = false;  ///< whether this is the exchange of this office

  Readiness readiness = Readiness::gone;
  Instant started = Instant::distantPast();  ///< when its processor last started
  UsualDemand usualDemand;  ///< at that time; unknown if this office had not run for an overload window by then

  double freeCircuits = 0;                              ///< in the trunk group between this office and the exchange
  double circuits = -1;                                 ///< size of that group; negative until it is reported
  std::unordered_map<const Exchange*, FarLeg> farLegs;  ///< by destination; never iterated over

  Samples<bool, 12> directOutcomes;               ///< as a destination: whether each INVITE was answered, by any answer
  Samples<bool, 12> tandemOutcomes;               ///< the same as a tandem
  Instant suspectedAt = Instant::distantPast();   ///< when a direct session was reset or its INVITE went unanswered;
                                                  ///< cleared by the next answer
  Samples<Span, 8> postDialDelays;                ///< of direct sessions that were established
  Samples<double, 16> reportedCapacity;           ///< set-ups per second, as reported by its processor
  Samples<Instant, 128> inviteTimes;              ///< of INVITEs sent to or through the exchange
  std::vector<const Session*> pendingInvites;     ///< sessions whose INVITE it has not answered, oldest first
  Instant blockedUntil = Instant::distantPast();  ///< no INVITE is sent before, since its processor reported overload
  Instant lastProbe = Instant::distantPast();     ///< last INVITE sent to it while it was judged unresponsive
};

}  // namespace thistlefold
