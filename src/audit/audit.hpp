#pragma once

// Audits a run: judges the five rules from the capture of the run and the fleet alone. Shares no code with the office
// except the frame decoder, so that a fault in the office cannot hide itself.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fleet/fleet.hpp"

namespace thistlefold::audit {

/// One violation of a rule.
struct Violation {
  int rule = 0;               // 1 to 5
  std::uint64_t session = 0;  // 0 where the frame named none
  double atMs = 0;            // milliseconds since the begin of the day
  std::string text;           // what happened, for people
};

/// A kind of leg between two zones: who sends to whom, for which service, and which part of the session's path it is
/// ("direct", "first" or "second" leg).
struct ZoneLeg {
  std::string from, to, service, part;
  friend auto operator<=>(const ZoneLeg&, const ZoneLeg&) = default;
};

/// Legs of one kind as the capture shows them: INVITEs sent, and how many of them were established.
struct ZoneLegCounts {
  std::uint64_t invites = 0, established = 0;
  friend bool operator==(const ZoneLegCounts&, const ZoneLegCounts&) = default;
};

/// What the audit found.
struct Findings {
  /// All legs between zones.
  std::map<ZoneLeg, ZoneLegCounts> zoneLegs;
  /// Those of them that offices running at the end can still account for: all of their own legs, and of the legs of a
  /// killed office those that reached offices which still run.
  std::map<ZoneLeg, ZoneLegCounts> accountableZoneLegs;
  /// INVITEs between zones that no office running at the end can account for.
  std::uint64_t unaccountedInvites = 0;
  /// Circuits in use by ordered pair of zones, at each change.
  std::map<std::pair<std::string, std::string>, std::vector<std::pair<Instant, int>>> circuitsInUse;
  /// Most circuits in use at once, by ordered pair of zones.
  std::map<std::pair<std::string, std::string>, int> peakCircuitsInUse;
  std::vector<Violation> violations;      // the first hundred, in order of time
  std::uint64_t violationCounts[6] = {};  // by rule; index 0 is unused
  // Call attempts that reached an office, in total and by outcome; and those that reached none (`undelivered`).
  std::uint64_t attempts = 0, established = 0, refused = 0, callerLeft = 0, officeDown = 0, unanswered = 0,
                undelivered = 0;
  // INVITEs sent without their retransmissions, those of them to a tandem, and datagrams sent. `lost` is not counted
  // and stays 0.
  std::uint64_t invites = 0, tandemInvites = 0, datagrams = 0, lost = 0;
  double peakColdLoad = 0;  // largest share of rule 4's limit that was sent to a cold exchange; above 1: violated
  /// Whether every call attempt that reached an office has an outcome.
  bool allAttemptsAccounted() const { return attempts == established + refused + callerLeft + officeDown + unanswered; }
  /// Whether no rule was violated and every call attempt was answered or otherwise accounted for.
  bool passed() const {
    return violationCounts[1] + violationCounts[2] + violationCounts[3] + violationCounts[4] + violationCounts[5] ==
               0 &&
           allAttemptsAccounted() && unanswered == 0;
  }
};

/// How far the capture's timestamps may deviate from when an office acted. The defaults are for sockets: there the
/// relay stamps datagrams when they are sent and delivered, so that two frames of one office may be recorded a few
/// scheduling slices further apart or closer together than the office sent them, and a busy office, which counts the
/// time limit from its own receipt, answers a little after the limit. On a virtual clock these defaults would hide
/// violations; see kVirtualTolerance.
struct Tolerance {
  Span timestamp = Span::ms(15);     // of the time between two frames
  Span finalAnswer = Span::ms(100);  // of the final answer after the time limit
};

/// For the virtual clock. The controller's shortest timer is one millisecond, so that a session whose time limit lies
/// between two milliseconds is answered at the later one.
inline constexpr Tolerance kVirtualTolerance{Span::none(), Span::ms(1)};

/// Audits a capture. `fleet` must have the addresses that the capture uses. Throws std::runtime_error if the capture
/// can't be read.
Findings audit(const Fleet& fleet, const std::string& capturePath, Tolerance tolerance = {});

/// The findings as text for people.
std::string describe(const Findings& findings);

/// The findings as one JSON object.
std::string json(const Findings& findings);

}  // namespace thistlefold::audit
