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
  bool wasCut = false;

  Instant dialled;     // when the first try for it came
  Instant due;         // when it is to be looked at next
  double lot = 0;      // drawn once, from 0 to below 1
  bool taken = false;  // told of; a second telling changes nothing
  bool over = false;
  bool standing = false;
  bool mayHaveRun = false;
  int invites = 0;
  Exchange* ringingAt = nullptr;
  Instant sentAt;
  std::vector<const Exchange*> tried;
};

}  // namespace thistlefold
