#pragma once

#include "thistlefold/time.hpp"

namespace thistlefold {

struct Exchange;
struct Session;

/// Receives the decisions of a controller, in the order in which they are made.
class DecisionSink {
 public:
  virtual ~DecisionSink() = default;
  /// Send an INVITE for the session to this exchange, and end it as timed out if it is not answered within
  /// `answerTimeout`.
  virtual void invite(const Session& session, const Exchange& to, Span answerTimeout) = 0;
  /// Final answer: refuse the session. `retryAfter`: time after which the caller should redial; none() gives no advice.
  virtual void rejectBusy(const Session& session, Span retryAfter) = 0;
  /// Final answer: fail the session, since one of its INVITEs may have executed and must not be repeated.
  virtual void failUncertain(const Session& session) = 0;
  /// Call Controller::round() after `delay` at the latest, even if no event was received by then.
  virtual void scheduleWakeUp(Span delay) = 0;
  /// Subscribe to the list of exchanges at the directory.
  virtual void subscribe() = 0;
};

}  // namespace thistlefold
