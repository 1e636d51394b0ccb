// The connections of callers: their messages, what their end gives up, and the limits on them.

#include <algorithm>

#include "platform/connections.hpp"
#include "platform/softswitch.hpp"

namespace thistlefold::platform {
namespace {

// Share of all connections that callers may hold. Exchanges have 35%; the rest is for the bulletin and for connections
// that are closing.
constexpr double kCallerShare = 0.5;
// The platform requires that a caller without a valid message is rejected or closed within three seconds of connecting.
// Until shortly before that, a set-up may arrive in pieces.
constexpr Span kValidMessageTimeout = Span::ms(2700);
// A caller that connects is read within this time, even in a flood of connections.
constexpr Span kRecentActivity = Span::ms(100);
// The platform's callers close a connection after four seconds without a call. A longer idle one is closed after this.
constexpr Span kCallerIdleTimeout = Span::ms(6000);
// Invalid messages after which a connection is closed.
constexpr int kMaxInvalidMessages = 8;

// Order in which callers' connections are closed to make room at the limit.
enum class EvictionRank {
  silent,     // never sent a valid message
  idle,       // did so, and is quiet
  namedCall,  // named calls that stand by its word alone
  active,     // connected or sent something just now, or is in the middle of a message: a set-up may be on its way
  hadCall,    // had an established call
  carriesCall
};

EvictionRank evictionRank(const CallerConnection& connection, Instant now) {
  if (connection.evidence == CallerEvidence::establishedCall)
    return connection.establishedCalls > 0 ? EvictionRank::carriesCall : EvictionRank::hadCall;
  if (now - connection.lastMessageAt < kRecentActivity || connection.reader.hasPartialLine())
    return EvictionRank::active;
  if (connection.establishedCalls > 0) return EvictionRank::namedCall;
  return connection.hasSentValidMessage ? EvictionRank::idle : EvictionRank::silent;
}

}  // namespace

void Softswitch::onAccepted(Instant now, Stream& stream) {
  now_ = now;
  const auto maxCallers = static_cast<std::size_t>(kCallerShare * deployment_.maxConnections);
  if (callers_.size() >= maxCallers) {
    // Evicts the connection with the least rank that has no pending set-up; of equals the one that has been silent for
    // longest. A connection with unread data stays, as the data may be a set-up. If all have to stay, the new
    // connection is rejected.
    const auto rank = [now](const CallerConnection& connection) {
      return std::pair(evictionRank(connection, now), connection.lastMessageAt);
    };
    std::vector<CallerConnection*> idle;
    for (const auto& connection : callers_) {
      if (connection->pendingSetups == 0) idle.push_back(connection.get());
    }
    CallerConnection* evicted = nullptr;
    while (evicted == nullptr && !idle.empty()) {
      const auto next =
          std::min_element(idle.begin(), idle.end(),
                           [&](const CallerConnection* a, const CallerConnection* b) { return rank(*a) < rank(*b); });
      if (!(*next)->stream->hasUnreadData()) evicted = *next;
      idle.erase(next);
    }
    ++counters_.limitHits;
    if (evicted == nullptr) return stream.abort();
    closeCaller(*evicted, true);
  }
  auto connection = std::make_unique<CallerConnection>();
  connection->type = Connection::Type::caller;
  connection->stream = &stream;
  connection->connectedAt = connection->lastMessageAt = now;
  stream.userData = connection.get();
  callers_.push_back(std::move(connection));
}

void Softswitch::onCallerMessage(CallerConnection& connection, std::string_view line) {
  const auto message = readMessage(line);
  if (!message) {
    // The next byte need not be the start of a message, so the rest of the stream can't be read.
    ++counters_.invalidFromCallers;
    connection.stream->send(writeMessage(MessageKind::release, "0000000000000000", {}, kCauseInvalidContents));
    return closeCaller(connection);
  }
  connection.lastMessageAt = now_;
  switch (message->kind) {
    case MessageKind::setup:
      return onSetup(connection, *message);
    case MessageKind::release: {
      const auto it = calls_.find(message->id);
      if (it == calls_.end() || it->second->state == Call::State::finished) {
        if (message->id.empty()) return rejectInvalid(connection, message->id);
        connection.stream->send(writeMessage(MessageKind::released, message->id, {}));
        return;
      }
      connection.hasSentValidMessage = true;
      connection.stream->send(writeMessage(MessageKind::released, message->id, {}));
      return onCallerRelease(*it->second, message->cause.value_or(kCauseNormalClearing));
    }
    case MessageKind::ping: {
      connection.hasSentValidMessage = true;
      const bool acceptsCalls = stoppingSince_ == Instant::never();
      connection.stream->send(writeMessage(MessageKind::pong, message->id, {}, acceptsCalls ? 1 : 0));
      return;
    }
    case MessageKind::released:
      std::erase_if(connection.sentReleases, [&](const auto& release) { return release.id == message->id; });
      return;
    case MessageKind::progress:
      return;
    default:
      return rejectInvalid(connection, message->id);
  }
}

void Softswitch::rejectInvalid(CallerConnection& connection, std::string_view id) {
  ++counters_.invalidFromCallers;
  connection.stream->send(
      writeMessage(MessageKind::release, id.empty() ? "0000000000000000" : id, {}, kCauseInvalidContents));
  if (id.empty() || ++connection.invalidMessages >= kMaxInvalidMessages) closeCaller(connection);
}

// Ends a call that its caller has released, or a set-up that the caller has abandoned by closing.
void Softswitch::onCallerRelease(Call& call, int cause) {
  if (call.state == Call::State::established) {
    sendRelease(*call.peer, nullptr, call.id, cause);
    std::erase(call.peer->establishedCalls, &call);
    if (!call.knownToController) --adoptedCalls_;
    if (call.knownToController) {
      queuedEvents_.push_back([&call, peer = call.peer](Controller& to) {
        to.inviteEnded(call, *peer, InviteOutcome::cancelled, BlockingReason::none, false, Span::none(), true);
      });
    }
    call.state = Call::State::finished;
    rememberExecuted(call);
    detachEstablishedCall(call);
    finishedCallIds_.push_back(call.id);
    return;
  }
  ++counters_.abandoned;
  const bool wasInvited = call.state == Call::State::invited;
  Peer* peer = call.peer;
  if (wasInvited) {
    TrunkConnection& connection = *call.trunk;
    std::erase(connection.invitedCalls, &call);
    std::erase(invitedCalls_, &call);
    call.trunk = nullptr;
    if (connection.connected) {
      call.mayHaveRun = true;
      sendRelease(*peer, &connection, call.id, kCauseNormalClearing);
    }
  }
  queuedEvents_.push_back([&call, wasInvited, peer](Controller& to) {
    to.sessionAbandoned(call);
    if (wasInvited)
      to.inviteEnded(call, *peer, InviteOutcome::cancelled, BlockingReason::none, false, Span::none(), true);
  });
  if (call.caller != nullptr) {
    --call.caller->pendingSetups;
    std::erase(call.caller->heldSetups, &call);
  }
  --pendingSetups_;
  rememberExecuted(call);
  dropDescription(call);
  call.state = Call::State::finished;
  call.caller = nullptr;
  finishedCallIds_.push_back(call.id);
}

// Closes a caller's connection; each set-up that is pending on it gets a final answer first. `atOnce`: if nothing
// remains to be delivered the connection is aborted, which frees its file descriptor at once. A half-close counts as a
// close: the platform's callers abandon pending set-ups by closing, and a receiver can't tell the two apart.
void Softswitch::closeCaller(CallerConnection& connection, bool atOnce) {
  const bool hasPendingSetups = connection.pendingSetups > 0;
  for (auto& [id, call] : calls_) {
    if (call->caller != &connection) continue;
    if (call->isPending()) {
      if (connection.stream != nullptr)
        connection.stream->send(writeMessage(MessageKind::release, id, {}, kCauseTemporaryFailure));
      onCallerRelease(*call, kCauseNormalClearing);
    }
    call->caller = nullptr;  // an established call does not depend on a connection
  }
  if (connection.stream != nullptr) {
    // Closing a socket with unread data sends a reset, which destroys data that is still on its way to the caller.
    const bool nothingInTransit =
        !hasPendingSetups && connection.stream->unsentBytes() == 0 && !connection.stream->hasUnreadData();
    atOnce&& nothingInTransit ? connection.stream->abort() : connection.stream->close();
    connection.stream = nullptr;
  }
  const auto it = std::find_if(callers_.begin(), callers_.end(),
                               [&](const auto& candidate) { return candidate.get() == &connection; });
  closedConnections_.push_back(std::move(*it));
  callers_.erase(it);
  if (!connectionsClosed_) repeatReleases(connection);
}

void Softswitch::maintainCallers() {
  for (std::size_t i = callers_.size(); i-- > 0;) {
    CallerConnection& connection = *callers_[i];
    const bool neverValid = !connection.hasSentValidMessage && now_ - connection.connectedAt > kValidMessageTimeout;
    const bool isStuck =
        connection.partialLineSince != Instant::never() && now_ - connection.partialLineSince > kValidMessageTimeout;
    const bool isIdle = connection.pendingSetups == 0 && connection.establishedCalls == 0 &&
                        now_ - connection.lastMessageAt > kCallerIdleTimeout;
    if ((neverValid || isStuck || isIdle) && !connection.stream->hasUnreadData()) closeCaller(connection, true);
  }
  endedCalls_.expire(now_);
  executedSetups_.expire(now_);
  maintainCallerReleases();
}

}  // namespace thistlefold::platform
