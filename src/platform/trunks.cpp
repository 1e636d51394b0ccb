// The connections of a softswitch to exchanges: opening and closing them within the limits, and finding out by them
// which exchanges have ended.

#include <algorithm>
#include <optional>
#include <tuple>

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
// Connection attempts since it was last alive that have failed, or have been pending for kLateConnect, after which a
// silent exchange counts as vanished. The deployment's connect timeout may be longer than callers can wait.
constexpr std::ptrdiff_t kFailedConnectsIfVanished = 2;
constexpr Span kLateConnect = Span::ms(1500);
// Connections above the share that are kept for the established calls of silent exchanges, for when every other one
// carries a set-up.
constexpr double kReservedTrunkConnections = 4;
// With more exchanges than connections, an exchange's only connection is closed for another exchange no earlier than
// this. Until then the exchange has reported its load and what it has to release.
constexpr Span kMinConnectionTime = Span::ms(500);

// Order in which connections are closed to make room at the limits: an exchange with several loses one before any loses
// its only one. A silent connection of the exchange that room is made for is of no use to its calls.
enum class EvictionRank { ownSpare, othersSpare, ownOnly, onlyWithoutCalls, onlyWithCalls };

// The rank of the connections of `other` if room is made for one to `peer`; nullopt if they have to stay.
std::optional<EvictionRank> evictionRank(const Peer& other, const Peer& peer, ConnectionNeed need) {
  const bool isSpare = other.connections.size() > 1;
  if (&other == &peer) {
    if (need != ConnectionNeed::calls) return std::nullopt;
    return isSpare ? EvictionRank::ownSpare : EvictionRank::ownOnly;
  }
  if (peer.connections.size() >= kMaxConnectionsPerPeer) return std::nullopt;
  if (need != ConnectionNeed::calls && !peer.connections.empty()) return std::nullopt;
  if (isSpare) return EvictionRank::othersSpare;
  if (need == ConnectionNeed::standby) return std::nullopt;
  const bool hasCalls = !other.establishedCalls.empty() || !other.pendingReleases.empty();
  return hasCalls ? EvictionRank::onlyWithCalls : EvictionRank::onlyWithoutCalls;
}

// An idle connection that may be closed to make room; the least is closed first.
struct EvictionCandidate {
  EvictionRank rank;
  std::size_t peerConnections;  // of its exchange; the one with the most loses one
  TrunkConnection* connection;

  bool operator<(const EvictionCandidate& other) const {
    return std::tuple(rank, other.peerConnections, connection->lastReceivedAt) <
           std::tuple(other.rank, peerConnections, other.connection->lastReceivedAt);
  }
};

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

double Softswitch::maxTrunkConnections() const { return kTrunkShare * deployment_.maxConnections; }

// Whether a release on a connection may not have arrived yet, so that it would be repeated if the connection ended.
bool Softswitch::hasRecentRelease(const TrunkConnection& connection) const {
  return !connection.sentReleases.empty() && now_ - connection.sentReleases.back().sentAt < kReleaseRepeatWindow;
}

// Selects the idle connection that is closed at the limits for one to `peer`; nullptr if there is none.
TrunkConnection* Softswitch::selectEvicted(const Peer& peer, ConnectionNeed need) const {
  std::vector<EvictionCandidate> candidates;
  for (const auto& [id, listed] : registry_.all()) {
    const auto& other = static_cast<const Peer&>(*listed);
    const auto rank = evictionRank(other, peer, need);
    if (!rank) continue;
    for (const auto& connection : other.connections) {
      if (!connection->isIdle() || hasRecentRelease(*connection)) continue;
      if (*rank >= EvictionRank::onlyWithoutCalls && now_ - connection->connectStartedAt < kMinConnectionTime) continue;
      candidates.push_back({*rank, other.connections.size(), connection.get()});
    }
  }
  std::sort(candidates.begin(), candidates.end());
  const auto evicted = std::find_if(candidates.begin(), candidates.end(), [](const EvictionCandidate& candidate) {
    return !candidate.connection->stream->hasUnreadData();
  });
  return evicted == candidates.end() ? nullptr : evicted->connection;
}

// Returns whether a connection to `peer` may be opened, after closing others while a limit is reached.
bool Softswitch::makeRoomFor(const Peer& peer, ConnectionNeed need) {
  const double limit = maxTrunkConnections();
  while (peer.connections.size() >= kMaxConnectionsPerPeer || static_cast<double>(trunkConnectionCount_) >= limit) {
    TrunkConnection* evicted = selectEvicted(peer, need);
    if (evicted == nullptr) {
      // Every other connection carries a set-up.
      return need == ConnectionNeed::calls && peer.connections.size() <= kMaxConnectionsPerPeer &&
             static_cast<double>(trunkConnectionCount_) < limit + kReservedTrunkConnections;
    }
    dropConnection(*evicted, InviteOutcome::unreachable);
  }
  return true;
}

TrunkConnection* Softswitch::openConnection(Peer& peer, ConnectionNeed need) {
  if (!makeRoomFor(peer, need)) return nullptr;
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

// Whether an INVITE of a call was rejected on a connection so lately that a second copy of the release may come.
bool Softswitch::hasRejected(const TrunkConnection& connection, const std::string& id) const {
  return std::any_of(
      connection.rejectedInvites.begin(), connection.rejectedInvites.end(),
      [&](const RejectedInvite& rejected) { return rejected.id == id && now_ - rejected.endedAt < kCopyWindow; });
}

// Selects the connection for a set-up, none that has just rejected one of this call: of those that carry no set-up the
// one on which data was received last, otherwise a new one, otherwise the one that carries the fewest set-ups.
TrunkConnection* Softswitch::selectConnection(Peer& peer, const Call& call) {
  if (!peer.hasProcess()) return nullptr;
  TrunkConnection* best = nullptr;
  for (const auto& connection : peer.connections) {
    // If output is queued, the exchange does not read, and the set-up would be sent at an unpredictable time.
    if (!connection->connected || connection->suspect || !connection->invitedCalls.empty() ||
        connection->stream->unsentBytes() > 0 || hasRejected(*connection, call.id))
      continue;
    if (best == nullptr || connection->lastReceivedAt > best->lastReceivedAt) best = connection.get();
  }
  if (best != nullptr) return best;
  if (peer.connections.size() < kMaxConnectionsPerPeer) {
    for (const auto& connection : peer.connections) {
      if (!connection->connected && connection->invitedCalls.empty()) return connection.get();
    }
    if (TrunkConnection* connection = openConnection(peer, ConnectionNeed::setup)) return connection;
  }
  for (const auto& connection : peer.connections) {
    if (connection->suspect || hasRejected(*connection, call.id)) continue;
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
  if (connection.stream != nullptr) {
    // The exchange may just be sending a call's release, which it sends on no other connection that is open.
    connection.stream->closeAndDrain(
        [this, &peer, reader = connection.reader](Instant now, std::string_view bytes) mutable {
          now_ = now;
          onLateExchangeData(peer, reader, bytes);
        });
  }
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

void Softswitch::closeStaleConnections(Peer& peer) {
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
    } else if (connection.isIdle() && peer.connections.size() > kSpareTrunkConnections &&
               now_ - connection.lastReceivedAt > kTrunkIdleTimeout) {
      dropConnection(connection, InviteOutcome::unreachable);
    }
  }
}

// Whether an exchange that has no usable connection may be connected to, as far as its back-off goes.
bool Softswitch::lacksConnection(const Peer& peer) const {
  return peer.nextConnectAt <= now_ && peer.connections.size() < kMaxConnectionsPerPeer &&
         std::none_of(peer.connections.begin(), peer.connections.end(),
                      [](const auto& connection) { return !connection->suspect; });
}

// Whether releases of an exchange with established calls may have been lost, and no connection was opened since on
// which it would repeat them.
bool Softswitch::lacksRepeatedReleases(const Peer& peer) const {
  return !peer.establishedCalls.empty() && peer.bytesLostAt > peer.newestConnectAt && peer.nextConnectAt <= now_ &&
         std::none_of(peer.connections.begin(), peer.connections.end(),
                      [&](const auto& connection) { return connection->connectStartedAt >= peer.bytesLostAt; });
}

// Whether calls need a new connection to an exchange: it is owed a release and has no connection, or some of its own
// may have been lost, or it is silent and has established calls, so that it may have vanished or have releases that it
// could not send.
bool Softswitch::isContactDue(const Peer& peer) const {
  if (peer.own || !peer.hasProcess()) return false;
  if (!peer.pendingReleases.empty() && lacksConnection(peer)) return true;
  if (lacksRepeatedReleases(peer)) return true;
  return !peer.establishedCalls.empty() && now_ - peer.lastAliveAt > kSilenceBeforeCheck &&
         now_ - peer.contactedAt > kLivenessCheckInterval;
}

// Opens a connection to each exchange whose calls need one, to the one first that was not contacted for longest.
void Softswitch::contactPeersWithCalls() {
  std::vector<Peer*> due;
  for (const auto& [id, listed] : registry_.all()) {
    auto& peer = static_cast<Peer&>(*listed);
    if (isContactDue(peer)) due.push_back(&peer);
  }
  std::stable_sort(due.begin(), due.end(),
                   [](const Peer* a, const Peer* b) { return a->contactedAt < b->contactedAt; });
  for (Peer* peer : due) {
    if (openConnection(*peer, ConnectionNeed::calls) != nullptr) {
      peer->contactedAt = now_;
    } else if (peer->connections.size() <= kMaxConnectionsPerPeer) {
      break;  // there is no room for any of them
    }
  }
}

// Drops the calls of an exchange that refuses connections or whose machine has vanished.
void Softswitch::dropCallsIfDead(Peer& peer) {
  const bool isRefusing = peer.refusedSince != Instant::never() && now_ - peer.refusedSince > kDeadAfterRefusals;
  const auto lateConnects =
      std::count_if(peer.connections.begin(), peer.connections.end(), [this](const auto& connection) {
        return !connection->connected && now_ - connection->connectStartedAt > kLateConnect;
      });
  const bool hasVanished =
      now_ - peer.lastAliveAt > kVanishedAfter && peer.failedConnects + lateConnects >= kFailedConnectsIfVanished;
  if (isRefusing || hasVanished) dropEstablishedCalls(peer, Instant::never());
}

// Keeps a connection to each exchange that is in service or has calls, and none to one that has gone.
void Softswitch::maintainStandby(Peer& peer) {
  if (!peer.hasProcess()) return;
  const bool isWanted =
      peer.readiness == Readiness::ready || !peer.establishedCalls.empty() || !peer.pendingReleases.empty();
  if (!isWanted) peer.refusedSince = Instant::never();  // nothing is tried, so it says nothing about later calls
  if (isWanted && lacksConnection(peer)) openConnection(peer, ConnectionNeed::standby);
  if (peer.readiness == Readiness::gone && peer.establishedCalls.empty()) {
    peer.pendingReleases.clear();
    for (std::size_t i = peer.connections.size(); i-- > 0;) {
      if (peer.connections[i]->invitedCalls.empty()) dropConnection(*peer.connections[i], InviteOutcome::unreachable);
    }
  }
}

void Softswitch::maintainTrunks() {
  std::vector<Peer*> peers;
  for (const auto& [id, listed] : registry_.all()) {
    if (!listed->own) peers.push_back(static_cast<Peer*>(listed.get()));
  }
  for (Peer* peer : peers) {
    closeStaleConnections(*peer);
    dropCallsIfDead(*peer);
  }
  contactPeersWithCalls();
  for (Peer* peer : peers) maintainStandby(*peer);
}

}  // namespace thistlefold::platform
