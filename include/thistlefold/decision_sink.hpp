#pragma once

#include "thistlefold/time.hpp"

namespace thistlefold {

struct Exchange;
struct Session;

/// Where decisions go, in the order they are made.
class DecisionSink {
 public:
  virtual ~DecisionSink() = default;
  virtual void invite(const Session& session, const Exchange& to, Span giveUpAfter) = 0;
  virtual void rejectBusy(const Session& session, Span retryAfter) = 0;
  virtual void failUncertain(const Session& session) = 0;
  virtual void scheduleWakeUp(Span delay) = 0;
  virtual void subscribe() = 0;
};

}  // namespace thistlefold
