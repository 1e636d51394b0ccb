#include "platform/ended_calls.hpp"

namespace thistlefold::platform {

void EndedCalls::add(const std::string& id, int cause, Instant now) {
  if (!causes_.emplace(id, cause).second) return;
  byAge_.push_back({id, now});
  if (byAge_.size() > capacity_) forgetOldest();
}

std::optional<int> EndedCalls::causeOf(const std::string& id) const {
  const auto it = causes_.find(id);
  return it == causes_.end() ? std::nullopt : std::optional(it->second);
}

void EndedCalls::expire(Instant now) {
  while (!byAge_.empty() && now - byAge_.front().endedAt > retention_) forgetOldest();
}

void EndedCalls::forgetOldest() {
  causes_.erase(byAge_.front().id);
  byAge_.pop_front();
}

}  // namespace thistlefold::platform
