#pragma once

#include <cstdint>
#include <memory>

#include "thistlefold/decision_sink.hpp"
#include "thistlefold/exchange.hpp"
#include "thistlefold/office_config.hpp"
#include "thistlefold/session.hpp"

namespace thistlefold {

class Controller;

/// All that came in since the last round: calls the controller once for each, in order of arrival.
class RoundEvents {
 public:
  virtual ~RoundEvents() = default;
  virtual void deliver(Controller& controller) = 0;
};

enum class InviteOutcome { released, failed, overloaded, timedOut, unreachable, reset, cancelled, notSent };
enum class BlockingReason { none, noCircuit, turnedBack, processorFull, lineBusy };

/// The decisions of one office. Sessions and exchanges belong to the caller; an exchange lives as long as the
/// controller, a session until it is `finished` with no INVITE ringing.
class Controller {
 public:
  virtual ~Controller() = default;

  virtual void round(Instant now, RoundEvents& events, DecisionSink& sink) = 0;

  // Called by RoundEvents within a round.
  virtual void exchangeListed(Exchange& exchange, Readiness readiness, Instant started) = 0;
  virtual void listFailed() = 0;
  virtual void circuitsChanged(Exchange& exchange, double free, double size) = 0;
  /// What the far processor says it can take, in set-ups a second from all offices.
  virtual void capacityReported(Exchange& exchange, double canTake) = 0;
  virtual void sessionArrived(Session& session) = 0;
  virtual void inviteAccepted(Session& session, Span postDialDelay) = 0;
  /// `farProcessor`: a turn-back because of the processor beyond. `toldWait`: none if none was named.
  virtual void inviteEnded(Session& session, Exchange& at, InviteOutcome ending, BlockingReason reason,
                           bool farProcessor, Span toldWait, bool final) = 0;
  virtual void sessionAbandoned(Session& session) = 0;
};

/// `data` must outlive the controller.
std::unique_ptr<Controller> makeController(const OfficeConfig& data, std::uint64_t seed);

}  // namespace thistlefold
