#pragma once

// Judges a day by its capture and the fleet alone. Shares no code with the office but the frame decoder.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fleet/fleet.hpp"

namespace thistlefold::audit {

struct Violation {
  int rule = 0;  // 1 to 5
  std::uint64_t session = 0;
  double atMs = 0;  // of the day
  std::string text;
};

/// Legs between two zones as the capture shows them: how many INVITEs of each kind were sent, how many stood.
struct ZoneLeg {
  std::string from, to, service, part;
  friend auto operator<=>(const ZoneLeg&, const ZoneLeg&) = default;
};
struct ZoneLegCounts {
  std::uint64_t invites = 0, established = 0;
  friend bool operator==(const ZoneLegCounts&, const ZoneLegCounts&) = default;
};

struct Findings {
  std::map<ZoneLeg, ZoneLegCounts> zoneLegs;
  /// Of these, what running offices can still account for at the end: all of their own, and of one that was killed
  /// what reached offices that still run. `unaccounted` INVITEs of killed offices are in nobody's account.
  std::map<ZoneLeg, ZoneLegCounts> remembered;
  std::uint64_t unaccounted = 0;
  /// Circuits out by ordered pair of zones, at each change.
  std::map<std::pair<std::string, std::string>, std::vector<std::pair<Instant, int>>> out;
  std::map<std::pair<std::string, std::string>, int> peaks;  // most circuits out at once, by ordered pair of zones
  std::vector<Violation> violations;                         // the first hundred, in order of time
  std::uint64_t violationCounts[6] = {};                     // by rule
  // Tries of callers that reached an office, by how they were answered.
  std::uint64_t attempts = 0, established = 0, refused = 0, callerLeft = 0, officeDown = 0, unanswered = 0,
                unreached = 0;
  std::uint64_t invites = 0, tandemInvites = 0, datagrams = 0, lost = 0;
  double nearestToCold = 0;  // largest share of rule 4's limit that was sent to a cold exchange
  bool accounted() const { return attempts == established + refused + callerLeft + officeDown + unanswered; }
  bool passed() const {
    return violationCounts[1] + violationCounts[2] + violationCounts[3] + violationCounts[4] + violationCounts[5] ==
               0 &&
           accounted() && unanswered == 0;
  }
};

/// How far what an office did and what the capture says of it may lie apart. The defaults are for sockets: there the
/// relay stamps what is sent and delivered, so that two frames of one office lie a few scheduling slices further apart
/// or closer together than it meant them, and an office that is busy answers a little after the limit that it counts
/// from its own receipt. On a virtual clock they would hide breaches.
struct Tolerance {
  Span stamp = Span::ms(15);
  Span answer = Span::ms(100);
};
/// The shortest alarm of the module is a millisecond, so a session whose limit lies between two is answered at the
/// later.
inline constexpr Tolerance kVirtualTolerance{Span::none(), Span::ms(1)};

/// Throws std::runtime_error where the capture can't be read.
Findings audit(const Fleet& fleet, const std::string& capturePath, Tolerance tolerance = {});

std::string describe(const Findings& findings);
std::string json(const Findings& findings);

}  // namespace thistlefold::audit
