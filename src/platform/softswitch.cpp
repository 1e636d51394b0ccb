#include "platform/softswitch.hpp"

#include <algorithm>

#include "platform/connections.hpp"

namespace thistlefold::platform {
namespace {

// A caller that leaves more than this unread is closed.
constexpr std::size_t kMaxUnsentBytes = std::size_t{64} * 1024;
// The bulletin sends an empty frame each second. The platform holds an office to what the bulletin would have reported
// from four seconds after it fell silent and two seconds after a broken connection. Within that time each office
// subscribes again after a random delay, since all offices lose the bulletin at once.
constexpr Span kBulletinTimeout = Span::ms(1600);
constexpr Span kSubscribeJitter = Span::ms(400);
constexpr Span kBulletinBackoff = Span::ms(100);
constexpr Span kMaxBulletinBackoff = Span::ms(300);
// Interval of the checks on connections.
constexpr Span kMaintenanceInterval = Span::ms(20);
// A planned restart. After SIGTERM, SIGKILL follows no sooner than the longest timer limit (three seconds at most) plus
// 0.7 s. Until shortly before, calls in transit are still carried, so that other offices keep their tandem.
// kDrainMargin is used beyond the limit; the rest of the 0.7 s is for the delivery of the last answers.
constexpr Span kMaxDrainTime = Span::ms(3000);
constexpr Span kDrainMargin = Span::ms(400);
// A client that sends without pause always has unread data. The exit waits for no client longer than this.
constexpr Span kMaxUnreadWait = Span::ms(50);

// Calls that are over and may still be named by their callers or have their ids used again, and how long they are
// remembered: the front takes in a restarted softswitch only after some seconds.
constexpr std::size_t kMaxRecentCalls = 8192;
constexpr Span kRecentCallRetention = Span::ms(30000);

constexpr int kCauseNoCircuit = 34;  // release cause of a set-up that is refused as busy

}  // namespace

// The subscription to the bulletin.
struct Softswitch::Bulletin : Connection {
  FrameReader reader;
  bool disconnected = false;              // and this was logged
  std::uint64_t lastEvent = 0;            // number of the last event applied
  std::optional<std::uint64_t> gapAfter;  // lastEvent when an event was last found missing
  Instant nextConnectAt = Instant::distantPast();
  Span backoff = kBulletinBackoff;
  Instant timeoutAt = Instant::never();  // subscribe again if nothing is received until then
};

Softswitch::Softswitch(Deployment deployment, Instant now, StreamConnector& connector,
                       const ControllerFactory& controllerFactory, std::function<void(std::string_view)> log)
    : deployment_(std::move(deployment)),
      connector_(&connector),
      log_(std::move(log)),
      controller_(controllerFactory(deployment_.officeConfig, deployment_.seed)),
      registry_(deployment_.ownPlace, [] { return std::make_unique<Peer>(); }),
      bulletin_(std::make_unique<Bulletin>()),
      endedCalls_(kMaxRecentCalls, kRecentCallRetention),
      executedSetups_(kMaxRecentCalls, kRecentCallRetention),
      random_(static_cast<std::ranlux24_base::result_type>(deployment_.seed ^ (deployment_.seed >> 24))),
      startedAt_(now),
      now_(now) {
  bulletin_->type = Connection::Type::bulletin;
  scheduleSubscription(kSubscribeJitter * 0.5);
  applyEvents(deployment_.knownEvents);
}

Softswitch::~Softswitch() = default;

// ---- Streams --------------------------------------------------------------------------------------------------------

void Softswitch::onConnected(Instant now, Stream& stream) {
  now_ = now;
  Connection& connection = *static_cast<Connection*>(stream.userData);
  if (connection.type == Connection::Type::bulletin) {
    if (bulletin_->disconnected) log_("bulletin " + iax2::text(deployment_.bulletinAddress) + ": connected again");
    bulletin_->disconnected = false;
    bulletin_->backoff = kBulletinBackoff;
    bulletin_->timeoutAt = now + kBulletinTimeout + kSubscribeJitter * randomFraction();
    ++counters_.subscriptions;
    return stream.send(encodeSubscription(bulletin_->lastEvent));
  }
  auto& trunk = static_cast<TrunkConnection&>(connection);
  trunk.connected = true;
  trunk.lastReceivedAt = now;
  Peer& peer = *trunk.peer;
  peer.newestConnectAt = std::max(peer.newestConnectAt, trunk.connectStartedAt);
  peer.backoff = kInitialBackoff;
  peer.refusedSince = Instant::never();
  peer.lastAliveAt = now;
  peer.failedConnects = 0;
  for (const auto& [id, cause] : std::exchange(peer.pendingReleases, {})) writeRelease(trunk, id, cause);
  withdrawInvites(trunk);
  const auto invitedCalls = trunk.invitedCalls;
  for (Call* call : invitedCalls) {
    if (!endIfCallerLeft(*call)) writeSetup(trunk, *call);
  }
}

void Softswitch::onData(Instant now, Stream& stream, std::string_view bytes) {
  now_ = now;
  Connection& connection = *static_cast<Connection*>(stream.userData);
  if (connection.type == Connection::Type::bulletin) return onBulletinData(bytes);
  const bool isCaller = connection.type == Connection::Type::caller;
  LineReader& reader =
      isCaller ? static_cast<CallerConnection&>(connection).reader : static_cast<TrunkConnection&>(connection).reader;
  if (isCaller && stream.hasRemoteClosed()) {
    auto& caller = static_cast<CallerConnection&>(connection);
    caller.hasLeft = true;
    abandonSetups(caller);
  }
  bool isReadable = reader.add(bytes);
  while (connection.stream != nullptr) {
    const auto line = reader.next();
    if (!line) break;
    if (line->size() > kMaxMessageBytes) {
      isReadable = false;
      break;
    }
    if (isCaller) {
      onCallerMessage(static_cast<CallerConnection&>(connection), *line);
    } else {
      onExchangeMessage(static_cast<TrunkConnection&>(connection), *line);
    }
  }
  if (connection.stream == nullptr) return;
  if (isCaller) {
    auto& caller = static_cast<CallerConnection&>(connection);
    if (!isReadable) {
      ++counters_.invalidFromCallers;
      return closeCaller(caller);
    }
    caller.partialLineSince = reader.hasPartialLine() ? std::min(caller.partialLineSince, now) : Instant::never();
    if (stream.unsentBytes() > kMaxUnsentBytes) closeCaller(caller);
  } else if (!isReadable) {
    ++counters_.invalidFromExchanges;
    auto& trunk = static_cast<TrunkConnection&>(connection);
    trunk.peer->bytesLostAt = now_;
    dropConnection(trunk, InviteOutcome::reset);
  }
}

void Softswitch::onClosed(Instant now, Stream& stream, CloseReason reason) {
  now_ = now;
  Connection& connection = *static_cast<Connection*>(stream.userData);
  connection.stream = nullptr;
  if (connection.type == Connection::Type::bulletin) {
    if (!bulletin_->disconnected)
      log_("bulletin " + iax2::text(deployment_.bulletinAddress) +
           ": connection lost or not established; retrying until it is established");
    bulletin_->disconnected = true;
    scheduleSubscription(bulletin_->backoff * 2.0);
    bulletin_->backoff = std::min(bulletin_->backoff * 2.0, kMaxBulletinBackoff);
    return;
  }
  if (connection.type == Connection::Type::caller) return closeCaller(static_cast<CallerConnection&>(connection));
  auto& trunk = static_cast<TrunkConnection&>(connection);
  Peer& peer = *trunk.peer;
  if (reason == CloseReason::refused) onConnectFailed(peer, true);
  if (reason == CloseReason::reset || trunk.reader.hasPartialLine()) peer.bytesLostAt = now_;
  dropConnection(trunk, InviteOutcome::unreachable);
}

// ---- Decisions of the controller ------------------------------------------------------------------------------------

void Softswitch::finishSetup(Call& call, MessageKind kind, const Fields& fields, int cause,
                             std::string_view description) {
  if (call.caller != nullptr) {
    call.caller->stream->send(writeMessage(kind, call.id, fields, cause, description));
    --call.caller->pendingSetups;
  }
  --pendingSetups_;
  rememberExecuted(call);
  dropDescription(call);
  call.state = Call::State::finished;
  call.caller = nullptr;
  finishedCallIds_.push_back(call.id);
}

void Softswitch::rejectBusy(const Session& session, Span retryAfter) {
  ++counters_.refused;
  Fields fields;
  if (retryAfter > Span::none()) fields.emplace_back("wait", formatMilliseconds(retryAfter));
  finishSetup(const_cast<Call&>(static_cast<const Call&>(session)), MessageKind::release, fields, kCauseNoCircuit);
}

void Softswitch::failUncertain(const Session& session) {
  ++counters_.failed;
  finishSetup(const_cast<Call&>(static_cast<const Call&>(session)), MessageKind::release, {}, kCauseTemporaryFailure);
}

void Softswitch::scheduleWakeUp(Span delay) { wakeAt_ = now_ + delay; }

void Softswitch::deliver(Controller& controller) {
  for (const auto& event : roundEvents_) event(controller);
}

void Softswitch::runRound() {
  // An INVITE that fails within a round queues a further event. The loop ends because each of them uses up one of the
  // call's few INVITEs.
  while (!queuedEvents_.empty() || wakeAt_ <= now_) {
    if (wakeAt_ <= now_) wakeAt_ = Instant::never();
    roundEvents_ = std::move(queuedEvents_);
    queuedEvents_.clear();
    controller_->round(now_, *this, *this);
    roundEvents_.clear();
  }
  for (const std::string& id : finishedCallIds_) {
    const auto it = calls_.find(id);
    if (it != calls_.end() && it->second->state == Call::State::finished) calls_.erase(it);
  }
  finishedCallIds_.clear();
}

// ---- The bulletin ---------------------------------------------------------------------------------------------------

void Softswitch::applyEvents(const std::vector<BulletinEvent>& events) {
  for (const BulletinEvent& event : events) {
    if (event.number <= bulletin_->lastEvent && bulletin_->lastEvent > 0) continue;
    bulletin_->lastEvent = event.number;
    // If an exchange is listed at the address of another, the other's process no longer runs, and nothing may be sent
    // to the address on its behalf.
    for (const ExchangeLocation& location : event.locations) {
      if (location.entry.readiness == Readiness::gone) continue;
      for (const auto& [id, listed] : registry_.all()) {
        auto& previous = static_cast<Peer&>(*listed);
        if (id != location.entry.id && previous.address == location.address) retirePeer(previous);
      }
    }
    std::vector<wire::ListEntry> entries;
    for (const ExchangeLocation& location : event.locations) {
      entries.push_back(location.entry);
      if (location.entry.readiness != Readiness::gone) applyListed(location);
    }
    for (const ExchangeLocation& location : event.locations) {
      if (location.entry.readiness == Readiness::gone) applyGone(location);
    }
    queuedEvents_.push_back([this, entries, isSnapshot = event.isSnapshot](Controller& to) {
      registry_.applyList(to, entries, isSnapshot);
      // There is no trunk group to the own exchange, and no connection on which that could be reported.
      for (const auto& [id, listed] : registry_.all()) {
        if (listed->own && listed->circuits < 0) to.circuitsChanged(*listed, 0, 0);
      }
    });
  }
}

// Applies address and start of an exchange that is listed as ready or draining.
void Softswitch::applyListed(const ExchangeLocation& location) {
  auto& peer = static_cast<Peer&>(registry_.findOrCreate(location.entry.id));
  // An exchange that is listed at another address is another process.
  if (peer.hasProcess() && !(peer.address == location.address)) retirePeer(peer);
  const bool isNewProcess = location.entry.started > peer.listedStart || !(peer.address == location.address);
  peer.address = location.address;
  peer.isListedGone = false;
  if (!isNewProcess) return;
  peer.restartedAt = peer.lastAliveAt = now_;
  peer.nextConnectAt = Instant::distantPast();
  peer.backoff = kInitialBackoff;
  peer.failedConnects = 0;
  // Calls established with the previous process no longer exist.
  if (location.entry.started > Instant::distantPast()) dropEstablishedCalls(peer, location.entry.started);
  peer.listedStart = std::max(peer.listedStart, location.entry.started);
}

// Applies that an exchange is listed as gone. It keeps its address, or has none if another has taken that over, and
// must not get it back.
void Softswitch::applyGone(const ExchangeLocation& location) {
  if (auto* known = static_cast<Peer*>(registry_.find(location.entry.id))) {
    known->isListedGone = true;
    return;
  }
  const auto& all = registry_.all();
  const bool isTakenOver = std::any_of(all.begin(), all.end(), [&](const auto& entry) {
    const auto& other = static_cast<const Peer&>(*entry.second);
    return other.address == location.address && !other.isListedGone;
  });
  auto& peer = static_cast<Peer&>(registry_.findOrCreate(location.entry.id));
  peer.isListedGone = true;
  peer.lastAliveAt = now_;
  if (!isTakenOver) peer.address = location.address;
}

void Softswitch::onBulletinData(std::string_view bytes) {
  Bulletin& bulletin = *bulletin_;
  bulletin.reader.add(bytes);
  while (const auto event = bulletin.reader.next()) {
    bulletin.timeoutAt = now_ + kBulletinTimeout + kSubscribeJitter * randomFraction();
    const bool hasEntries = event->isSnapshot || !event->locations.empty();
    // A gap in the event numbers means that events were lost; an empty frame carries the last number too. If they are
    // still missing after a new subscription, they do not exist.
    if (!event->isSnapshot && event->number > bulletin.lastEvent + (hasEntries ? 1 : 0) &&
        bulletin.gapAfter != bulletin.lastEvent) {
      bulletin.gapAfter = bulletin.lastEvent;
      log_("bulletin: an event is missing; subscribing again");
      return scheduleSubscription(kSubscribeJitter * 0.5);
    }
    if (hasEntries) applyEvents({*event});
  }
  if (!bulletin.reader.isValid()) {
    log_("bulletin: received data is not a valid frame; subscribing again");
    scheduleSubscription(kSubscribeJitter * 0.5);
  }
}

double Softswitch::randomFraction() { return std::generate_canonical<double, 24>(random_); }

// Drops the connection to the bulletin and subscribes again after a random delay of up to `maxDelay`.
void Softswitch::scheduleSubscription(Span maxDelay) {
  Bulletin& bulletin = *bulletin_;
  if (bulletin.stream != nullptr) std::exchange(bulletin.stream, nullptr)->abort();
  bulletin.reader = FrameReader();
  bulletin.nextConnectAt = now_ + maxDelay * randomFraction();
}

void Softswitch::subscribeToBulletin() {
  Bulletin& bulletin = *bulletin_;
  if (bulletin.stream != nullptr) bulletin.stream->abort();
  bulletin.reader = FrameReader();
  bulletin.timeoutAt = now_ + kBulletinTimeout + kSubscribeJitter * randomFraction();
  bulletin.stream = connector_->connect(deployment_.bulletinAddress);
  bulletin.nextConnectAt = now_ + kBulletinBackoff;
  if (bulletin.stream != nullptr) bulletin.stream->userData = static_cast<Connection*>(&bulletin);
}

void Softswitch::reconfigure(Instant now, const Deployment& deployment) {
  now_ = now;
  deployment_.bulletinAddress = deployment.bulletinAddress;
  applyEvents(deployment.knownEvents);
  bulletin_->backoff = kBulletinBackoff;
  scheduleSubscription(kSubscribeJitter * 0.5);
}

// ---- Rounds and deadlines -------------------------------------------------------------------------------------------

void Softswitch::process(Instant now) {
  now_ = now;
  const auto invitedCalls = invitedCalls_;
  for (Call* call : invitedCalls) {
    if (call->giveUpAt > now) continue;
    TrunkConnection& connection = *call->trunk;
    std::erase(connection.invitedCalls, call);
    if (connection.connected) {
      sendRelease(*call->peer, &connection, call->id, kCauseNormalClearing);
      if (connection.lastReceivedAt <= call->sentAt) {
        connection.suspect = true;
        connection.lastRequestAt = now;
      }
    }
    endInvite(*call, connection.connected ? InviteOutcome::timedOut : InviteOutcome::unreachable);
  }
  if (!connectionsClosed_ && now - maintainedAt_ >= kMaintenanceInterval) {
    maintainedAt_ = now;
    if (bulletin_->stream == nullptr ? bulletin_->nextConnectAt <= now_ : bulletin_->timeoutAt <= now_)
      subscribeToBulletin();
    maintainTrunks();
    maintainCallers();
  }
  passOnHeldSetups();
  runRound();
  closedConnections_.clear();
}

Instant Softswitch::nextDeadline() const {
  Instant next = connectionsClosed_ ? wakeAt_ : std::min(wakeAt_, maintainedAt_ + kMaintenanceInterval);
  for (const Call* call : invitedCalls_) next = std::min(next, call->giveUpAt);
  return next;
}

void Softswitch::stop(Instant now) {
  if (stoppingSince_ != Instant::never()) return;
  stoppingSince_ = now;
  Span longest;
  for (const Service& service : deployment_.officeConfig.services) longest = std::max(longest, service.timerLimit);
  exitAt_ = now + std::min(longest, kMaxDrainTime) + kDrainMargin;
}

bool Softswitch::isStopped(Instant now) const {
  const auto hasUnreadData = [](const auto& connection) { return connection->stream->hasUnreadData(); };
  if (now < exitAt_ || pendingSetups_ > 0) return false;
  return now >= exitAt_ + kMaxUnreadWait || std::none_of(callers_.begin(), callers_.end(), hasUnreadData);
}

void Softswitch::closeConnections(Instant now) {
  now_ = now;
  connectionsClosed_ = true;
  while (!callers_.empty()) closeCaller(*callers_.back());
  for (const auto& [id, listed] : registry_.all()) {
    auto& peer = static_cast<Peer&>(*listed);
    for (const auto& connection : peer.connections) connection->sentReleases.clear();  // are still delivered
    while (!peer.connections.empty()) dropConnection(*peer.connections.back(), InviteOutcome::unreachable);
  }
  if (bulletin_->stream != nullptr) std::exchange(bulletin_->stream, nullptr)->abort();
}

std::string Softswitch::statusLine() const {
  std::string out =
      "callers=" + std::to_string(callers_.size()) + " trunks=" + std::to_string(trunkConnectionCount_) +
      " calls=" + std::to_string(calls_.size()) + " open=" + std::to_string(pendingSetups_) +
      " taken=" + std::to_string(counters_.acceptedSetups) + " answered=" + std::to_string(counters_.answered) +
      " refused=" + std::to_string(counters_.refused) + " failed=" + std::to_string(counters_.failed) +
      " abandoned=" + std::to_string(counters_.abandoned) + " invites=" + std::to_string(counters_.invites) +
      " cut=" + std::to_string(counters_.droppedCalls) + " unusable=" + std::to_string(counters_.invalidFromCallers) +
      " spoilt=" + std::to_string(counters_.invalidFromExchanges) +
      " dialled=" + std::to_string(counters_.connectAttempts) + " not-up=" + std::to_string(counters_.failedConnects) +
      " over-bound=" + std::to_string(counters_.limitHits) + " returned=" + std::to_string(counters_.returnedSetups) +
      " taken-back=" + std::to_string(counters_.withdrawnInvites) +
      " asked=" + std::to_string(counters_.subscriptions) + " last-event=" + std::to_string(bulletin_->lastEvent) +
      " listed=" + std::to_string(registry_.all().size());
  for (const auto& [id, listed] : registry_.all()) {
    const auto& peer = static_cast<const Peer&>(*listed);
    if (peer.readiness == Readiness::gone && peer.connections.empty()) continue;
    const auto formatFigure = [](bool isKnown, double value) {
      char text[32];
      std::snprintf(text, sizeof text, "%g", value);
      return isKnown ? std::string(text) : std::string("untold");
    };
    char exchange[48];
    std::snprintf(exchange, sizeof exchange, " | s-%08x place=%d %s", id, peer.place,
                  peer.own                             ? "own"
                  : peer.readiness == Readiness::ready ? "ready"
                                                       : "leaving");
    out += exchange;
    const bool hasCircuits = peer.circuits >= 0, hasCapacity = peer.reportedCapacity.size() > 0;
    out +=
        " free=" + formatFigure(hasCircuits, peer.freeCircuits) + " size=" + formatFigure(hasCircuits, peer.circuits) +
        " takes=" + formatFigure(hasCapacity, hasCapacity ? peer.reportedCapacity.last().value : 0) +
        " sides=" + std::to_string(peer.connections.size()) + " ringing=" + std::to_string(peer.pendingInvites.size()) +
        " standing=" + std::to_string(peer.establishedCalls.size());
  }
  return out;
}

}  // namespace thistlefold::platform
