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
class Arrivals {
 public:
  virtual ~Arrivals() = default;
  virtual void deliver(Controller& controller) = 0;
};

enum class Ending { ok, fault, full, timedOut, unreachable, reset, cancelled, moot };
enum class Reason { none, noCircuit, turnedBack, processorFull, lineBusy };

/// The decisions of one office. Sessions and exchanges belong to the caller; an exchange lives as long as the
/// controller, a session until it is `over` with no INVITE ringing.
class Controller {
 public:
  virtual ~Controller() = default;

  virtual void round(Instant now, Arrivals& arrivals, Writer& writer) = 0;

  // Called by Arrivals within a round.
  virtual void listed(Exchange& exchange, Readiness readiness, Instant started) = 0;
  virtual void listFailed() = 0;
  virtual void circuits(Exchange& exchange, double free, double size) = 0;
  /// What the far processor says it can take, in set-ups a second from all offices.
  virtual void reported(Exchange& exchange, double canTake) = 0;
  virtual void incoming(Session& session) = 0;
  virtual void accepted(Session& session, Span postDialDelay) = 0;
  /// `farProcessor`: a turn-back because of the processor beyond. `toldWait`: none if none was named.
  virtual void ended(Session& session, Exchange& at, Ending ending, Reason reason, bool farProcessor, Span toldWait,
                     bool final) = 0;
  virtual void abandoned(Session& session) = 0;
};

/// `data` must outlive the controller.
std::unique_ptr<Controller> openOffice(const OfficeData& data, std::uint64_t seed);

}  // namespace thistlefold
