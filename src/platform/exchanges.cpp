// The part of a softswitch that serves exchanges: connections to them, INVITEs, established calls and load reports.

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
// Releases of one connection that may be repeated on another.
constexpr std::size_t kMaxSentReleases = 64;

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

void Softswitch::writeSetup(TrunkConnection& connection, Call& call) {
  // The description is kept, as the controller may send the call to another exchange.
  const Fields fields = {{"class", deployment_.services[call.serviceIndex]},
                         {"key", call.key},
                         {"left", formatMilliseconds(std::max(call.giveUpAt - now_, Span::ms(1)))}};
  connection.lastRequestAt = now_;
  connection.stream->send(writeMessage(MessageKind::setup, call.id, fields, -1, call.description));
}

void Softswitch::invite(const Session& session, const Exchange& to, Span giveUpAfter) {
  // Both objects are owned by this softswitch; the interface is const because the controller only reads them.
  Call& call = const_cast<Call&>(static_cast<const Call&>(session));
  Peer& peer = const_cast<Peer&>(static_cast<const Peer&>(to));
  ++counters_.invites;
  call.peer = &peer;
  call.giveUpAt = std::min(now_ + giveUpAfter, call.timerLimit);
  std::erase_if(peer.pendingReleases, [&](const auto& release) { return release.first == call.id; });
  for (const auto& connection : peer.connections)
    std::erase_if(connection->sentReleases, [&](const SentRelease& release) { return release.id == call.id; });
  TrunkConnection* connection = selectConnection(peer);
  if (connection == nullptr) {
    // No connection exists and no file descriptor is left for one, or the exchange has no address any more.
    ++counters_.limitHits;
    queuedEvents_.push_back([&call, &peer](Controller& controller) {
      controller.inviteEnded(call, peer, InviteOutcome::notSent, BlockingReason::none, false, Span::none(), false);
    });
    return;
  }
  call.state = Call::State::invited;
  call.trunk = connection;
  connection->invitedCalls.push_back(&call);
  invitedCalls_.push_back(&call);
  if (connection->connected) writeSetup(*connection, call);
}

// Writes a release on `connection` if that is established, otherwise on the best other one. If there is none, the
// release is stored until a connection is established.
void Softswitch::sendRelease(Peer& peer, TrunkConnection* connection, const std::string& id, int cause) {
  if (connection == nullptr || !connection->connected || connection->stream == nullptr) {
    connection = nullptr;
    for (const auto& candidate : peer.connections) {
      if (!candidate->connected || candidate->stream == nullptr) continue;
      if (connection == nullptr || std::pair(!candidate->suspect, candidate->lastReceivedAt) >
                                       std::pair(!connection->suspect, connection->lastReceivedAt))
        connection = candidate.get();
    }
  }
  if (connection != nullptr) return writeRelease(*connection, id, cause);
  if (peer.pendingReleases.size() < kMaxStoredReleases) peer.pendingReleases.emplace_back(id, cause);
}

void Softswitch::writeRelease(TrunkConnection& connection, const std::string& id, int cause) {
  connection.stream->send(writeMessage(MessageKind::release, id, {}, cause));
  if (connection.sentReleases.size() == kMaxSentReleases)
    connection.sentReleases.erase(connection.sentReleases.begin());
  connection.sentReleases.push_back({id, cause, now_});
}

// Returns INVITEs that wait for their connection to the controller, as not sent, if the exchange was since reported as
// draining or gone, was restarted or has lost its address.
void Softswitch::withdrawInvites(TrunkConnection& connection) {
  const Peer& peer = *connection.peer;
  const bool hasLeft = peer.readiness != Readiness::ready || !peer.hasProcess();
  const auto waitingCalls = connection.invitedCalls;
  for (Call* call : waitingCalls) {
    if (!hasLeft && call->sentAt >= peer.restartedAt) continue;
    ++counters_.withdrawnInvites;
    std::erase(connection.invitedCalls, call);
    endInvite(*call, InviteOutcome::notSent);
  }
}

void Softswitch::onLoadReport(Peer& peer, const Message& message) {
  const auto load = message.field("load");
  if (!load) return;
  std::optional<double> free, size, capacity;
  for (const std::string& name : deployment_.reportFields) {
    // The configuration and the messages may name a figure differently.
    const bool isFree = name == "free" || name == "x0", isSize = name == "size" || name == "x1";
    const bool isCapacity = name == "can_take" || name == "qps";
    auto text = findFigure(*load, name);
    if (!text)
      text = isFree       ? findFigure(*load, "x0")
             : isSize     ? findFigure(*load, "x1")
             : isCapacity ? findFigure(*load, "qps")
                          : text;
    if (!text) continue;
    const auto value = readNumber(*text);
    if (!value || *value < 0) continue;
    if (isFree) free = value;
    if (isSize) size = value;
    if (isCapacity) capacity = value;
  }
  if (!(size || capacity)) return;
  queuedEvents_.push_back([&peer, free, size, capacity](Controller& to) {
    if (size) to.circuitsChanged(peer, free.value_or(0), *size);
    if (capacity) to.capacityReported(peer, *capacity);
  });
}

void Softswitch::onExchangeMessage(TrunkConnection& connection, std::string_view line) {
  const auto message = readMessage(line);
  if (!message) {
    ++counters_.invalidFromExchanges;
    return dropConnection(connection, InviteOutcome::reset);
  }
  connection.lastReceivedAt = connection.peer->lastAliveAt = now_;
  connection.peer->failedConnects = 0;
  connection.suspect = false;
  onLoadReport(*connection.peer, *message);
  if (message->kind == MessageKind::released)
    std::erase_if(connection.sentReleases, [&](const SentRelease& release) { return release.id == message->id; });
  if (message->kind != MessageKind::answer && message->kind != MessageKind::release) return;
  const auto it = calls_.find(message->id);
  Call* call = it == calls_.end() ? nullptr : it->second.get();
  if (call == nullptr || call->state == Call::State::finished) {
    if (call == nullptr && message->kind == MessageKind::release)
      endedCalls_.add(message->id, message->cause.value_or(kCauseTemporaryFailure), now_);
    return;
  }
  const bool isInvitedHere = call->state == Call::State::invited && call->trunk == &connection;
  const bool isEstablishedHere = call->state == Call::State::established && call->peer == connection.peer;
  if (message->kind == MessageKind::answer) {
    if (!isInvitedHere) return;  // a duplicate, or not for a call on this connection
    if (message->description.empty()) {
      ++counters_.invalidFromExchanges;
      return dropConnection(connection, InviteOutcome::reset);
    }
    return onAnswer(connection, *call, message->description);
  }
  if (isInvitedHere) return onInviteRejected(connection, *call, *message);
  if (isEstablishedHere) {
    const int cause = message->cause.value_or(kCauseTemporaryFailure);
    endEstablishedCall(*call, cause == kCauseNormalClearing ? InviteOutcome::released : InviteOutcome::reset, cause);
  }
}

void Softswitch::onAnswer(TrunkConnection& connection, Call& call, const std::string& description) {
  ++counters_.answered;
  std::erase(connection.invitedCalls, &call);
  std::erase(invitedCalls_, &call);
  call.trunk = nullptr;
  call.state = Call::State::established;
  call.establishedAt = now_;
  dropDescription(call);
  call.peer->establishedCalls.push_back(&call);
  --pendingSetups_;
  if (call.caller != nullptr) {
    --call.caller->pendingSetups;
    call.caller->evidence = CallerEvidence::establishedCall;
    call.caller->lastMessageAt = now_;
    call.caller->stream->send(writeMessage(MessageKind::answer, call.id, {}, -1, description));
  }
  queuedEvents_.push_back([&call, delay = now_ - call.sentAt](Controller& to) { to.inviteAccepted(call, delay); });
}

void Softswitch::onInviteRejected(TrunkConnection& connection, Call& call, const Message& message) {
  std::erase(connection.invitedCalls, &call);
  const int cause = message.cause.value_or(kCauseTemporaryFailure);
  const std::string_view note = message.field("note").value_or("");
  const BlockingReason reason = note == "atb"                     ? BlockingReason::noCircuit
                                : note == "rtb" || note == "racc" ? BlockingReason::turnedBack
                                : note == "acc"                   ? BlockingReason::processorFull
                                : note == "sub"                   ? BlockingReason::lineBusy
                                                                  : BlockingReason::none;
  const double waitedMs = readNumber(message.field("waited").value_or("0")).value_or(0);
  const Span reportedWait =
      reason == BlockingReason::processorFull ? Span::ms(std::clamp(waitedMs, 0.0, 60000.0)) : Span::none();
  const InviteOutcome outcome = cause == 34                  ? InviteOutcome::overloaded
                                : cause == 17 || cause == 47 ? InviteOutcome::failed
                                : cause == 102               ? InviteOutcome::notSent
                                                             : InviteOutcome::reset;
  endInvite(call, outcome, reason, note == "racc", reportedWait);
}

// Ends an INVITE that was not answered. The controller decides on the final answer to the caller.
void Softswitch::endInvite(Call& call, InviteOutcome outcome, BlockingReason reason, bool farProcessor,
                           Span reportedWait) {
  std::erase(invitedCalls_, &call);
  call.trunk = nullptr;
  call.state = Call::State::unrouted;
  queuedEvents_.push_back([&call, peer = call.peer, outcome, reason, farProcessor, reportedWait](Controller& to) {
    to.inviteEnded(call, *peer, outcome, reason, farProcessor, reportedWait, false);
  });
}

// Ends an established call and notifies its caller.
void Softswitch::endEstablishedCall(Call& call, InviteOutcome outcome, int cause) {
  if (outcome != InviteOutcome::released) ++counters_.droppedCalls;
  deliverRelease(call.caller, call.id, cause);
  endedCalls_.add(call.id, cause, now_);
  std::erase(call.peer->establishedCalls, &call);
  if (!call.knownToController) --adoptedCalls_;
  if (call.knownToController) {
    queuedEvents_.push_back([&call, peer = call.peer, outcome](Controller& to) {
      to.inviteEnded(call, *peer, outcome, BlockingReason::none, false, Span::none(), true);
    });
  }
  call.state = Call::State::finished;
  call.caller = nullptr;
  finishedCallIds_.push_back(call.id);
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
