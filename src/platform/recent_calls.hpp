#pragma once

// Memory of calls that are over, by call id. Makes no decisions.

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "thistlefold/time.hpp"

namespace thistlefold::platform {

/// How an established call ended. A caller may name a call as established after its end: if its release arrived before
/// the call was named to a restarted softswitch, or crossed the naming.
struct EndedCall {
  int cause = 0;             ///< release cause
  bool isConfirmed = false;  ///< somebody besides the client that named it knew the call
};

/// A set-up that is over and may have been executed at an exchange. A caller may use its id again.
struct ExecutedSetup {
  Instant endedAt;
  bool repeatable = true;  ///< its service may be executed twice
};

/// A record for each of the calls that ended lately.
template <typename Record>
class RecentCalls {
 public:
  /// Holds at most `capacity` records, each for `retention`; at the limit the oldest is forgotten.
  RecentCalls(std::size_t capacity, Span retention) : capacity_(capacity), retention_(retention) {}

  /// Remembers a call, unless it is remembered already.
  void add(const std::string& id, const Record& record, Instant now) {
    if (!find(id)) replace(id, record, now);
  }
  /// Remembers a call by this record alone.
  void replace(const std::string& id, const Record& record, Instant now) {
    entries_.insert_or_assign(id, Entry{record, ++lastNumber_});
    byAge_.push_back({id, lastNumber_, now});
    if (byAge_.size() > capacity_) forgetOldest();
  }
  /// The record of a call; nullopt if it is not remembered.
  std::optional<Record> find(const std::string& id) const {
    const auto it = entries_.find(id);
    return it == entries_.end() ? std::nullopt : std::optional(it->second.record);
  }
  /// Forgets the calls whose time is over.
  void expire(Instant now) {
    while (!byAge_.empty() && now - byAge_.front().addedAt > retention_) forgetOldest();
  }

 private:
  struct Entry {
    Record record;
    std::size_t number;  // of its Age
  };
  struct Age {
    std::string id;
    std::size_t number;
    Instant addedAt;
  };
  void forgetOldest() {
    const auto it = entries_.find(byAge_.front().id);
    if (it != entries_.end() && it->second.number == byAge_.front().number) entries_.erase(it);
    byAge_.pop_front();
  }

  std::size_t capacity_;
  Span retention_;
  std::size_t lastNumber_ = 0;
  std::deque<Age> byAge_;  // oldest first; those of replaced records stay until their time is over
  std::unordered_map<std::string, Entry> entries_;
};

using EndedCalls = RecentCalls<EndedCall>;
using ExecutedSetups = RecentCalls<ExecutedSetup>;

}  // namespace thistlefold::platform
