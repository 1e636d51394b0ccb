#pragma once

#include <cstdint>
#include <vector>

#include "thistlefold/office_config.hpp"
#include "thistlefold/time.hpp"

namespace thistlefold {

struct Exchange;

/// A session taken by this office. The upper part is filled in at the door, the lower belongs to the module.
struct Session {
  const Service* service = nullptr;
  double width = 1;
  Exchange* destination = nullptr;
  Instant timerLimit;
  std::uint64_t dialledNumber = 0;
  bool transit = false;
  bool isReconnect = false;

  Instant firstDialledAt;    // when the first try for it came
  Instant nextDecisionAt;    // when it is to be looked at next
  double admissionDraw = 0;  // drawn once, from 0 to below 1
  bool received = false;     // told of; a second telling changes nothing
  bool finished = false;
  bool established = false;
  bool mayHaveExecuted = false;
  int invites = 0;
  Exchange* pendingAt = nullptr;
  Instant sentAt;
  std::vector<const Exchange*> tried;
};

}  // namespace thistlefold
