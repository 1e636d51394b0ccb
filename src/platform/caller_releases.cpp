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
// A release on a connection that never carried a call, or that is not read, is repeated on one that did and is, unless
// it is acknowledged within this time. The platform requires that callers are notified within one second.
constexpr Span kAcknowledgementTimeout = Span::ms(500);
// How long such a release is kept if there is no other connection.
constexpr Span kMaxUnacknowledgedTime = Span::ms(10000);

}  // namespace

// Selects the connection for a release whose set-up's connection is closed: of those with the most evidence of a
// caller, the one that sent a message last, unless its client does not read. Connections without a usable set-up, and
// those that sent an invalid message before they had an established call, are strangers and must not learn of calls.
CallerConnection* Softswitch::selectCaller() const {
  CallerConnection* best = nullptr;
  const auto rank = [](const CallerConnection& connection) {
    return std::tuple(connection.evidence, connection.isRead(), connection.lastMessageAt);
  };
  for (const auto& connection : callers_) {
    if (connection->evidence == CallerEvidence::none) continue;
    if (connection->evidence == CallerEvidence::setup && connection->invalidMessages > 0) continue;
    if (best == nullptr || rank(*connection) > rank(*best)) best = connection.get();
  }
  return best;
}

// Writes a release on `connection`, or if that is null on the best one. If there is none, the release is stored.
void Softswitch::deliverRelease(CallerConnection* connection, const std::string& id, int cause) {
  if (connection == nullptr) connection = selectCaller();
  if (connection != nullptr) return writeCallerRelease(*connection, id, cause);
  if (undeliveredReleases_.size() < kMaxUndeliveredReleases) undeliveredReleases_.push_back({id, cause});
}

void Softswitch::writeCallerRelease(CallerConnection& connection, const std::string& id, int cause) {
  connection.stream->send(writeMessage(MessageKind::release, id, {}, cause));
  if (connection.evidence == CallerEvidence::none) return;  // a stranger's own word alone: nobody else is told of it
  if (connection.sentReleases.size() == kMaxStoredReleases)
    connection.sentReleases.erase(connection.sentReleases.begin());
  connection.sentReleases.push_back({id, cause, now_});
}

// Repeats on another connection the releases that a closed one may not have delivered.
void Softswitch::repeatReleases(const CallerConnection& closed) {
  for (const SentRelease& release : closed.sentReleases) deliverRelease(nullptr, release.id, release.cause);
}

void Softswitch::maintainCallerReleases() {
  if (!undeliveredReleases_.empty() && selectCaller() != nullptr) {
    for (const UndeliveredRelease& release : std::exchange(undeliveredReleases_, {}))
      deliverRelease(nullptr, release.id, release.cause);
  }
  for (const auto& connection : callers_) {
    if (connection->sentReleases.empty()) continue;
    if (!connection->isTrusted()) {
      CallerConnection* best = selectCaller();
      if (best != nullptr && best->isTrusted()) moveUnacknowledgedReleases(*connection, *best);
    }
    std::erase_if(connection->sentReleases, [&](const SentRelease& release) {
      const Span age = now_ - release.sentAt;
      return connection->isTrusted() ? age > kReleaseRepeatWindow : age > kMaxUnacknowledgedTime;
    });
  }
}

// Repeats on `to` the releases that were not acknowledged on `from`, which is not read or whose client may not be the
// caller.
void Softswitch::moveUnacknowledgedReleases(CallerConnection& from, CallerConnection& to) {
  std::erase_if(from.sentReleases, [&](const SentRelease& release) {
    if (now_ - release.sentAt < kAcknowledgementTimeout) return false;
    writeCallerRelease(to, release.id, release.cause);
    return true;
  });
}

}  // namespace thistlefold::platform
