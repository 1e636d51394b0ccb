// Calls that stood before this softswitch started, as their callers name them, and the connections that established
// calls are released on.

#include <algorithm>

#include "platform/connections.hpp"
#include "platform/softswitch.hpp"

namespace thistlefold::platform {
namespace {

// Calls adopted from before the start that may be held, for each set-up that may be pending.
constexpr std::size_t kAdoptedCallsPerSetup = 2;
// Adopted calls may fill this fraction (one sixteenth) of the memory, at about this size each.
constexpr std::size_t kAdoptedMemoryDivisor = 16;
constexpr std::size_t kAdoptedCallBytes = 512;
// Adopted calls of the client with the most that are ended at once to make room, as the search for them takes time.
constexpr std::size_t kAdoptedCallsEndedAtOnce = 64;
// The process before this one ended at most this long before the start, and with it what it could notice and release.
constexpr Span kMaxDowntime = Span::ms(10000);

}  // namespace

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

}  // namespace thistlefold::platform
