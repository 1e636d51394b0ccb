#pragma once

// Plays a day on a testbed and reports how it went.

#include <string>
#include <vector>

#include "audit/audit.hpp"
#include "day/script.hpp"
#include "day/testbed.hpp"

namespace thistlefold::day {

/// How a day went.
struct Report {
  std::string day;                                             // its name
  std::vector<std::string> services;                           // names, by index of the service
  std::vector<SimulatedCallers::ServiceCounts> serviceCounts;  // likewise
  std::vector<SimulatedCallers::SecondCounts> seconds;         // since the begin of the day
  std::map<int, std::uint64_t> refusals;                       // by cause code
  double delayP50Ms = 0, delayP99Ms = 0;                       // post-dial delay of established sessions
  std::vector<std::string> officeStatus;                       // each office's status as JSON; empty where it gave none
  std::vector<std::string> faults;                             // the faults and restarts in order, a line each
  std::vector<std::string> zoneUsage;         // each office's usage between zones as JSON; empty where it gave none
  std::vector<std::string> zoneSeries;        // that usage by second, one JSON text for each office and zone
  std::vector<std::string> zoneDifferences;   // where that usage differs from the capture, or a budget was exceeded
  std::vector<std::string> budgetPeaks;       // how near the use of each budget between zones came to its limit
  bool zonesCompared = false;                 // false where an office gave no usage
  std::uint64_t unaccountedInvites = 0;       // INVITEs between zones that no office running at the end knows of
  std::vector<std::string> groupDifferences;  // trunk groups whose ends disagree, or with circuits in use, at the end
  std::size_t unfinishedSessions = 0;         // sessions that had not ended when the day was stopped
  std::size_t collapsedExchanges = 0;         // exchanges that were overloaded while cold
  double secondsTaken = 0;                    // from the begin of the day to the end of the offices
  audit::Findings findings;

  /// Value earned, as a share of the value offered; 0 if none was offered.
  double earnedShare() const;
  /// Whether no rule was violated, all sessions have ended and all accounts agree.
  bool good() const {
    return findings.passed() && groupDifferences.empty() && zoneDifferences.empty() && unfinishedSessions == 0 &&
           collapsedExchanges == 0;
  }
};

/// Plays the day from begin to end; `testbed` must be new and have the fleet of the plan. The capture is written to
/// `capturePath`. Throws TestbedError or std::runtime_error.
Report play(const DayPlan& plan, Testbed& testbed, const std::string& capturePath);

/// The report as text for people.
std::string describe(const Report& report);

/// The report as one JSON object.
std::string json(const Report& report);

}  // namespace thistlefold::day
