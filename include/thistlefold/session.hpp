#pragma once

#include <cstdint>
#include <vector>

#include "thistlefold/office_config.hpp"
#include "thistlefold/time.hpp"

namespace thistlefold {

struct Exchange;

/// A session received by this office. The host sets the first group of fields before it reports the session; the second
/// group belongs to the controller.
struct Session {
  const Service* service = nullptr;  ///< must not be null
  double width = 1;                  ///< circuits that the session occupies on each leg
  Exchange* destination = nullptr;   ///< null if no exchange is known at the dialled place
  Instant timerLimit;                ///< when the caller stops waiting for an answer
  std::uint64_t dialledNumber = 0;   ///< number of the called subscriber
  bool transit = false;              ///< received from another office, for which this one is the tandem
  bool isReconnect = false;          ///< the caller dials again because its established session was dropped

  Instant firstDialledAt;         ///< when the caller made its first try, of which this session may be a redial
  Instant nextDecisionAt;         ///< no INVITE and no refusal is decided on before
  double admissionDraw = 0;       ///< random number in [0, 1), drawn once per session
  bool received = false;          ///< reported to the controller; further reports are ignored
  bool finished = false;          ///< has a final answer, was abandoned or has ended
  bool established = false;       ///< answered and not ended yet
  bool mayHaveExecuted = false;   ///< one of its INVITEs may have taken effect at the destination
  int invites = 0;                ///< INVITEs sent so far
  Exchange* pendingAt = nullptr;  ///< where its INVITE is pending or the session established, null if neither
  Instant sentAt;                 ///< when the last INVITE was sent
  std::vector<const Exchange*> triedExchanges;  ///< to which an INVITE was sent or could not be sent
};

}  // namespace thistlefold
