#pragma once

#include <compare>
#include <cstdint>

namespace thistlefold {

/// A duration with a resolution of 1 us; may be negative. A type of its own, so that it cannot be confused with an
/// Instant.
class Span {
 public:
  constexpr Span() = default;
  /// A duration of this many milliseconds, rounded to the nearest microsecond.
  static constexpr Span ms(double value) {
    return Span(static_cast<std::int64_t>(value * 1000.0 + (value < 0 ? -0.5 : 0.5)));
  }
  /// The zero duration; stands for "not given" where a duration is optional.
  static constexpr Span none() { return Span(); }
  /// This duration in milliseconds.
  constexpr double ms() const { return static_cast<double>(us_) / 1000.0; }

  friend constexpr auto operator<=>(Span, Span) = default;
  friend constexpr Span operator+(Span a, Span b) { return Span(a.us_ + b.us_); }
  friend constexpr Span operator-(Span a, Span b) { return Span(a.us_ - b.us_); }
  /// The product, rounded to the nearest microsecond.
  friend constexpr Span operator*(Span a, double by) { return ms(a.ms() * by); }
  /// The ratio of two durations; infinite or NaN if `b` is zero.
  friend constexpr double operator/(Span a, Span b) { return static_cast<double>(a.us_) / static_cast<double>(b.us_); }

 private:
  friend class Instant;
  explicit constexpr Span(std::int64_t us) : us_(us) {}
  std::int64_t us_ = 0;
};

/// A point in time on the clock of the host that calls the controller, with a resolution of 1 us.
class Instant {
 public:
  constexpr Instant() = default;
  /// The instant this many milliseconds after the clock's zero point.
  static constexpr Instant ms(double value) { return Instant(Span::ms(value).us_); }
  /// Precedes every instant that the clock can show. A quarter of the range, as is never(), so that differences do not
  /// overflow.
  static constexpr Instant distantPast() { return Instant(INT64_MIN / 4); }
  /// Follows every instant that the clock can show.
  static constexpr Instant never() { return Instant(INT64_MAX / 4); }

  friend constexpr auto operator<=>(Instant, Instant) = default;
  constexpr Span operator-(Instant b) const { return Span(us_ - b.us_); }
  constexpr Instant operator+(Span b) const { return Instant(us_ + b.us_); }
  constexpr Instant operator-(Span b) const { return Instant(us_ - b.us_); }

 private:
  explicit constexpr Instant(std::int64_t us) : us_(us) {}
  std::int64_t us_ = 0;
};

}  // namespace thistlefold
