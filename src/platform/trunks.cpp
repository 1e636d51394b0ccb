// The connections of a softswitch to exchanges: opening and closing them within the limits, and finding out by them
// which exchanges have ended.

#include <algorithm>

#include "platform/connections.hpp"
#include "platform/softswitch.hpp"

namespace thistlefold::platform {
namespace {

// Maximum number of connections to one exchange. Each set-up has a connection of its own, so that a corrupt or
// unresponsive one affects no other set-up. At the limit, a set-up shares the connection that carries the fewest.
constexpr std::size_t kMaxConnectionsPerPeer = 12;
// Share of all connections that exchanges may hold together. Callers have half.
constexpr double kTrunkShare = 0.35;
// A connection on which nothing was received for this long is closed, except for the spare ones.
constexpr Span kTrunkIdleTimeout = Span::ms(10000);
constexpr std::size_t kSpareTrunkConnections = 2;
// A connection on which a set-up timed out is suspect: it gets no other set-up until something is received on it, and
// is closed after this time.
constexpr Span kSuspectTimeout = Span::ms(2000);
// While connection attempts fail, the back-off between them doubles from kInitialBackoff to this.
constexpr Span kMaxBackoff = Span::ms(800);
// An exchange that refuses connections for this long while none is established counts as dead, and its calls as
// dropped.
constexpr Span kDeadAfterRefusals = Span::ms(1000);
// If an exchange with established calls is silent, a new connection tests whether it is alive: a machine that has
// vanished accepts none, and only this softswitch can notify the callers. The platform requires that they are notified
// within eight seconds.
constexpr Span kSilenceBeforeCheck = Span::ms(1500);
constexpr Span kLivenessCheckInterval = Span::ms(800);
constexpr Span kVanishedAfter = Span::ms(5000);

}  // namespace

void Softswitch::onConnectFailed(Peer& peer, bool refused) {
  ++counters_.failedConnects;
  ++peer.failedConnects;
  // A timeout counts like a refusal only if the bulletin lists the exchange as gone too.
  if (!refused && peer.readiness != Readiness::gone) return;
  const bool anyConnected = std::any_of(peer.connections.begin(), peer.connections.end(),
                                        [](const auto& candidate) { return candidate->connected; });
  if (!anyConnected) peer.refusedSince = std::min(peer.refusedSince, now_);
}

// Makes room for the first connection to an exchange: the exchange with the most connections loses an idle one.
bool Softswitch::evictIdleConnectionFor(const Peer& peer) {
  if (!peer.connections.empty()) return false;
  Peer* largest = nullptr;
  TrunkConnection* evicted = nullptr;
  for (const auto& [id, listed] : registry_.all()) {
    auto& other = static_cast<Peer&>(*listed);
    if (other.connections.size() < 2 || (largest != nullptr && other.connections.size() <= largest->connections.size()))
      continue;
    const auto idle = std::find_if(other.connections.begin(), other.connections.end(), [](const auto& connection) {
      return connection->invitedCalls.empty() && !connection->stream->hasUnreadData();
    });
    if (idle == other.connections.end()) continue;
    largest = &other;
    evicted = idle->get();
  }
  if (evicted == nullptr) return false;
  dropConnection(*evicted, InviteOutcome::unreachable);
  return true;
}

TrunkConnection* Softswitch::openConnection(Peer& peer) {
  if (static_cast<double>(trunkConnectionCount_) >= kTrunkShare * deployment_.maxConnections &&
      !evictIdleConnectionFor(peer))
    return nullptr;
  Stream* stream = connector_->connect(peer.address);
  if (stream == nullptr) return nullptr;
  ++counters_.connectAttempts;
  ++trunkConnectionCount_;
  auto connection = std::make_unique<TrunkConnection>();
  connection->type = Connection::Type::trunk;
  connection->stream = stream;
  connection->peer = &peer;
  connection->connectStartedAt = connection->lastReceivedAt = connection->lastRequestAt = now_;
  stream->userData = connection.get();
  peer.connections.push_back(std::move(connection));
  return peer.connections.back().get();
}

// Selects the connection for a set-up: of those that carry no set-up the one on which data was received last, otherwise
// a new one, otherwise the one that carries the fewest set-ups.
TrunkConnection* Softswitch::selectConnection(Peer& peer) {
  if (!peer.hasProcess()) return nullptr;
  TrunkConnection* best = nullptr;
  for (const auto& connection : peer.connections) {
    // If output is queued, the exchange does not read, and the set-up would be sent at an unpredictable time.
    if (!connection->connected || connection->suspect || !connection->invitedCalls.empty() ||
        connection->stream->unsentBytes() > 0)
      continue;
    if (best == nullptr || connection->lastReceivedAt > best->lastReceivedAt) best = connection.get();
  }
  if (best != nullptr) return best;
  if (peer.connections.size() < kMaxConnectionsPerPeer) {
    for (const auto& connection : peer.connections) {
      if (!connection->connected && connection->invitedCalls.empty()) return connection.get();
    }
    if (TrunkConnection* connection = openConnection(peer)) return connection;
  }
  for (const auto& connection : peer.connections) {
    if (connection->suspect) continue;
    if (best == nullptr || connection->invitedCalls.size() < best->invitedCalls.size()) best = connection.get();
  }
  return best;
}

// Closes a connection to an exchange, or removes one that has ended. Set-ups that were written to it may have been
// executed; those that were not end with `outcomeIfUnsent`.
void Softswitch::dropConnection(TrunkConnection& connection, InviteOutcome outcomeIfUnsent) {
  Peer& peer = *connection.peer;
  const bool wasConnected = connection.connected;
  connection.connected = false;
  if (connection.stream != nullptr) connection.stream->close();
  connection.stream = nullptr;
  const auto invitedCalls = std::move(connection.invitedCalls);
  connection.invitedCalls.clear();
  for (const SentRelease& release : connection.sentReleases) {
    if (now_ - release.sentAt < kReleaseRepeatWindow) sendRelease(peer, nullptr, release.id, release.cause);
  }
  for (Call* call : invitedCalls) {
    if (wasConnected) sendRelease(peer, nullptr, call->id, kCauseNormalClearing);
    endInvite(*call, wasConnected ? InviteOutcome::reset : outcomeIfUnsent);
  }
  --trunkConnectionCount_;
  peer.nextConnectAt = now_ + peer.backoff;
  if (!wasConnected) peer.backoff = std::min(peer.backoff * 2.0, kMaxBackoff);
  const auto it = std::find_if(peer.connections.begin(), peer.connections.end(),
                               [&](const auto& candidate) { return candidate.get() == &connection; });
  closedConnections_.push_back(std::move(*it));
  peer.connections.erase(it);
}

// Removes an exchange whose process no longer exists: its calls are dropped, and no release is sent to it.
void Softswitch::retirePeer(Peer& peer) {
  dropEstablishedCalls(peer, Instant::never());
  peer.pendingReleases.clear();
  while (!peer.connections.empty()) dropConnection(*peer.connections.back(), InviteOutcome::unreachable);
  peer.pendingReleases.clear();
  peer.address = {};
}

// Drops the calls of an exchange that were established earlier than `before`.
void Softswitch::dropEstablishedCalls(Peer& peer, Instant before) {
  const auto establishedCalls = peer.establishedCalls;
  for (Call* call : establishedCalls) {
    if (call->establishedAt >= before) continue;
    sendRelease(peer, nullptr, call->id, kCauseNormalClearing);  // in case the call is still established there
    endEstablishedCall(*call, InviteOutcome::reset, kCauseTemporaryFailure);
  }
}

void Softswitch::maintainTrunks() {
  for (const auto& [id, listed] : registry_.all()) {
    auto& peer = static_cast<Peer&>(*listed);
    if (peer.own) continue;
    for (std::size_t i = peer.connections.size(); i-- > 0;) {
      TrunkConnection& connection = *peer.connections[i];
      if (!connection.connected) withdrawInvites(connection);
      if (!connection.connected && now_ - connection.connectStartedAt > deployment_.connectTimeout) {
        onConnectFailed(peer, false);
        dropConnection(connection, InviteOutcome::unreachable);
      } else if (connection.suspect && connection.invitedCalls.empty() &&
                 now_ - connection.lastRequestAt > kSuspectTimeout) {
        dropConnection(connection, InviteOutcome::unreachable);
        peer.nextConnectAt = now_;
      } else if (connection.connected && connection.invitedCalls.empty() &&
                 peer.connections.size() > kSpareTrunkConnections &&
                 now_ - connection.lastReceivedAt > kTrunkIdleTimeout) {
        dropConnection(connection, InviteOutcome::unreachable);
      }
    }
    if (peer.refusedSince != Instant::never() && now_ - peer.refusedSince > kDeadAfterRefusals)
      dropEstablishedCalls(peer, Instant::never());
    if (!peer.hasProcess()) continue;
    const Span silence = now_ - peer.lastAliveAt;
    if (!peer.establishedCalls.empty() && silence > kSilenceBeforeCheck &&
        now_ - peer.livenessCheckedAt > kLivenessCheckInterval) {
      peer.livenessCheckedAt = now_;
      if (peer.connections.size() < kMaxConnectionsPerPeer) openConnection(peer);
    }
    if (silence > kVanishedAfter && peer.failedConnects >= 2) dropEstablishedCalls(peer, Instant::never());
    const bool isWanted =
        peer.readiness == Readiness::ready || !peer.establishedCalls.empty() || !peer.pendingReleases.empty();
    const bool hasUsable = std::any_of(peer.connections.begin(), peer.connections.end(),
                                       [](const auto& connection) { return !connection->suspect; });
    if (isWanted && !hasUsable && peer.connections.size() < kMaxConnectionsPerPeer && peer.nextConnectAt <= now_)
      openConnection(peer);
    if (peer.readiness == Readiness::gone && peer.establishedCalls.empty()) {
      peer.pendingReleases.clear();
      for (std::size_t i = peer.connections.size(); i-- > 0;) {
        if (peer.connections[i]->invitedCalls.empty()) dropConnection(*peer.connections[i], InviteOutcome::unreachable);
      }
    }
  }
}

}  // namespace thistlefold::platform
