#pragma once

#include <vector>

#include "thistlefold/time.hpp"

namespace thistlefold {

/// A service that subscribers dial.
struct Service {
  double value = 1;        ///< earned by a session established within the post-dial target
  double lateValue = 0;    ///< share of `value` earned by one established after the target
  Span postDialTarget;     ///< target for the post-dial delay, from the caller's first try
  Span timerLimit;         ///< longest time for which a caller waits for an answer
  Span meanHold;           ///< mean hold time of an established session
  bool repeatable = true;  ///< whether an INVITE that may have executed may be followed by another
  std::vector<int> pools;  ///< places of the agent pools with the required skill; empty if any pool will do
};

/// Configuration of one office.
struct OfficeConfig {
  std::vector<Service> services;   ///< must not be resized while sessions refer to them
  bool usesPools = false;          ///< exchanges are interchangeable agent pools instead of a mesh with tandems
  int fleetSize = 0;               ///< offices in the whole fleet, including this one; 0 if unknown
  int maxInvites = 1;              ///< maximum number of INVITEs per session
  bool mustSubscribe = false;      ///< the directory sends the list of exchanges only to subscribers
  Span listStaleAfter;             ///< age at which a list counts as stale; bounds the back-off after listFailed()
  bool honoursRetryAfter = false;  ///< callers honour a retry-after
  Span longestRetryAfter;          ///< upper bound on a retry-after
  Span releaseTime;                ///< how long an unanswered or reset INVITE may hold circuits after it ended
  Span retransmitAfter;            ///< interval at which an unanswered set-up is retransmitted; none() if it is not
  double coldCapacityShare = 0;    ///< share of the warm capacity that a processor has when it starts
  Span warmUpTime;                 ///< time until a started processor has its full capacity
  double overloadFactor = 0;       ///< a processor fails if it receives more than this multiple of its capacity ...
  Span overloadWindow;             ///< ... within a period of this length
};

}  // namespace thistlefold
