#pragma once

// Budgets of circuits from one zone to another, and the admission of sessions to one office's part of a budget.
// Decision core without I/O; every instant is passed in. docs/zones.md compares the ways to divide a budget and proves
// the bound.

#include <optional>
#include <vector>

#include "thistlefold/time.hpp"

namespace thistlefold::zones {

/// The limits of one service within a budget: `guaranteed` circuits are reserved for it, and it never holds more than
/// `most` (no limit if not set).
struct ClassShare {
  int guaranteed = 0;
  std::optional<int> most;
};

/// How a budget is divided among the offices of its zone: `equal` parts, or equal parts of which offices lend to each
/// other (`lending`).
enum class Division { equal, lending };

/// What happens to established sessions above a budget that was lowered, or on circuits whose loan has lapsed: they
/// `keep` their circuits until they end by themselves, or the offices `end` them.
enum class OverrunPolicy { keep, end };

/// The whole fleet's budget of circuits for one direction between two zones.
struct Budget {
  int from = 0, to = 0;  // indexes of zones
  int circuits = 0;
  std::vector<ClassShare> classes;  // by service
  Division division = Division::equal;
  OverrunPolicy overrun = OverrunPolicy::keep;
  std::optional<double> circuitSeconds;  // limit of use in each period; not set: no limit
  Span period = Span::ms(3600000);
};

/// Part number `index` of `count` equal parts of `whole`, in whole units: the parts of all indexes add up to `whole`.
inline int equalPart(int whole, int index, int count) { return whole / count + (index < whole % count ? 1 : 0); }

/// What a budget needs to know about a service.
struct ServiceProfile {
  int width = 1;     // circuits per session
  double value = 1;  // value of a circuit-second
  Span meanHold = Span::ms(10000);
};

/// An established session that holds circuits of a budget.
struct EstablishedSession {
  std::size_t service = 0;  // index of the service
  Instant since;            // when its circuits were taken
};
/// Selects the sessions to end so that at least `circuits` become free: those of the lowest-value service first, of
/// these the newest. Returns indexes into `sessions`, in that order; all of them if they do not suffice.
std::vector<std::size_t> selectSessionsToEnd(const std::vector<ServiceProfile>& services,
                                             const std::vector<EstablishedSession>& sessions, int circuits);

/// What one office may hold at present.
struct Bounds {
  int circuits = 0;
  std::vector<ClassShare> classes;  // by service
};

/// One office's part of a budget: counts the circuits that its sessions hold and decides which service may take the
/// next ones.
class BudgetPart {
 public:
  /// `services`: the profiles by index of the service. There are no bounds until setBounds() sets some.
  explicit BudgetPart(std::vector<ServiceProfile> services)
      : services_(std::move(services)),
        held_(services_.size()),
        requestedAt_(services_.size(), Instant::distantPast()) {}

  /// Replaces the bounds. Circuits that are held stay held, also above the bounds. `std::nullopt`: no budget, so no
  /// bound.
  void setBounds(const std::optional<Bounds>& bounds);
  /// Whether there are bounds.
  bool isBounded() const { return bounds_.has_value(); }

  /// Records that a session of this service has been requested, whether or not it is admitted.
  void recordRequest(Instant now, std::size_t service) { requestedAt_[service] = now; }

  /// Whether a session of this service may take its circuits. It may not exceed the service's `most`, nor use circuits
  /// that other services need to reach their guarantees. Above its own guarantee it is also refused while fewer
  /// circuits are free than the widest service takes, so that narrow sessions do not use up what a wide one needs: all
  /// widths are refused in the same states. In addition to those, the circuits of one session of a higher-value
  /// service must stay free, unless the bounds hold only a few sessions of the widest service. Both rules consider only
  /// services that were requested recently.
  bool admits(Instant now, std::size_t service) const;
  /// Takes or returns the circuits of one session. seize() does not check the bounds.
  void seize(std::size_t service) { held_[service] += services_[service].width; }
  void release(std::size_t service) { held_[service] -= services_[service].width; }

  /// The profiles by index of the service.
  const std::vector<ServiceProfile>& services() const { return services_; }
  /// The present bounds; `std::nullopt`: no bound.
  const std::optional<Bounds>& bounds() const { return bounds_; }
  /// Circuits of the bounds; 0 without bounds.
  int circuits() const { return bounds_ ? bounds_->circuits : 0; }
  /// Circuits that sessions hold: of all services, and of one.
  int held() const;
  int heldBy(std::size_t service) const { return held_[service]; }
  /// Circuits of the bounds that are not held; 0 if there are none.
  int free() const;
  /// Circuits held above the bounds.
  int excess() const;
  /// Expected time until excess() is 0 without any action, if sessions end according to their services' mean hold time.
  Span timeUntilWithinBounds() const;
  /// Circuits per session of the widest service that was requested recently; at least 1.
  int widestRequested(Instant now) const;

 private:
  std::vector<ServiceProfile> services_;
  std::vector<int> held_;
  std::vector<Instant> requestedAt_;
  std::optional<Bounds> bounds_;
};

/// One office's part of the circuit-seconds that a budget allows in each period: accounts for their use and decides
/// which service may use what is left. Periods are aligned to the zero of the clock.
class Allowance {
 public:
  /// `services`: the profiles by index of the service. There is no limit until setLimit() sets one.
  explicit Allowance(std::vector<ServiceProfile> services);

  /// Sets the limit and the length of the period; `std::nullopt`: no limit. What was used in the current period stays
  /// accounted for.
  void setLimit(Instant now, std::optional<double> circuitSeconds, Span period);
  /// Whether there is a limit.
  bool isBounded() const { return limit_.has_value(); }
  /// Records that a session of this service has been requested, whether or not it is admitted.
  void recordRequest(Instant now, std::size_t service);
  /// Whether enough is left for a session of this service with the mean hold time, after the expected use by
  /// established sessions and, at the recently measured request rates, by higher-value services until the period ends.
  bool admits(Instant now, std::size_t service);
  /// Records that a session of this service takes or returns its circuits. seize() does not check the limit.
  void seize(Instant now, std::size_t service);
  void release(Instant now, std::size_t service);

  /// Circuit-seconds used in the current period.
  double used(Instant now);
  /// Circuit-seconds per period; 0 without a limit.
  double limit() const { return limit_.value_or(0); }
  /// Time until the next period begins.
  Span untilNextPeriod(Instant now) const;

 private:
  /// Brings the account of used circuit-seconds up to `now`.
  void accrue(Instant now);
  /// Expected circuit-seconds of a new session within the current period.
  double cost(Instant now, std::size_t service) const;

  std::vector<ServiceProfile> services_;
  std::vector<int> held_;
  std::vector<double> requestRates_;  // by service: requests per second, decaying exponentially
  std::optional<double> limit_;
  Span period_ = Span::ms(3600000);
  double used_ = 0;
  Instant accruedAt_;
  Instant ratesDecayedAt_;
};

}  // namespace thistlefold::zones
