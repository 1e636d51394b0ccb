// Set-ups from callers: which are accepted, when they are passed on to the controller, and ids that come again.

#include <algorithm>

#include "platform/connections.hpp"
#include "platform/softswitch.hpp"

namespace thistlefold::platform {
namespace {

// A set-up is passed on after this time even while data behind it is unread, or this long before its caller stops
// waiting, so that it can be refused in time.
constexpr Span kMaxSetupHold = Span::ms(1000);
constexpr Span kMinTimeToRefuse = Span::ms(100);
// Pending set-ups of one connection.
constexpr std::size_t kMaxPendingSetupsPerCaller = 512;
// Descriptions of pending set-ups may fill this fraction (one quarter) of the memory. Connections take about another
// quarter at worst.
constexpr std::size_t kDescriptionMemoryDivisor = 4;
// No set-up is accepted this long before the exit of a planned restart, so that each one accepted gets an answer.
constexpr Span kNoNewSetupsBeforeExit = Span::ms(300);

// Release cause: a limit of this office was reached.
constexpr int kCauseCongestion = 42;

}  // namespace

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
    const bool isUrgent = now_ - connection->heldSince >= kMaxSetupHold ||
                          std::any_of(connection->heldSetups.begin(), connection->heldSetups.end(),
                                      [this](const Call* call) { return call->timerLimit - now_ < kMinTimeToRefuse; });
    if (!isUrgent && connection->stream->hasUnreadData()) continue;
    for (Call* call : std::exchange(connection->heldSetups, {}))
      queuedEvents_.push_back([call](Controller& to) { to.sessionArrived(*call); });
  }
}

void Softswitch::dropDescription(Call& call) {
  descriptionBytes_ -= call.description.size();
  std::string().swap(call.description);
}

}  // namespace thistlefold::platform
