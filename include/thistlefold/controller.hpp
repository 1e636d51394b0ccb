#pragma once

#include <cstdint>
#include <memory>

#include "thistlefold/decision_sink.hpp"
#include "thistlefold/exchange.hpp"
#include "thistlefold/office_config.hpp"
#include "thistlefold/session.hpp"

namespace thistlefold {

class Controller;

/// The events that the host received since the last round. deliver() reports each of them to the controller, in the
/// order in which they were received.
class RoundEvents {
 public:
  virtual ~RoundEvents() = default;
  /// Called by Controller::round(), once per round.
  virtual void deliver(Controller& controller) = 0;
};

/// How an INVITE, or the session that it established, ended.
/// - released: ended normally.
/// - failed: answered with a failure, such as a busy line.
/// - overloaded: refused for lack of circuits or processor capacity; did not execute.
/// - timedOut: not answered within the timeout.
/// - unreachable: the exchange could not be reached; the INVITE did not execute.
/// - reset: the connection was reset; the INVITE may have executed.
/// - cancelled: withdrawn before it was answered; the INVITE may have executed.
/// - notSent: the own group had no free circuit for it.
///
/// After timedOut, reset and cancelled, circuits may stay occupied for OfficeConfig::releaseTime.
enum class InviteOutcome { released, failed, overloaded, timedOut, unreachable, reset, cancelled, notSent };

/// Why an INVITE was blocked.
/// - none: not blocked, or no reason given.
/// - noCircuit: no free circuit, or no free agent in a pool.
/// - turnedBack: crankback from a tandem.
/// - processorFull: the processor of the exchange is overloaded.
/// - lineBusy: the called subscriber's line is busy.
///
/// The values are the reason codes of the bench protocol.
enum class BlockingReason { none, noCircuit, turnedBack, processorFull, lineBusy };

/// The routing decisions of one office. Not thread-safe. Sessions and exchanges belong to the caller: an exchange has
/// to outlive the controller, and a session has to live until it is `finished` and has no pending INVITE.
class Controller {
 public:
  virtual ~Controller() = default;

  /// Processes the events received since the last round and passes all resulting decisions to `sink` before it returns.
  /// To be called when events were received and when a scheduled wake-up is due.
  virtual void round(Instant now, RoundEvents& events, DecisionSink& sink) = 0;

  // The functions below report one event each. They are called by RoundEvents::deliver() within a round. Duplicated,
  // late and out-of-order events are allowed.

  /// The directory lists the exchange in this state. `startedAt`: when its processor last started, distantPast() if
  /// unknown.
  virtual void exchangeListed(Exchange& exchange, Readiness readiness, Instant startedAt) = 0;
  /// The directory did not answer the request for the list, or cannot give it.
  virtual void listFailed() = 0;
  /// Number of free circuits and of all circuits in the trunk group to the exchange.
  virtual void circuitsChanged(Exchange& exchange, double freeCircuits, double circuits) = 0;
  /// Capacity that the processor of the exchange reports, in set-ups per second from all offices together.
  virtual void capacityReported(Exchange& exchange, double setUpsPerSecond) = 0;
  /// The office received a new session from a subscriber or, in transit, from another office.
  virtual void sessionArrived(Session& session) = 0;
  /// The pending INVITE of the session was answered. `postDialDelay`: time from INVITE to answer.
  virtual void inviteAccepted(Session& session, Span postDialDelay) = 0;
  /// The INVITE of the session at this exchange has ended, or the session that it established.
  /// `farProcessorOverloaded`: a tandem turned the INVITE back because the processor of the destination is overloaded.
  /// `retryAfter`: the wait that a full processor named; none() if it named none.
  /// `final`: the session itself has ended; no further INVITE and no final answer is due.
  virtual void inviteEnded(Session& session, Exchange& exchange, InviteOutcome outcome, BlockingReason reason,
                           bool farProcessorOverloaded, Span retryAfter, bool final) = 0;
  /// The caller gave the session up before it was answered.
  virtual void sessionAbandoned(Session& session) = 0;
};

/// Creates the controller of one office. `config` must outlive it. The seed determines all random draws, so that equal
/// seeds and events give equal decisions.
std::unique_ptr<Controller> makeController(const OfficeConfig& config, std::uint64_t seed);

}  // namespace thistlefold
