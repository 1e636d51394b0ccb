#include "platform/softswitch.hpp"

#include <algorithm>

#include "platform/connections.hpp"

namespace thistlefold::platform {
namespace {

// What may wait to go out to one caller.
constexpr std::size_t kUnsent = 64 * 1024;
// The bulletin sends an empty frame each second. What it would have told counts as told four seconds after it stopped
// and two after a break; within that each office asks again at an instant of its own, as all of them lose it at once.
constexpr Span kBulletinSilent = Span::ms(1600);
constexpr Span kSpread = Span::ms(400);
constexpr Span kRedialBulletin = Span::ms(100);
constexpr Span kRedialBulletinLast = Span::ms(300);
// How often connections are looked after.
constexpr Span kKeeping = Span::ms(20);
// A planned restart. SIGKILL comes no sooner than the longest limit, three seconds at most, and 0.7 s more after
// SIGTERM; until shortly before, calls in transit are carried on, so other offices keep their tandem.
constexpr Span kLongestLeave = Span::ms(3000);
constexpr Span kLeaveSpare = Span::ms(400);  // over that limit; the rest is for the last answers to go out

constexpr int kRefused = 34;

}  // namespace

struct Softswitch::Bulletin : Side {
  Frames frames;
  bool lost = false;  // since it was told of
  std::uint64_t last = 0;
  std::optional<std::uint64_t> gapAfter;  // the last event when one was found missing
  Instant nextDial = Instant::longAgo();
  Span redial = kRedialBulletin;
  Instant silentAt = Instant::never();
};

Softswitch::Softswitch(Deployment deployment, Instant now, Dialler& dialler, const ControllerFactory& open,
                       std::function<void(std::string_view)> tell)
    : deployment_(std::move(deployment)),
      dialler_(&dialler),
      tell_(std::move(tell)),
      controller_(open(deployment_.data, deployment_.seed)),
      registry_(deployment_.here, [] { return std::make_unique<Peer>(); }),
      bulletin_(std::make_unique<Bulletin>()),
      chance_(static_cast<std::ranlux24_base::result_type>(deployment_.seed ^ (deployment_.seed >> 24))),
      now_(now) {
  bulletin_->what = Side::What::bulletin;
  askBulletinWithin(kSpread * 0.5);
  apply(deployment_.known);
}

Softswitch::~Softswitch() = default;

// ---- Streams --------------------------------------------------------------------------------------------------------

void Softswitch::up(Instant now, Stream& stream) {
  now_ = now;
  Side& side = *static_cast<Side*>(stream.kept);
  if (side.what == Side::What::bulletin) {
    if (bulletin_->lost) tell_("bulletin " + iax2::text(deployment_.bulletin) + ": connected again");
    bulletin_->lost = false;
    bulletin_->redial = kRedialBulletin;
    bulletin_->silentAt = now + kBulletinSilent + kSpread * chance();
    ++counts_.asked;
    return stream.send(askAfter(bulletin_->last));
  }
  auto& trunk = static_cast<TrunkSide&>(side);
  trunk.up = true;
  trunk.heard = now;
  Peer& peer = *trunk.peer;
  peer.redial = kRedialFirst;
  peer.refusedSince = Instant::never();
  peer.alive = now;
  peer.untaken = 0;
  for (const auto& [id, cause] : std::exchange(peer.owed, {})) writeTo(trunk, id, cause);
  takeBack(trunk);
  const auto ringing = trunk.ringing;
  for (Call* call : ringing) write(trunk, *call);
}

void Softswitch::read(Instant now, Stream& stream, std::string_view bytes) {
  now_ = now;
  Side& side = *static_cast<Side*>(stream.kept);
  if (side.what == Side::What::bulletin) return fromBulletin(bytes);
  const bool caller = side.what == Side::What::caller;
  Lines& lines = caller ? static_cast<CallerSide&>(side).lines : static_cast<TrunkSide&>(side).lines;
  bool readable = lines.add(bytes);
  while (side.stream != nullptr) {
    const auto line = lines.next();
    if (!line) break;
    if (line->size() > kLongestMessage) {
      readable = false;
      break;
    }
    if (caller) {
      fromCaller(static_cast<CallerSide&>(side), *line);
    } else {
      fromExchange(static_cast<TrunkSide&>(side), *line);
    }
  }
  if (side.stream == nullptr) return;
  if (caller) {
    auto& from = static_cast<CallerSide&>(side);
    if (!readable) {
      ++counts_.unusable;
      return closeCaller(from);
    }
    from.brokenSince = lines.broken() ? std::min(from.brokenSince, now) : Instant::never();
    if (stream.unsent() > kUnsent) closeCaller(from);
  } else if (!readable) {
    ++counts_.spoilt;
    lose(static_cast<TrunkSide&>(side), InviteOutcome::reset);
  }
}

void Softswitch::down(Instant now, Stream& stream, StreamEnd how) {
  now_ = now;
  Side& side = *static_cast<Side*>(stream.kept);
  side.stream = nullptr;
  if (side.what == Side::What::bulletin) {
    if (!bulletin_->lost)
      tell_("bulletin " + iax2::text(deployment_.bulletin) + ": no connection; asked until there is one");
    bulletin_->lost = true;
    askBulletinWithin(bulletin_->redial * 2.0);
    bulletin_->redial = std::min(bulletin_->redial * 2.0, kRedialBulletinLast);
    return;
  }
  if (side.what == Side::What::caller) return closeCaller(static_cast<CallerSide&>(side));
  auto& trunk = static_cast<TrunkSide&>(side);
  Peer& peer = *trunk.peer;
  if (how == StreamEnd::refused) notUp(peer, true);
  lose(trunk, InviteOutcome::unreachable);
}

// ---- The module's decisions -----------------------------------------------------------------------------------------

void Softswitch::finish(Call& call, Kind kind, const Fields& fields, int cause, std::string_view description) {
  if (call.caller != nullptr) {
    call.caller->stream->send(writeMessage(kind, call.id, fields, cause, description));
    --call.caller->open;
  }
  --openCalls_;
  dropDescription(call);
  call.state = Call::State::done;
  call.caller = nullptr;
  finished_.push_back(call.id);
}

void Softswitch::rejectBusy(const Session& session, Span retryAfter) {
  ++counts_.refused;
  Fields fields;
  if (retryAfter > Span::none()) fields.emplace_back("wait", milliseconds(retryAfter));
  finish(const_cast<Call&>(static_cast<const Call&>(session)), Kind::release, fields, kRefused);
}

void Softswitch::failUncertain(const Session& session) {
  ++counts_.failed;
  finish(const_cast<Call&>(static_cast<const Call&>(session)), Kind::release, {}, kFailed);
}

void Softswitch::scheduleWakeUp(Span delay) { wakeAt_ = now_ + delay; }

void Softswitch::deliver(Controller& controller) {
  for (const auto& event : delivered_) event(controller);
}

void Softswitch::round() {
  // A refusal within a round may leave a further event; each takes up one of the call's few INVITEs.
  while (!events_.empty() || wakeAt_ <= now_) {
    if (wakeAt_ <= now_) wakeAt_ = Instant::never();
    delivered_ = std::move(events_);
    events_.clear();
    controller_->round(now_, *this, *this);
    delivered_.clear();
  }
  for (const std::string& id : finished_) {
    const auto it = calls_.find(id);
    if (it != calls_.end() && it->second->state == Call::State::done) calls_.erase(it);
  }
  finished_.clear();
}

// ---- The bulletin ---------------------------------------------------------------------------------------------------

void Softswitch::apply(const std::vector<BulletinEvent>& events) {
  for (const BulletinEvent& event : events) {
    if (event.number <= bulletin_->last && bulletin_->last > 0) continue;
    bulletin_->last = event.number;
    // Who has the address of another took its place: the one before runs no more, and nothing must go there for it.
    for (const Place& place : event.places) {
      if (place.entry.readiness == Readiness::gone) continue;
      for (const auto& [id, listed] : registry_.all()) {
        auto& before = static_cast<Peer&>(*listed);
        if (id != place.entry.id && before.address == place.address) leave(before);
      }
    }
    std::vector<wire::ListEntry> lines;
    for (const Place& place : event.places) {
      lines.push_back(place.entry);
      // One that has gone is where it was, or nowhere if another took its place: it must not be looked for there again.
      if (place.entry.readiness == Readiness::gone && registry_.known(place.entry.id) != nullptr) continue;
      auto& peer = static_cast<Peer&>(registry_.exchange(place.entry.id));
      const bool anew = place.entry.started > peer.started || !(peer.address == place.address);
      peer.address = place.address;
      if (anew) {
        peer.anewAt = now_;
        peer.nextDial = Instant::longAgo();
        peer.redial = kRedialFirst;
        // Its processor is another now; what stood on the one before is over.
        if (place.entry.started > Instant::longAgo()) cutStanding(peer, place.entry.started);
      }
    }
    events_.push_back([this, lines, whole = event.whole](Controller& to) {
      registry_.list(to, lines, whole);
      // No group leads to the own exchange, which nothing else would tell: no connection goes there.
      for (const auto& [id, listed] : registry_.all()) {
        if (listed->own && listed->circuits < 0) to.circuitsChanged(*listed, 0, 0);
      }
    });
  }
}

void Softswitch::fromBulletin(std::string_view bytes) {
  Bulletin& from = *bulletin_;
  from.frames.add(bytes);
  while (const auto event = from.frames.next()) {
    from.silentAt = now_ + kBulletinSilent + kSpread * chance();
    const bool news = event->whole || !event->places.empty();
    // What lies between was lost on the way; an empty frame tells the last number too. Once asked for in vain it is not
    // there.
    if (!event->whole && event->number > from.last + (news ? 1 : 0) && from.gapAfter != from.last) {
      from.gapAfter = from.last;
      tell_("bulletin: an event is missing; asked again");
      return askBulletinWithin(kSpread * 0.5);
    }
    if (news) apply({*event});
  }
  if (!from.frames.readable()) {
    tell_("bulletin: what came is no frame; asked again");
    askBulletinWithin(kSpread * 0.5);
  }
}

double Softswitch::chance() { return std::generate_canonical<double, 24>(chance_); }

/// Not at once, but at an instant by chance before that is over.
void Softswitch::askBulletinWithin(Span most) {
  Bulletin& of = *bulletin_;
  if (of.stream != nullptr) std::exchange(of.stream, nullptr)->cut();
  of.frames = Frames();
  of.nextDial = now_ + most * chance();
}

void Softswitch::askBulletin() {
  Bulletin& of = *bulletin_;
  if (of.stream != nullptr) of.stream->cut();
  of.frames = Frames();
  of.silentAt = now_ + kBulletinSilent + kSpread * chance();
  of.stream = dialler_->dial(deployment_.bulletin);
  of.nextDial = now_ + kRedialBulletin;
  if (of.stream != nullptr) of.stream->kept = static_cast<Side*>(&of);
}

void Softswitch::reconfigured(Instant now, const Deployment& deployment) {
  now_ = now;
  deployment_.bulletin = deployment.bulletin;
  apply(deployment.known);
  bulletin_->redial = kRedialBulletin;
  askBulletinWithin(kSpread * 0.5);
}

// ---- What is due ----------------------------------------------------------------------------------------------------

void Softswitch::process(Instant now) {
  now_ = now;
  const auto ringing = ringing_;
  for (Call* call : ringing) {
    if (call->giveUp > now) continue;
    TrunkSide& side = *call->trunk;
    std::erase(side.ringing, call);
    if (side.up) {
      release(*call->peer, &side, call->id, kNormal);
      if (side.heard <= call->sentAt) {
        side.doubtful = true;
        side.spokenTo = now;
      }
    }
    ended(*call, side.up ? InviteOutcome::timedOut : InviteOutcome::unreachable);
  }
  if (!parted_ && now - keptAt_ >= kKeeping) {
    keptAt_ = now;
    if (bulletin_->stream == nullptr ? bulletin_->nextDial <= now_ : bulletin_->silentAt <= now_) askBulletin();
    keepSides();
    keepCallers();
  }
  round();
  dead_.clear();
}

Instant Softswitch::nextDeadline() const {
  Instant next = parted_ ? wakeAt_ : std::min(wakeAt_, keptAt_ + kKeeping);
  for (const Call* call : ringing_) next = std::min(next, call->giveUp);
  return next;
}

void Softswitch::stop(Instant now) {
  if (stoppingSince_ != Instant::never()) return;
  stoppingSince_ = now;
  Span longest;
  for (const Service& service : deployment_.data.services) longest = std::max(longest, service.timerLimit);
  leaveAt_ = now + std::min(longest, kLongestLeave) + kLeaveSpare;
}

bool Softswitch::stopped(Instant now) const {
  const auto unread = [](const auto& side) { return side->stream->unread(); };
  return now >= leaveAt_ && openCalls_ == 0 && std::none_of(callers_.begin(), callers_.end(), unread);
}

void Softswitch::part(Instant now) {
  now_ = now;
  parted_ = true;
  while (!callers_.empty()) closeCaller(*callers_.back());
  for (const auto& [id, listed] : registry_.all()) {
    auto& peer = static_cast<Peer&>(*listed);
    for (const auto& side : peer.sides) side->told.clear();  // still to go out
    while (!peer.sides.empty()) lose(*peer.sides.back(), InviteOutcome::unreachable);
  }
  if (bulletin_->stream != nullptr) std::exchange(bulletin_->stream, nullptr)->cut();
}

std::string Softswitch::account() const {
  std::string out = "callers=" + std::to_string(callers_.size()) + " trunks=" + std::to_string(trunkCount_) +
                    " calls=" + std::to_string(calls_.size()) + " open=" + std::to_string(openCalls_) +
                    " taken=" + std::to_string(counts_.taken) + " answered=" + std::to_string(counts_.answered) +
                    " refused=" + std::to_string(counts_.refused) + " failed=" + std::to_string(counts_.failed) +
                    " abandoned=" + std::to_string(counts_.abandoned) + " invites=" + std::to_string(counts_.invites) +
                    " cut=" + std::to_string(counts_.cut) + " unusable=" + std::to_string(counts_.unusable) +
                    " spoilt=" + std::to_string(counts_.spoilt) + " dialled=" + std::to_string(counts_.dialled) +
                    " not-up=" + std::to_string(counts_.notUp) + " over-bound=" + std::to_string(counts_.overBound) +
                    " taken-back=" + std::to_string(counts_.takenBack) + " asked=" + std::to_string(counts_.asked) +
                    " last-event=" + std::to_string(bulletin_->last) +
                    " listed=" + std::to_string(registry_.all().size());
  for (const auto& [id, listed] : registry_.all()) {
    const auto& peer = static_cast<const Peer&>(*listed);
    if (peer.readiness == Readiness::gone && peer.sides.empty()) continue;
    const auto figure = [](bool told, double value) {
      char text[32];
      std::snprintf(text, sizeof text, "%g", value);
      return told ? std::string(text) : std::string("untold");
    };
    char who[48];
    std::snprintf(who, sizeof who, " | s-%08x place=%d %s", id, peer.place,
                  peer.own                             ? "own"
                  : peer.readiness == Readiness::ready ? "ready"
                                                       : "leaving");
    out += who;
    const bool told = peer.circuits >= 0, room = peer.reportedCapacity.size() > 0;
    out += " free=" + figure(told, peer.freeCircuits) + " size=" + figure(told, peer.circuits) +
           " takes=" + figure(room, room ? peer.reportedCapacity.last().value : 0) +
           " sides=" + std::to_string(peer.sides.size()) + " ringing=" + std::to_string(peer.pendingInvites.size()) +
           " standing=" + std::to_string(peer.standing.size());
  }
  return out;
}

}  // namespace thistlefold::platform
