#pragma once

// What a day file says: the fleet, the traffic, and what goes wrong when.

#include <ostream>
#include <string>
#include <vector>

#include "fleet/fleet.hpp"
#include "settings/form.hpp"
#include "simulators/callers.hpp"
#include "simulators/exchange.hpp"

namespace thistlefold::day {

struct Fault {
  enum class Kind {
    hang,
    slow,
    age,
    crash,
    vanish,
    replace,
    cut,
    freeze,
    kill,
    burst,
    hotCaller,
    network,
    directory,
    loseCircuits,
    massCall,
    budget
  };
  Kind kind;
  Span at;  // from the day's begin
  Span lasts;
  double size = 0;          // times, share or milliseconds, by kind
  std::vector<int> places;  // drawn from the day's seed where the file says any
  std::vector<int> others;  // network: the other side; empty: all
  int from = 0, to = 0;     // budget: zones
  double loss = 0, twice = 0, late = 0, cutShort = 0;
  Span lateBy;
  std::string words;  // as written, for the report
};

struct Network {
  Span sameZone = Span::ms(4), crossZone = Span::ms(12);  // one way
  double jitter = 0.2;
  double loss = 0;
};

struct DayPlan {
  std::string name;
  std::uint64_t seed = 1;
  Span length;
  Fleet fleet;
  Network network;
  ProcessorModel processor;
  CallerBehaviour behaviour;
  double rate = 30;  // sessions a second, all callers
  std::string shape = "steady";
  std::vector<std::pair<Span, double>> knots;  // shape "given": the rate goes straight between these, by time
  double swing = 0.2;                          // wave and ramp go this share above and below
  double pairSpread = 0.5;                     // how unequal destinations are (standard deviation of the logarithm)
  std::vector<double> pairs;           // weight by office and destination, row by row; empty: drawn from pairSpread
  std::vector<double> serviceWeights;  // of the services
  Span notice = Span::ms(2000);        // how late the directory is
  int lines = 4;                       // of a mass-called number
  std::vector<Fault> faults;
};

/// Throws settings::SettingsError.
DayPlan readDay(const settings::Form& form, const std::string& folder);
DayPlan openDay(const std::string& path);

/// All that is dialled on that day, drawn from its seed: the same for the same plan.
std::vector<PlannedCall> drawTraffic(const DayPlan& plan);

void explainDay(std::ostream& out);

/// The number at a place that mass calls dial.
std::string massCalled(const Fleet& fleet, int place);

}  // namespace thistlefold::day
