// The part of a softswitch that serves callers: set-ups, abandoned calls, pings, and the limits on connections.

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
// A set-up is passed on after this time even while data behind it is unread. The platform allows no INVITE 100 ms after
// its caller has left.
constexpr Span kMaxSetupHold = Span::ms(50);
// Limits of one connection: pending set-ups, and invalid messages after which it is closed.
constexpr std::size_t kMaxPendingSetupsPerCaller = 512;
constexpr int kMaxInvalidMessages = 8;
// Descriptions of pending set-ups may fill this fraction (one quarter) of the memory. Connections take about another
// quarter at worst.
constexpr std::size_t kDescriptionMemoryDivisor = 4;
// Calls adopted from before the start that may be held, for each set-up that may be pending.
constexpr std::size_t kAdoptedCallsPerSetup = 2;
// Adopted calls may fill this fraction (one sixteenth) of the memory, at about this size each.
constexpr std::size_t kAdoptedMemoryDivisor = 16;
constexpr std::size_t kAdoptedCallBytes = 512;
// Adopted calls of the client with the most that are ended at once to make room, as the search for them takes time.
constexpr std::size_t kAdoptedCallsEndedAtOnce = 64;
// The process before this one ended at most this long before the start, and with it what it could notice and release.
constexpr Span kMaxDowntime = Span::ms(10000);
// No set-up is accepted this long before the exit of a planned restart, so that each one accepted gets an answer.
constexpr Span kNoNewSetupsBeforeExit = Span::ms(300);

// Release causes: a limit of this office was reached; the message is invalid.
constexpr int kCauseCongestion = 42;
constexpr int kCauseInvalidContents = 100;

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

void Softswitch::rejectOverloaded(CallerConnection& connection, std::string_view id) {
  ++counters_.limitHits;
  writeRefusal(connection, id, deployment_.officeConfig.longestRetryAfter);
}

void Softswitch::writeRefusal(CallerConnection& connection, std::string_view id, Span retryAfter) {
  Fields fields;
  if (deployment_.officeConfig.honoursRetryAfter) fields.emplace_back("wait", formatMilliseconds(retryAfter));
  connection.stream->send(writeMessage(MessageKind::release, id, fields, kCauseCongestion));
}

// Whether a set-up must not be sent on because one with its id may still hold circuits, or may have been executed and
// must not be twice. Its caller may have closed and used the id again before an exchange has heard of the release.
bool Softswitch::isReturned(const std::string& id) const {
  const auto former = executedSetups_.find(id);
  return former && (!former->repeatable || now_ - former->endedAt < deployment_.officeConfig.releaseTime);
}

// Rejects a set-up under the id of one that has just ended: until the release time is over, or as failed if it may have
// been executed and must not be twice.
void Softswitch::rejectReturned(CallerConnection& connection, const std::string& id) {
  ++counters_.returnedSetups;
  connection.hasSentValidMessage = true;
  const auto former = executedSetups_.find(id);
  if (former && !former->repeatable) {
    connection.stream->send(writeMessage(MessageKind::release, id, {}, kCauseTemporaryFailure));
    return;
  }
  const Span releaseTime = deployment_.officeConfig.releaseTime;
  writeRefusal(connection, id, former ? releaseTime - (now_ - former->endedAt) : releaseTime);
}

// Ends a set-up whose caller has closed its connection. Returns whether it did.
bool Softswitch::endIfCallerLeft(Call& call) {
  if (call.caller == nullptr || !call.caller->stream->hasRemoteClosed()) return false;
  onCallerRelease(call, kCauseNormalClearing);
  return true;
}

void Softswitch::rememberExecuted(const Call& call) {
  if (call.mayHaveRun && call.service != nullptr)
    executedSetups_.replace(call.id, {now_, call.service->repeatable}, now_);
}

// Gives up what a client that has closed its connection still waits for.
void Softswitch::abandonSetups(const CallerConnection& connection) {
  if (connection.pendingSetups == 0) return;
  for (auto& [id, call] : calls_) {
    if (call->caller == &connection && call->isPending()) onCallerRelease(*call, kCauseNormalClearing);
  }
}

void Softswitch::onSetup(CallerConnection& connection, const Message& message) {
  const std::string_view extras = message.field("extras").value_or("");
  if (message.id.empty()) return rejectInvalid(connection, message.id);
  if (const auto exchange = findFigure(extras, "at")) return adoptEstablishedCall(connection, message, *exchange);
  if (const auto existing = calls_.find(message.id); existing != calls_.end()) {
    // The id of a current call was used again. From another connection only that set-up is rejected; the call goes on,
    // unless its caller has left.
    if (existing->second->state == Call::State::finished) return rejectReturned(connection, message.id);
    if (existing->second->isPending() && existing->second->caller != &connection && endIfCallerLeft(*existing->second))
      return rejectReturned(connection, message.id);
    if (existing->second->caller != &connection) return rejectInvalid(connection, message.id);
    ++counters_.invalidFromCallers;
    if (existing->second->isPending()) {
      // On one connection an id can have only one final answer, which could not be matched to either set-up, so that
      // both fail.
      Call& call = *existing->second;
      onCallerRelease(call, kCauseNormalClearing);
      connection.stream->send(writeMessage(MessageKind::release, message.id, {}, kCauseInvalidContents));
    }
    return;
  }
  const auto readFigure = [&](std::string_view name) -> std::optional<double> {
    const auto text = findFigure(extras, name);
    return text ? readNumber(*text) : std::nullopt;
  };
  const auto service =
      std::find(deployment_.services.begin(), deployment_.services.end(), message.field("class").value_or(""));
  const auto remainingMs = readNumber(message.field("left").value_or(""));
  const auto destinationPlace = readFigure("dest");
  const std::string_view key = message.field("key").value_or("");
  const auto dialledNumber = readHex(key);
  const auto serviceIndex = static_cast<std::size_t>(service - deployment_.services.begin());
  const bool isKnownService = service != deployment_.services.end();
  const double width = readFigure("width").value_or(isKnownService ? deployment_.defaultWidths[serviceIndex] : 1);
  if (!isKnownService || !remainingMs || *remainingMs <= 0 || *remainingMs > 3.6e6 || !destinationPlace ||
      *destinationPlace < 0 || *destinationPlace > 1e6 || !dialledNumber || width <= 0 || width > 1e4 ||
      message.description.empty()) {
    return rejectInvalid(connection, message.id);
  }
  connection.hasSentValidMessage = true;
  connection.evidence = std::max(connection.evidence, CallerEvidence::setup);
  if (connection.hasLeft) return;  // it was given up when the client closed
  if (isReturned(message.id)) return rejectReturned(connection, message.id);
  if (pendingSetups_ >= deployment_.maxPendingSetups || connection.pendingSetups >= kMaxPendingSetupsPerCaller ||
      descriptionBytes_ + message.description.size() > deployment_.memoryBytes / kDescriptionMemoryDivisor ||
      now_ > exitAt_ - kNoNewSetupsBeforeExit) {
    return rejectOverloaded(connection, message.id);
  }
  auto newCall = std::make_unique<Call>();
  Call& call = *newCall;
  call.id = message.id;
  call.key = key;
  call.description = message.description;
  descriptionBytes_ += call.description.size();
  call.serviceIndex = serviceIndex;
  call.service = &deployment_.officeConfig.services[serviceIndex];
  call.width = width;
  call.destination = registry_.atPlace(*destinationPlace);
  call.timerLimit = std::min(now_ + Span::ms(*remainingMs), exitAt_ - kNoNewSetupsBeforeExit * 0.5);
  call.dialledNumber = *dialledNumber;
  call.transit = readFigure("transit").value_or(0) == 1;
  call.isReconnect = readFigure("again").value_or(0) == 1;
  call.caller = &connection;
  ++connection.pendingSetups;
  ++pendingSetups_;
  ++counters_.acceptedSetups;
  calls_.emplace(call.id, std::move(newCall));
  if (connection.heldSetups.empty()) connection.heldSince = now_;
  connection.heldSetups.push_back(&call);
}

// Passes set-ups on to the controller, those of a connection once all that was received on it has been read: behind a
// set-up may lie its release, or the end of the connection.
void Softswitch::passOnHeldSetups() {
  for (const auto& connection : callers_) {
    if (connection->heldSetups.empty()) continue;
    if (connection->stream->hasUnreadData() && now_ - connection->heldSince < kMaxSetupHold) continue;
    for (Call* call : std::exchange(connection->heldSetups, {}))
      queuedEvents_.push_back([call](Controller& to) { to.sessionArrived(*call); });
  }
}

// Registers a call that was established before this softswitch started, unless it is over. The controller is not
// notified of it, as there is nothing left to decide; only the release is relayed between caller and exchange.
void Softswitch::adoptEstablishedCall(CallerConnection& connection, const Message& message, std::string_view exchange) {
  const auto exchangeId = readExchangeId(exchange);
  if (!exchangeId) return rejectInvalid(connection, message.id);
  auto* peer = static_cast<Peer*>(registry_.find(*exchangeId));
  if (const auto existing = calls_.find(message.id); existing != calls_.end()) {
    if (existing->second->state == Call::State::established && existing->second->peer == peer) {
      noteNamedCall(connection, existing->second->isConfirmed);
      if (existing->second->caller == nullptr) attachEstablishedCall(*existing->second, connection);
    }
    return;
  }
  if (const auto ended = endedCalls_.find(message.id)) {
    noteNamedCall(connection, ended->isConfirmed);
    std::erase_if(undeliveredReleases_, [&](const UndeliveredRelease& release) { return release.id == message.id; });
    return writeCallerRelease(connection, message.id, ended->cause, true);
  }
  if (peer == nullptr || peer->own) return rejectStaleName(connection, message.id);
  noteNamedCall(connection, false);
  // When the call was established is not told. An exchange that started while nobody watched it may have had it before.
  const Instant establishedAt = startedAt_ - kMaxDowntime;
  const bool isOver = !peer->hasProcess() || peer->listedStart > establishedAt;
  if (isOver || (adoptedCalls_ >= maxAdoptedCalls() && !makeRoomForNamedCall(connection))) {
    // Nobody else would release the call towards its caller. At the limit it is ended at both of its ends.
    if (peer->hasProcess()) sendRelease(*peer, nullptr, message.id, kCauseNormalClearing);
    return rejectStaleName(connection, message.id);
  }
  auto newCall = std::make_unique<Call>();
  newCall->id = message.id;
  newCall->state = Call::State::established;
  newCall->knownToController = false;
  newCall->isConfirmed = false;
  newCall->peer = peer;
  attachEstablishedCall(*newCall, connection);
  newCall->establishedAt = establishedAt;
  ++adoptedCalls_;
  peer->establishedCalls.push_back(newCall.get());
  calls_.emplace(message.id, std::move(newCall));
}

std::size_t Softswitch::maxAdoptedCalls() const {
  return std::min(kAdoptedCallsPerSetup * deployment_.maxPendingSetups,
                  deployment_.memoryBytes / kAdoptedMemoryDivisor / kAdoptedCallBytes);
}

// At the limit of adopted calls, ends some of the client that has the most, at both of their ends. Returns false if
// that is the one that named another.
bool Softswitch::makeRoomForNamedCall(const CallerConnection& namer) {
  const auto most = std::max_element(callers_.begin(), callers_.end(),
                                     [](const auto& a, const auto& b) { return a->adoptedCalls < b->adoptedCalls; });
  if ((*most)->adoptedCalls <= namer.adoptedCalls + 1) return false;
  std::vector<Call*> ended;
  for (const auto& [id, call] : calls_) {
    if (ended.size() == kAdoptedCallsEndedAtOnce) break;
    if (call->caller == most->get() && call->state == Call::State::established && !call->knownToController)
      ended.push_back(call.get());
  }
  for (Call* call : ended) {
    sendRelease(*call->peer, nullptr, call->id, kCauseNormalClearing);
    endEstablishedCall(*call, InviteOutcome::reset, kCauseTemporaryFailure);
  }
  return !ended.empty();
}

// Notes what the naming of a call tells of a client. `isConfirmed`: somebody else knows the call too.
void Softswitch::noteNamedCall(CallerConnection& connection, bool isConfirmed) {
  connection.hasSentValidMessage = true;
  connection.evidence =
      std::max(connection.evidence, isConfirmed ? CallerEvidence::establishedCall : CallerEvidence::namedCall);
}

// Releases a call that its caller names as established, but that is over. This is no invalid message: after a restart a
// caller can't know what has become of its exchanges.
void Softswitch::rejectStaleName(CallerConnection& connection, const std::string& id) {
  ++counters_.droppedCalls;
  writeCallerRelease(connection, id, kCauseTemporaryFailure, true);
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

// Makes a connection the one that an established call is released on. It stays open for that, so its idle time starts
// anew when the call ends.
void Softswitch::attachEstablishedCall(Call& call, CallerConnection& connection) {
  call.caller = &connection;
  ++connection.establishedCalls;
  if (!call.knownToController) ++connection.adoptedCalls;
  connection.lastMessageAt = now_;
}

void Softswitch::detachEstablishedCall(Call& call) {
  if (call.caller == nullptr) return;
  --call.caller->establishedCalls;
  if (!call.knownToController) --call.caller->adoptedCalls;
  call.caller->lastMessageAt = now_;
  call.caller = nullptr;
}

void Softswitch::dropDescription(Call& call) {
  descriptionBytes_ -= call.description.size();
  std::string().swap(call.description);
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
