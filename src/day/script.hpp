#pragma once

// Reads day files. A "day" is a scripted scenario: a fleet, the traffic that callers offer to it, and the faults that
// are injected at given times. It need not last 24 hours; the shipped ones last from 12 s to a minute.

#include <ostream>
#include <string>
#include <vector>

#include "fleet/fleet.hpp"
#include "settings/form.hpp"
#include "simulators/callers.hpp"
#include "simulators/exchange.hpp"

namespace thistlefold::day {

/// A fault that is injected during a day. `check --explain` prints what each kind does.
struct Fault {
  /// Named like the keywords in day files. `x` is the fault's magnitude.
  enum class Kind {
    hang,          // processors queue set-ups but process none
    slow,          // processors take x times as long for all work
    age,           // processors become twice as slow every x milliseconds and crash at the end
    crash,         // processors stop at once and come back cold
    vanish,        // like crash, but the directory takes longer to notice it
    replace,       // processors are drained, then replaced by cold ones
    cut,           // the share x of the established sessions is aborted
    freeze,        // offices stop processing and go on later
    kill,          // offices are killed and restarted
    burst,         // all callers dial x times as often
    hotCaller,     // the callers of some offices dial x times as often
    network,       // datagrams are lost, duplicated, delayed or truncated
    directory,     // the directory sends nothing
    loseCircuits,  // trunk groups from some exchanges to the others keep the share x of their circuits
    massCall,      // the share x of all sessions dials one number
    budget         // a budget between zones is changed to x circuits
  };
  Kind kind;
  Span at;  // since the begin of the day
  Span duration;
  double magnitude = 0;          // a factor, a share, milliseconds or circuits, by kind
  std::vector<int> places;       // drawn from the day's seed where the file says `any`
  std::vector<int> otherPlaces;  // network: the places at the other side; empty: all datagrams are affected
  int fromZone = 0, toZone = 0;  // budget
  // Network: shares of the datagrams.
  double lossShare = 0, duplicateShare = 0, delayedShare = 0, truncatedShare = 0;
  Span maxExtraDelay;  // network: of the delayed datagrams
  std::string text;    // as written in the file, for the report and the capture
};

/// Delays and loss that are present all day.
struct Network {
  Span sameZone = Span::ms(4), crossZone = Span::ms(12);  // one way
  double jitter = 0.2;                                    // extra delay at most, as a share of the delay
  double loss = 0;                                        // share of all datagrams
};

/// A day as its file describes it.
struct DayPlan {
  std::string name;
  std::uint64_t seed = 1;
  Span length;  // callers dial for this long
  Fleet fleet;
  Network network;
  ProcessorModel processor;  // of all exchanges; followUpWork and rejectWork as shares of a set-up's work
  CallerBehaviour behaviour;
  double rate = 30;                                  // sessions a second, all callers
  std::string shape = "steady";                      // steady, wave, ramp or given
  std::vector<std::pair<Span, double>> shapePoints;  // shape "given": the rate's factor, interpolated between these
  double swing = 0.2;                                // wave and ramp go this share of the rate above and below it
  double pairSpread = 0.5;               // how unequal destinations are (standard deviation of the logarithm)
  std::vector<double> pairWeights;       // by office and destination, row by row; empty: drawn from pairSpread
  std::vector<double> serviceWeights;    // by index of the service
  Span directoryDelay = Span::ms(2000);  // from a change of an exchange to its announcement
  int massCallLines = 4;                 // lines of the number that mass calls dial
  std::vector<Fault> faults;
};

/// Reads a day; paths in it are relative to `folder`. Throws settings::SettingsError.
DayPlan readDay(const settings::Form& form, const std::string& folder);

/// Reads a day file. Throws settings::SettingsError.
DayPlan openDay(const std::string& path);

/// All calls of the day in order of time, drawn from its seed: the same for the same plan. Times count from Instant().
std::vector<PlannedCall> drawTraffic(const DayPlan& plan);

/// Prints the keywords of day files with their defaults.
void explainDay(std::ostream& out);

/// The number at a place that mass calls dial.
std::string massCallNumber(const Fleet& fleet, int place);

}  // namespace thistlefold::day
