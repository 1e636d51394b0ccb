#pragma once

// The seam for time. Everything that waits, waits through a Timer; everything that asks the time asks a Clock.

#include <boost/asio/awaitable.hpp>
#include <memory>

#include "thistlefold/time.hpp"

namespace thistlefold::net {

class Timer {
 public:
  virtual ~Timer() = default;
  /// Moves the alarm; whoever waits goes on waiting for the new instant. May lie in the past: rings at once.
  virtual void set(Instant at) = 0;
  /// Resumes when the alarm has been reached. One waiter at a time.
  virtual boost::asio::awaitable<void> asyncWait() = 0;
  /// Wakes the waiter for good: asyncWait() returns at once from now on.
  virtual void close() = 0;
};

class Clock {
 public:
  virtual ~Clock() = default;
  virtual Instant now() const = 0;
  virtual std::unique_ptr<Timer> makeTimer() = 0;
};

}  // namespace thistlefold::net
