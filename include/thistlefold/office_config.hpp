#pragma once

#include <vector>

#include "thistlefold/time.hpp"

namespace thistlefold {

/// A service that subscribers dial.
struct Service {
  double value = 1;
  double lateValue = 0;
  Span postDialTarget;
  Span timerLimit;
  Span meanHold;
  bool repeatable = true;  // an INVITE that may have run may be followed by another
  std::vector<int> pools;  // places of the pools with the skill; empty: any
};

/// What one office is told when it is put into service.
struct OfficeData {
  std::vector<Service> services;
  bool pools = false;
  int offices = 0;  // of the whole fleet; none: not told
  int maxInvites = 1;
  bool mustSubscribe = false;  // the directory tells only those who asked
  Span askWithin;
  bool takesRetryAfter = false;
  Span longestRetryAfter;
  Span clearWait;
  Span repeatAfter;  // a set-up that waits is repeated after this; none: never
  double coldFrom = 0;
  Span warmAfter;
  double fallMultiple = 0;
  Span tipAfter;
};

}  // namespace thistlefold
