#pragma once

// How many circuits from one zone to another may be held at once, and who may take the next ones of one office's
// part. Decides; no I/O, instants are passed in. docs/zones.md weighs the ways to divide a budget and proves the bound.

#include <optional>
#include <vector>

#include "thistlefold/time.hpp"

namespace thistlefold::zones {

/// What one service has of a budget: `guaranteed` circuits are kept for it, more than `most` it never gets.
struct ClassShare {
  int guaranteed = 0;
  std::optional<int> most;
};

/// How a budget is divided among the offices of its zone.
enum class Dividing { equal, lent };

/// What becomes of sessions that stand above a budget that was lowered, or on circuits that were lent and not left.
enum class Overrun { stand, end };

/// A budget of the whole fleet for one direction between two zones.
struct Budget {
  int from = 0, to = 0;  // zones
  int circuits = 0;
  std::vector<ClassShare> classes;  // by service
  Dividing dividing = Dividing::equal;
  Overrun overrun = Overrun::stand;
  std::optional<double> circuitSeconds;  // that may be used in each period
  Span period = Span::ms(3600000);
};

/// The `index`th of `count` equal parts of `whole`, to the unit: the parts of all indexes add up to `whole`.
inline int equalPart(int whole, int index, int count) { return whole / count + (index < whole % count ? 1 : 0); }

/// What a budget has to know of a service.
struct Kind {
  int width = 1;     // circuits of a session
  double worth = 1;  // value of a circuit-second
  Span meanHold = Span::ms(10000);
};

/// A session that stands over a budget.
struct Standing {
  std::size_t service = 0;
  Instant since;
};
/// Which of these are to end so that `circuits` come free: of least worth first, of these the newest. Indexes.
std::vector<std::size_t> whoMakesWay(const std::vector<Kind>& kinds, const std::vector<Standing>& standing,
                                     int circuits);

/// What one office may hold at the moment.
struct Bounds {
  int circuits = 0;
  std::vector<ClassShare> classes;  // by service
};

/// Who may take the next circuits of what one office has of a budget.
class Part {
 public:
  explicit Part(std::vector<Kind> kinds)
      : kinds_(std::move(kinds)), held_(kinds_.size()), askedAt_(kinds_.size(), Instant::distantPast()) {}

  /// Other bounds; what is held stays held, also above them. Nothing: no budget any more.
  void set(const std::optional<Bounds>& bounds);
  bool bounded() const { return bounds_.has_value(); }

  /// A session of this service wants to cross, whether or not it may.
  void asked(Instant now, std::size_t service) { askedAt_[service] = now; }

  /// Whether a session of this service may take its circuits. Not while that would leave less than the guarantees
  /// that others have not reached, nor past its most. And not while fewer are left than the widest service takes, so
  /// that narrow sessions don't nibble away what a wide one needs: all widths are refused in the same states. And
  /// not while fewer are left beside that than a service of more worth takes. Both reckon with services that were
  /// asked for of late only.
  bool admits(Instant now, std::size_t service) const;
  void take(std::size_t service) { held_[service] += kinds_[service].width; }
  void release(std::size_t service) { held_[service] -= kinds_[service].width; }

  const std::vector<Kind>& kinds() const { return kinds_; }
  const std::optional<Bounds>& bounds() const { return bounds_; }
  int circuits() const { return bounds_ ? bounds_->circuits : 0; }
  int held() const;
  int heldBy(std::size_t service) const { return held_[service]; }
  int left() const;
  /// Held above what it may hold.
  int over() const;
  /// How long, on average, until nothing is over by itself: sessions end as their services' mean hold says.
  Span underIn() const;
  /// Circuits of the widest service that was asked for of late.
  int widest(Instant now) const;

 private:
  std::vector<Kind> kinds_;
  std::vector<int> held_;
  std::vector<Instant> askedAt_;
  std::optional<Bounds> bounds_;
};

/// How much of a period's circuit-seconds is left, and for whom. One office's part.
class Allowance {
 public:
  explicit Allowance(std::vector<Kind> kinds);

  /// Nothing: no such bound. What was used in the running period stays used.
  void set(Instant now, std::optional<double> circuitSeconds, Span period);
  bool bounded() const { return whole_.has_value(); }
  void asked(Instant now, std::size_t service);
  /// Whether enough is left for such a session of mean hold, beside those that stand, and beside what services of
  /// more worth will ask for until the period ends, as measured of late.
  bool admits(Instant now, std::size_t service);
  void take(Instant now, std::size_t service);
  void release(Instant now, std::size_t service);

  /// Circuit-seconds of the running period.
  double used(Instant now);
  double whole() const { return whole_.value_or(0); }
  Span untilNext(Instant now) const;

 private:
  void settle(Instant now);
  double cost(Instant now, std::size_t service) const;

  std::vector<Kind> kinds_;
  std::vector<int> held_;
  std::vector<double> asks_;  // a second, fading
  std::optional<double> whole_;
  Span period_ = Span::ms(3600000);
  double used_ = 0;
  Instant settledAt_;
  Instant fadedAt_;
};

}  // namespace thistlefold::zones
