// Releases towards callers of calls that are over: the connection that each is written on, and its repetition if that
// connection ends before the caller can have heard it. A call belongs to no connection, so any of its caller's will do.

#include <algorithm>
#include <tuple>

#include "platform/connections.hpp"
#include "platform/softswitch.hpp"

namespace thistlefold::platform {
namespace {

// Releases kept while no caller is connected that could receive them.
constexpr std::size_t kMaxUndeliveredReleases = 16384;
// Releases kept for repetition on all callers' connections together. At the limit a connection forgets its oldest, but
// it keeps a few in any case.
constexpr std::size_t kMaxSentReleases = 16384;
constexpr std::size_t kMinSentReleases = 16;
// A release on a connection that never carried a call, or that is not read, is repeated on one that did and is, unless
// it is acknowledged within this time. The platform requires that callers are notified within one second.
constexpr Span kAcknowledgementTimeout = Span::ms(500);
// How long such a release is kept if there is no other connection.
constexpr Span kMaxUnacknowledgedTime = Span::ms(10000);

}  // namespace

// Selects the connection for a release whose set-up's connection is closed: of those with the most evidence of a
// caller, the one that sent a message last, unless its client does not read.
CallerConnection* Softswitch::selectCaller() const {
  CallerConnection* best = nullptr;
  const auto rank = [](const CallerConnection& connection) {
    return std::tuple(connection.evidence, connection.isRead(), connection.lastMessageAt);
  };
  for (const auto& connection : callers_) {
    if (!connection->mayBeCaller()) continue;
    if (best == nullptr || rank(*connection) > rank(*best)) best = connection.get();
  }
  return best;
}

// Writes a release on `connection`, or if that is null on the best one. If there is none, the release is stored.
void Softswitch::deliverRelease(CallerConnection* connection, const std::string& id, int cause) {
  const bool carriedCall = connection != nullptr;
  if (!carriedCall) connection = selectCaller();
  if (connection != nullptr) return writeCallerRelease(*connection, id, cause, carriedCall);
  if (undeliveredReleases_.size() < kMaxUndeliveredReleases) undeliveredReleases_.push_back({id, cause});
}

void Softswitch::writeCallerRelease(CallerConnection& connection, const std::string& id, int cause, bool carriedCall) {
  connection.stream->send(writeMessage(MessageKind::release, id, {}, cause));
  if (connection.evidence == CallerEvidence::none) return;  // a stranger's own word alone: nobody else is told of it
  if (connection.sentReleases.size() >= kMinSentReleases && sentReleaseCount_ >= kMaxSentReleases) {
    connection.sentReleases.erase(connection.sentReleases.begin());
  } else {
    ++sentReleaseCount_;
  }
  connection.sentReleases.push_back({{id, cause, now_}, carriedCall});
}

// Repeats on another connection the releases that a closed one may not have delivered.
void Softswitch::repeatReleases(const CallerConnection& closed) {
  for (const SentCallerRelease& release : closed.sentReleases) deliverRelease(nullptr, release.id, release.cause);
}

void Softswitch::maintainCallerReleases() {
  if (!undeliveredReleases_.empty() && selectCaller() != nullptr) {
    for (const UndeliveredRelease& release : std::exchange(undeliveredReleases_, {}))
      deliverRelease(nullptr, release.id, release.cause);
  }
  sentReleaseCount_ = 0;
  for (const auto& connection : callers_) sentReleaseCount_ += connection->sentReleases.size();
  for (const auto& connection : callers_) {
    if (connection->sentReleases.empty()) continue;
    repeatUnacknowledged(*connection);
    std::erase_if(connection->sentReleases, [&](const SentCallerRelease& release) {
      const Span age = now_ - release.sentAt;
      return connection->isTrustedWith(release) ? age > kReleaseRepeatWindow : age > kMaxUnacknowledgedTime;
    });
  }
}

// Repeats the releases that were not acknowledged on a connection which is not read or whose client may not be the
// caller: on one that can be trusted with them, or if there is none on all that may be the caller's.
void Softswitch::repeatUnacknowledged(CallerConnection& from) {
  const auto isDue = [&](const SentCallerRelease& release) {
    return !from.isTrustedWith(release) && now_ - release.sentAt >= kAcknowledgementTimeout;
  };
  if (std::none_of(from.sentReleases.begin(), from.sentReleases.end(), isDue)) return;
  CallerConnection* best = selectCaller();
  if (best != nullptr && best != &from && best->isTrusted()) {
    std::erase_if(from.sentReleases, [&](const SentCallerRelease& release) {
      if (!isDue(release)) return false;
      writeCallerRelease(*best, release.id, release.cause, false);
      return true;
    });
    return;
  }
  for (SentCallerRelease& release : from.sentReleases) {
    if (!isDue(release) || release.wasSpread) continue;
    release.wasSpread = true;
    spreadRelease(from, release);
  }
}

// Writes a release on every connection that may be its caller's, except `from`.
void Softswitch::spreadRelease(const CallerConnection& from, const SentRelease& release) {
  for (const auto& connection : callers_) {
    if (connection.get() == &from || !connection->mayBeCaller() || !connection->isRead()) continue;
    connection->stream->send(writeMessage(MessageKind::release, release.id, {}, release.cause));
  }
}

}  // namespace thistlefold::platform
