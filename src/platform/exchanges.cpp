// The part of a softswitch that talks to exchanges: INVITEs, established calls, releases and load reports.

#include <algorithm>

#include "platform/connections.hpp"
#include "platform/softswitch.hpp"

namespace thistlefold::platform {
namespace {

// Releases that wait for a connection to one exchange.
constexpr std::size_t kMaxStoredReleases = 2048;
// Releases of one connection that may be repeated on another.
constexpr std::size_t kMaxSentReleases = 64;
// INVITEs rejected lately that are remembered for each connection.
constexpr std::size_t kMaxRejectedInvites = 64;
// No release is written to a connection on which more than this waits to be sent, as its exchange does not read.
constexpr std::size_t kMaxUnsentBytes = std::size_t{64} * 1024;

}  // namespace

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
  if (call.caller != nullptr && call.caller->stream->hasRemoteClosed()) {
    onCallerRelease(call, kCauseNormalClearing);
    queuedEvents_.push_back([&call, &peer](Controller& controller) {
      controller.inviteEnded(call, peer, InviteOutcome::notSent, BlockingReason::none, false, Span::none(), false);
    });
    return;
  }
  ++counters_.invites;
  call.peer = &peer;
  call.giveUpAt = std::min(now_ + giveUpAfter, call.timerLimit);
  std::erase_if(peer.pendingReleases, [&](const auto& release) { return release.first == call.id; });
  for (const auto& connection : peer.connections)
    std::erase_if(connection->sentReleases, [&](const SentRelease& release) { return release.id == call.id; });
  TrunkConnection* connection = selectConnection(peer, call);
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
  if (connection != nullptr && connection->stream->unsentBytes() <= kMaxUnsentBytes)
    return writeRelease(*connection, id, cause);
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
    connection.peer->bytesLostAt = now_;
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
  const bool isInvitedHere = call != nullptr && call->state == Call::State::invited && call->trunk == &connection;
  if (message->kind == MessageKind::answer) {
    if (!isInvitedHere) return;  // a duplicate, or not for a call on this connection
    if (message->description.empty()) {
      ++counters_.invalidFromExchanges;
      return dropConnection(connection, InviteOutcome::reset);
    }
    return onAnswer(connection, *call, message->description);
  }
  if (isInvitedHere) return onInviteRejected(connection, *call, *message);
  if (isCopyOfRejection(connection, *message)) {
    // If it is a release of the established call after all, the exchange repeats it on the next connection.
    connection.peer->bytesLostAt = now_;
    return;
  }
  onExchangeRelease(*connection.peer, *message);
}

// Whether a release that ends no INVITE repeats one that did on this connection. A release with cause 16 is the normal
// end of an established call and never rejects an INVITE.
bool Softswitch::isCopyOfRejection(const TrunkConnection& connection, const Message& message) const {
  const int cause = message.cause.value_or(kCauseTemporaryFailure);
  return std::any_of(connection.rejectedInvites.begin(), connection.rejectedInvites.end(),
                     [&](const RejectedInvite& rejected) {
                       return rejected.id == message.id && rejected.cause == cause && cause != kCauseNormalClearing &&
                              now_ - rejected.endedAt < kCopyWindow;
                     });
}

void Softswitch::rememberRejection(TrunkConnection& connection, const Call& call, int cause) {
  auto& rejected = connection.rejectedInvites;
  std::erase_if(rejected, [&](const RejectedInvite& one) { return now_ - one.endedAt >= kCopyWindow; });
  if (rejected.size() == kMaxRejectedInvites) rejected.erase(rejected.begin());
  rejected.push_back({call.id, cause, now_});
}

// Handles an exchange's release of a call that is established there, or that no caller has named yet.
void Softswitch::onExchangeRelease(const Peer& peer, const Message& message) {
  const int cause = message.cause.value_or(kCauseTemporaryFailure);
  const auto it = calls_.find(message.id);
  if (it == calls_.end()) return endedCalls_.add(message.id, {cause, true}, now_);
  Call& call = *it->second;
  if (call.state != Call::State::established || call.peer != &peer) return;
  call.isConfirmed = true;
  if (call.caller != nullptr) noteNamedCall(*call.caller, true);
  endEstablishedCall(call, cause == kCauseNormalClearing ? InviteOutcome::released : InviteOutcome::reset, cause);
}

// Handles what an exchange sent before it noticed that its connection was closed. Only releases of established calls
// matter then: set-ups on the connection were given up with it.
void Softswitch::onLateExchangeData(Peer& peer, LineReader& reader, std::string_view bytes) {
  if (!reader.add(bytes)) peer.bytesLostAt = now_;
  while (const auto line = reader.next()) {
    const auto message = line->size() <= kMaxMessageBytes ? readMessage(*line) : std::nullopt;
    if (!message) peer.bytesLostAt = now_;
    if (message && message->kind == MessageKind::release) onExchangeRelease(peer, *message);
  }
}

void Softswitch::onAnswer(TrunkConnection& connection, Call& call, const std::string& description) {
  ++counters_.answered;
  std::erase(connection.invitedCalls, &call);
  std::erase(invitedCalls_, &call);
  call.trunk = nullptr;
  call.state = Call::State::established;
  call.mayHaveRun = true;
  call.establishedAt = now_;
  dropDescription(call);
  call.peer->establishedCalls.push_back(&call);
  --pendingSetups_;
  if (call.caller != nullptr) {
    --call.caller->pendingSetups;
    call.caller->evidence = CallerEvidence::establishedCall;
    attachEstablishedCall(call, *call.caller);
    call.caller->stream->send(writeMessage(MessageKind::answer, call.id, {}, -1, description));
  }
  queuedEvents_.push_back([&call, delay = now_ - call.sentAt](Controller& to) { to.inviteAccepted(call, delay); });
}

void Softswitch::onInviteRejected(TrunkConnection& connection, Call& call, const Message& message) {
  std::erase(connection.invitedCalls, &call);
  const int cause = message.cause.value_or(kCauseTemporaryFailure);
  rememberRejection(connection, call, cause);
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
  if (outcome != InviteOutcome::overloaded && outcome != InviteOutcome::notSent &&
      outcome != InviteOutcome::unreachable)
    call.mayHaveRun = true;
  queuedEvents_.push_back([&call, peer = call.peer, outcome, reason, farProcessor, reportedWait](Controller& to) {
    to.inviteEnded(call, *peer, outcome, reason, farProcessor, reportedWait, false);
  });
}

// Ends an established call and notifies its caller.
void Softswitch::endEstablishedCall(Call& call, InviteOutcome outcome, int cause) {
  if (outcome != InviteOutcome::released) ++counters_.droppedCalls;
  deliverRelease(call.caller, call.id, cause);
  endedCalls_.add(call.id, {cause, call.isConfirmed}, now_);
  std::erase(call.peer->establishedCalls, &call);
  if (!call.knownToController) --adoptedCalls_;
  if (call.knownToController) {
    queuedEvents_.push_back([&call, peer = call.peer, outcome](Controller& to) {
      to.inviteEnded(call, *peer, outcome, BlockingReason::none, false, Span::none(), true);
    });
  }
  call.state = Call::State::finished;
  rememberExecuted(call);
  detachEstablishedCall(call);
  finishedCallIds_.push_back(call.id);
}

}  // namespace thistlefold::platform
