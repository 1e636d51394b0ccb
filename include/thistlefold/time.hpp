#pragma once

#include <compare>
#include <cstdint>

namespace thistlefold {

/// A length of time. Kept apart from Instant, so that the two can't be mixed up.
class Span {
 public:
  constexpr Span() = default;
  static constexpr Span ms(double value) {
    return Span(static_cast<std::int64_t>(value * 1000.0 + (value < 0 ? -0.5 : 0.5)));
  }
  static constexpr Span none() { return Span(); }
  constexpr double ms() const { return static_cast<double>(us_) / 1000.0; }

  friend constexpr auto operator<=>(Span, Span) = default;
  friend constexpr Span operator+(Span a, Span b) { return Span(a.us_ + b.us_); }
  friend constexpr Span operator-(Span a, Span b) { return Span(a.us_ - b.us_); }
  friend constexpr Span operator*(Span a, double by) { return ms(a.ms() * by); }
  friend constexpr double operator/(Span a, Span b) { return static_cast<double>(a.us_) / static_cast<double>(b.us_); }

 private:
  friend class Instant;
  explicit constexpr Span(std::int64_t us) : us_(us) {}
  std::int64_t us_ = 0;
};

/// A point in time on the clock that the controller is called with.
class Instant {
 public:
  constexpr Instant() = default;
  static constexpr Instant ms(double value) { return Instant(Span::ms(value).us_); }
  static constexpr Instant distantPast() { return Instant(INT64_MIN / 4); }
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
