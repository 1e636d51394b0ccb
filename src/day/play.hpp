#pragma once

// Plays a day on a stage and says how it went.

#include <string>
#include <vector>

#include "audit/audit.hpp"
#include "day/script.hpp"
#include "day/testbed.hpp"

namespace thistlefold::day {

struct Report {
  std::string day;
  std::vector<std::string> services;
  std::vector<SimulatedCallers::ServiceCounts> served;
  std::vector<SimulatedCallers::Second> seconds;
  std::map<int, std::uint64_t> refusals;  // by cause code
  double p50 = 0, p99 = 0;                // post-dial delay in ms of sessions that stood
  std::vector<std::string> offices;       // each office's own account, JSON; empty where it gave none
  std::vector<std::string> faults;        // what happened when, in order
  std::vector<std::string> zones;         // each office's account of what crossed zones, JSON; empty where it gave none
  std::vector<std::string> series;        // of these, by second and zone, JSON
  std::vector<std::string> crossings;     // where these accounts and the capture differ
  std::vector<std::string> budgets;       // how near each budget between zones came to its bound
  bool crossingsChecked = false;          // not where an office gave no account
  std::uint64_t unaccounted = 0;          // INVITEs across zones of killed offices that no running one has seen
  std::vector<std::string> disagree;      // groups whose two ends count differently at the end
  std::size_t unfinished = 0;             // sessions that callers still wanted when the day was cut off
  std::size_t fallen = 0;                 // exchanges that were pushed over
  double seconds_taken = 0;
  audit::Findings findings;

  double service() const;  // value earned over value offered
  bool good() const {
    return findings.passed() && disagree.empty() && crossings.empty() && unfinished == 0 && fallen == 0;
  }
};

/// The capture is written to `capturePath`. Throws TestbedError or std::runtime_error.
Report play(const DayPlan& plan, Testbed& testbed, const std::string& capturePath);

std::string describe(const Report& report);
std::string json(const Report& report);

}  // namespace thistlefold::day
