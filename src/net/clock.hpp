#pragma once

// Interface to time, for real and for virtual clocks. All waiting is done on a Timer, and the time is read from a
// Clock.

#include <boost/asio/awaitable.hpp>
#include <memory>

#include "thistlefold/time.hpp"

namespace thistlefold::net {

/// A timer with one deadline, which can be moved while it is waited for.
class Timer {
 public:
  virtual ~Timer() = default;
  /// Sets the deadline; a waiter goes on to wait for the new one. A deadline in the past fires at once.
  virtual void set(Instant at) = 0;
  /// Resumes when the timer has fired. One waiter at a time.
  virtual boost::asio::awaitable<void> asyncWait() = 0;
  /// Wakes the waiter. From now on asyncWait() returns at once.
  virtual void close() = 0;
};

/// A source of time.
class Clock {
 public:
  virtual ~Clock() = default;
  /// The current time, on the time scale of this clock.
  virtual Instant now() const = 0;
  /// Creates a timer without a deadline. The timer must not outlive the clock.
  virtual std::unique_ptr<Timer> makeTimer() = 0;
};

}  // namespace thistlefold::net
