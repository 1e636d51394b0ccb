#pragma once

// Memory of calls that are over, for callers that name them late. Makes no decisions.

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "thistlefold/time.hpp"

namespace thistlefold::platform {

/// How a call ended.
struct EndedCall {
  int cause = 0;             ///< release cause
  bool isConfirmed = false;  ///< somebody besides the client that named it knew the call
};

/// Calls that ended lately, by call id. A caller may name a call as established after its end: if
/// its release arrived before the call was named to a restarted softswitch, or crossed the naming.
class EndedCalls {
 public:
  /// Holds at most `capacity` calls, each for `retention`; at the limit the oldest is forgotten.
  EndedCalls(std::size_t capacity, Span retention) : capacity_(capacity), retention_(retention) {}

  /// Remembers that a call has ended. A call that is remembered already keeps its first end.
  void add(const std::string& id, EndedCall call, Instant now);
  /// How a call ended; nullopt if it is not known to have ended.
  std::optional<EndedCall> find(const std::string& id) const;
  /// Forgets the calls whose time is over.
  void expire(Instant now);

 private:
  struct Entry {
    std::string id;
    Instant endedAt;
  };
  void forgetOldest();

  std::size_t capacity_;
  Span retention_;
  std::deque<Entry> byAge_;  // oldest first
  std::unordered_map<std::string, EndedCall> calls_;
};

}  // namespace thistlefold::platform
