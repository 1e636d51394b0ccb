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
struct OfficeConfig {
  std::vector<Service> services;
  bool usesPools = false;
  int fleetSize = 0;  // of the whole fleet; none: not told
  int maxInvites = 1;
  bool mustSubscribe = false;  // the directory tells only those who asked
  Span listStaleAfter;
  bool honoursRetryAfter = false;
  Span longestRetryAfter;
  Span releaseTime;
  Span retransmitAfter;  // a set-up that waits is repeated after this; none: never
  double coldCapacityShare = 0;
  Span warmUpTime;
  double overloadFactor = 0;
  Span overloadWindow;
};

}  // namespace thistlefold
