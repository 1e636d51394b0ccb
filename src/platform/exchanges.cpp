// The exchanges' side of a softswitch: connections to them, INVITEs, standing calls and what they report.

#include <algorithm>

#include "platform/connections.hpp"
#include "platform/softswitch.hpp"

namespace thistlefold::platform {
namespace {

// Connections to one exchange: one a set-up, so that a spoilt or silent one takes no other set-up with it. At the
// bound set-ups share the one with the fewest.
constexpr std::size_t kSidesOfPeer = 12;
// Share of the connections, over all exchanges; callers have half.
constexpr double kShareOfTrunks = 0.35;
// A connection beyond the spare ones on which nothing came for this long is closed.
constexpr Span kIdleTrunk = Span::ms(10000);
constexpr std::size_t kSpareTrunks = 2;
// A connection on which a set-up went unanswered gets no other until it speaks, and is closed after this.
constexpr Span kDoubtful = Span::ms(2000);
// Where connections do not come up the wait between them doubles from kRedialFirst to this.
constexpr Span kRedialLast = Span::ms(800);
// An exchange that refuses connections for this long, with none standing, is dead and has cut its calls.
constexpr Span kDeadAfter = Span::ms(1000);
// An exchange at which calls stand and that says nothing is tried with a new connection: a machine that has vanished
// takes none, and nobody but us can tell its callers. The platform wants them told within eight seconds.
constexpr Span kQuiet = Span::ms(1500);
constexpr Span kTryEvery = Span::ms(800);
constexpr Span kVanished = Span::ms(5000);
// A release may be lost with the connection it was written to. Where that ends within this time it is written again on
// another; the longest way there and back, and a few times more. So many of one connection are remembered.
constexpr Span kToldAgain = Span::ms(1000);
constexpr std::size_t kToldOfSide = 64;

}  // namespace

void Softswitch::notUp(Peer& peer, bool refused) {
  ++counts_.notUp;
  ++peer.untaken;
  // Nobody answers: only where the directory says so too is the machine taken for gone this soon.
  if (!refused && peer.readiness != Readiness::gone) return;
  const bool anyUp = std::any_of(peer.sides.begin(), peer.sides.end(), [](const auto& one) { return one->up; });
  if (!anyUp) peer.refusedSince = std::min(peer.refusedSince, now_);
}

/// An exchange without any connection is owed one: whoever holds most gives an idle one.
bool Softswitch::makeRoomFor(const Peer& peer) {
  if (!peer.sides.empty()) return false;
  Peer* most = nullptr;
  TrunkSide* spare = nullptr;
  for (const auto& [id, listed] : registry_.all()) {
    auto& other = static_cast<Peer&>(*listed);
    if (other.sides.size() < 2 || (most != nullptr && other.sides.size() <= most->sides.size())) continue;
    const auto idle = std::find_if(other.sides.begin(), other.sides.end(),
                                   [](const auto& side) { return side->ringing.empty() && !side->stream->unread(); });
    if (idle == other.sides.end()) continue;
    most = &other;
    spare = idle->get();
  }
  if (spare == nullptr) return false;
  lose(*spare, InviteOutcome::unreachable);
  return true;
}

TrunkSide* Softswitch::dial(Peer& peer) {
  if (static_cast<double>(trunkCount_) >= kShareOfTrunks * deployment_.connections && !makeRoomFor(peer))
    return nullptr;
  Stream* stream = dialler_->dial(peer.address);
  if (stream == nullptr) return nullptr;
  ++counts_.dialled;
  ++trunkCount_;
  auto side = std::make_unique<TrunkSide>();
  side->what = Side::What::trunk;
  side->stream = stream;
  side->peer = &peer;
  side->dialled = side->heard = side->spokenTo = now_;
  stream->kept = side.get();
  peer.sides.push_back(std::move(side));
  return peer.sides.back().get();
}

// The connection for a set-up: one without a set-up that spoke last, else a new one, else the one with the fewest.
TrunkSide* Softswitch::sideFor(Peer& peer) {
  if (peer.address == iax2::Address{}) return nullptr;  // another took its place
  TrunkSide* best = nullptr;
  for (const auto& side : peer.sides) {
    // Where output waits nobody reads, and a set-up would go out at an instant that nobody chose.
    if (!side->up || side->doubtful || !side->ringing.empty() || side->stream->unsent() > 0) continue;
    if (best == nullptr || side->heard > best->heard) best = side.get();
  }
  if (best != nullptr) return best;
  if (peer.sides.size() < kSidesOfPeer) {
    for (const auto& side : peer.sides) {
      if (!side->up && side->ringing.empty()) return side.get();
    }
    if (TrunkSide* side = dial(peer)) return side;
  }
  for (const auto& side : peer.sides) {
    if (side->doubtful) continue;
    if (best == nullptr || side->ringing.size() < best->ringing.size()) best = side.get();
  }
  return best;
}

void Softswitch::write(TrunkSide& side, Call& call) {
  // The description is kept: the module may send the call again.
  const Fields fields = {{"class", deployment_.services[call.serviceAt]},
                         {"key", call.key},
                         {"left", milliseconds(std::max(call.giveUp - now_, Span::ms(1)))}};
  side.spokenTo = now_;
  side.stream->send(writeMessage(Kind::setup, call.id, fields, -1, call.description));
}

void Softswitch::invite(const Session& session, const Exchange& to, Span giveUpAfter) {
  // Both are this softswitch's own; the module only reads them here.
  Call& call = const_cast<Call&>(static_cast<const Call&>(session));
  Peer& peer = const_cast<Peer&>(static_cast<const Peer&>(to));
  ++counts_.invites;
  call.peer = &peer;
  call.giveUp = std::min(now_ + giveUpAfter, call.timerLimit);
  std::erase_if(peer.owed, [&](const auto& one) { return one.first == call.id; });
  for (const auto& side : peer.sides) std::erase_if(side->told, [&](const Told& one) { return one.id == call.id; });
  TrunkSide* side = sideFor(peer);
  if (side == nullptr) {
    // No descriptor is left and no connection stands, or nobody is there any more: it never left.
    ++counts_.overBound;
    events_.push_back([&call, &peer](Controller& controller) {
      controller.inviteEnded(call, peer, InviteOutcome::notSent, BlockingReason::none, false, Span::none(), false);
    });
    return;
  }
  call.state = Call::State::ringing;
  call.trunk = side;
  side->ringing.push_back(&call);
  ringing_.push_back(&call);
  if (side->up) write(*side, call);
}

void Softswitch::release(Peer& peer, TrunkSide* side, const std::string& id, int cause) {
  if (side == nullptr || !side->up || side->stream == nullptr) {
    side = nullptr;
    for (const auto& one : peer.sides) {
      if (!one->up || one->stream == nullptr) continue;
      if (side == nullptr || std::pair(!one->doubtful, one->heard) > std::pair(!side->doubtful, side->heard))
        side = one.get();
    }
  }
  if (side != nullptr) return writeTo(*side, id, cause);
  if (peer.owed.size() < kOver) peer.owed.emplace_back(id, cause);
}

void Softswitch::writeTo(TrunkSide& side, const std::string& id, int cause) {
  side.stream->send(writeMessage(Kind::release, id, {}, cause));
  if (side.told.size() == kToldOfSide) side.told.erase(side.told.begin());
  side.told.push_back({id, cause, now_});
}

/// What waits for a connection and must not go out any more is the module's again: since it was sent its exchange was
/// told of as leaving, as another process, or at no address.
void Softswitch::takeBack(TrunkSide& side) {
  const Peer& peer = *side.peer;
  const bool leaving = peer.readiness != Readiness::ready || peer.address == iax2::Address{};
  const auto waiting = side.ringing;
  for (Call* call : waiting) {
    if (!leaving && call->sentAt >= peer.anewAt) continue;
    ++counts_.takenBack;
    std::erase(side.ringing, call);
    ended(*call, InviteOutcome::notSent);
  }
}

void Softswitch::feedback(Peer& peer, const Message& message) {
  const auto load = message.field("load");
  if (!load) return;
  std::optional<double> free, size, canTake;
  for (const std::string& name : deployment_.reports) {
    // The settings name them in their own words, messages in the bench's.
    const bool isFree = name == "free" || name == "x0", isSize = name == "size" || name == "x1";
    const bool isRoom = name == "can_take" || name == "qps";
    auto text = figure(*load, name);
    if (!text)
      text = isFree ? figure(*load, "x0") : isSize ? figure(*load, "x1") : isRoom ? figure(*load, "qps") : text;
    if (!text) continue;
    const auto value = readNumber(*text);
    if (!value || *value < 0) continue;
    if (isFree) free = value;
    if (isSize) size = value;
    if (isRoom) canTake = value;
  }
  if (!(size || canTake)) return;
  events_.push_back([&peer, free, size, canTake](Controller& to) {
    if (size) to.circuitsChanged(peer, free.value_or(0), *size);
    if (canTake) to.capacityReported(peer, *canTake);
  });
}

void Softswitch::fromExchange(TrunkSide& side, std::string_view line) {
  const auto message = readMessage(line);
  if (!message) {
    ++counts_.spoilt;
    return lose(side, InviteOutcome::reset);
  }
  side.heard = side.peer->alive = now_;
  side.peer->untaken = 0;
  side.doubtful = false;
  feedback(*side.peer, *message);
  if (message->kind == Kind::released) std::erase_if(side.told, [&](const Told& one) { return one.id == message->id; });
  if (message->kind != Kind::answer && message->kind != Kind::release) return;
  const auto it = calls_.find(message->id);
  Call* call = it == calls_.end() ? nullptr : it->second.get();
  if (call == nullptr || call->state == Call::State::done) {
    if (call == nullptr && message->kind == Kind::release && overUnknown_.size() < kOver) {
      overUnknown_.push_back({message->id, now_, message->cause.value_or(kFailed)});
    }
    return;
  }
  const bool ringsHere = call->state == Call::State::ringing && call->trunk == &side;
  const bool standsHere = call->state == Call::State::standing && call->peer == side.peer;
  if (message->kind == Kind::answer) {
    if (!ringsHere) return;  // a copy, or another's
    if (message->description.empty()) {
      ++counts_.spoilt;
      return lose(side, InviteOutcome::reset);
    }
    return answeredBy(side, *call, message->description);
  }
  if (ringsHere) return releasedBy(side, *call, *message);
  if (standsHere) {
    const int cause = message->cause.value_or(kFailed);
    over(*call, cause == kNormal ? InviteOutcome::released : InviteOutcome::reset, cause);
  }
}

void Softswitch::answeredBy(TrunkSide& side, Call& call, const std::string& description) {
  ++counts_.answered;
  std::erase(side.ringing, &call);
  std::erase(ringing_, &call);
  call.trunk = nullptr;
  call.state = Call::State::standing;
  call.stoodAt = now_;
  dropDescription(call);
  call.peer->standing.push_back(&call);
  --openCalls_;
  if (call.caller != nullptr) {
    --call.caller->open;
    call.caller->trusted = true;
    call.caller->spoke = now_;
    call.caller->stream->send(writeMessage(Kind::answer, call.id, {}, -1, description));
  }
  events_.push_back([&call, delay = now_ - call.sentAt](Controller& to) { to.inviteAccepted(call, delay); });
}

void Softswitch::releasedBy(TrunkSide& side, Call& call, const Message& message) {
  std::erase(side.ringing, &call);
  const int cause = message.cause.value_or(kFailed);
  const std::string_view note = message.field("note").value_or("");
  const BlockingReason reason = note == "atb"                     ? BlockingReason::noCircuit
                                : note == "rtb" || note == "racc" ? BlockingReason::turnedBack
                                : note == "acc"                   ? BlockingReason::processorFull
                                : note == "sub"                   ? BlockingReason::lineBusy
                                                                  : BlockingReason::none;
  const double waited = readNumber(message.field("waited").value_or("0")).value_or(0);
  const Span toldWait =
      reason == BlockingReason::processorFull ? Span::ms(std::clamp(waited, 0.0, 60000.0)) : Span::none();
  const InviteOutcome ending = cause == 34                  ? InviteOutcome::overloaded
                               : cause == 17 || cause == 47 ? InviteOutcome::failed
                               : cause == 102               ? InviteOutcome::notSent
                                                            : InviteOutcome::reset;
  ended(call, ending, reason, note == "racc", toldWait);
}

/// An INVITE that is out has ended without an answer; the final answer is the module's to give.
void Softswitch::ended(Call& call, InviteOutcome ending, BlockingReason reason, bool farProcessor, Span toldWait) {
  std::erase(ringing_, &call);
  call.trunk = nullptr;
  call.state = Call::State::open;
  events_.push_back([&call, at = call.peer, ending, reason, farProcessor, toldWait](Controller& to) {
    to.inviteEnded(call, *at, ending, reason, farProcessor, toldWait, false);
  });
}

/// A call that stood is over.
void Softswitch::over(Call& call, InviteOutcome ending, int cause) {
  if (ending != InviteOutcome::released) ++counts_.cut;
  tellCaller(call, cause);
  std::erase(call.peer->standing, &call);
  if (call.ofModule) {
    events_.push_back([&call, at = call.peer, ending](Controller& to) {
      to.inviteEnded(call, *at, ending, BlockingReason::none, false, Span::none(), true);
    });
  }
  call.state = Call::State::done;
  call.caller = nullptr;
  finished_.push_back(call.id);
}

/// A connection to an exchange is no more. What was written to it may have run, what was not has not.
void Softswitch::lose(TrunkSide& side, InviteOutcome unsent) {
  Peer& peer = *side.peer;
  const bool wasUp = side.up;
  side.up = false;
  if (side.stream != nullptr) side.stream->end();
  side.stream = nullptr;
  const auto ringing = std::move(side.ringing);
  side.ringing.clear();
  for (const Told& one : side.told) {
    if (now_ - one.at < kToldAgain) release(peer, nullptr, one.id, one.cause);
  }
  for (Call* call : ringing) {
    if (wasUp) release(peer, nullptr, call->id, kNormal);
    ended(*call, wasUp ? InviteOutcome::reset : unsent);
  }
  --trunkCount_;
  peer.nextDial = now_ + peer.redial;
  if (!wasUp) peer.redial = std::min(peer.redial * 2.0, kRedialLast);
  const auto it =
      std::find_if(peer.sides.begin(), peer.sides.end(), [&](const auto& one) { return one.get() == &side; });
  dead_.push_back(std::move(*it));
  peer.sides.erase(it);
}

/// The process of an exchange is no more: what stood there is over, and there is nobody to tell.
void Softswitch::leave(Peer& peer) {
  cutStanding(peer, Instant::never());
  peer.owed.clear();
  while (!peer.sides.empty()) lose(*peer.sides.back(), InviteOutcome::unreachable);
  peer.owed.clear();
  peer.address = {};
}

void Softswitch::cutStanding(Peer& peer, Instant before) {
  const auto standing = peer.standing;
  for (Call* call : standing) {
    if (call->stoodAt >= before) continue;
    release(peer, nullptr, call->id, kNormal);  // should it stand there all the same
    over(*call, InviteOutcome::reset, kFailed);
  }
}

void Softswitch::keepSides() {
  for (const auto& [id, listed] : registry_.all()) {
    auto& peer = static_cast<Peer&>(*listed);
    if (peer.own) continue;
    for (std::size_t i = peer.sides.size(); i-- > 0;) {
      TrunkSide& side = *peer.sides[i];
      if (!side.up) takeBack(side);
      if (!side.up && now_ - side.dialled > deployment_.connectWithin) {
        notUp(peer, false);
        lose(side, InviteOutcome::unreachable);
      } else if (side.doubtful && side.ringing.empty() && now_ - side.spokenTo > kDoubtful) {
        lose(side, InviteOutcome::unreachable);
        peer.nextDial = now_;
      } else if (side.up && side.ringing.empty() && peer.sides.size() > kSpareTrunks &&
                 now_ - side.heard > kIdleTrunk) {
        lose(side, InviteOutcome::unreachable);
      }
    }
    if (peer.refusedSince != Instant::never() && now_ - peer.refusedSince > kDeadAfter)
      cutStanding(peer, Instant::never());
    if (peer.address == iax2::Address{}) continue;
    const Span quiet = now_ - peer.alive;
    if (!peer.standing.empty() && quiet > kQuiet && now_ - peer.triedAt > kTryEvery) {
      peer.triedAt = now_;
      if (peer.sides.size() < kSidesOfPeer) dial(peer);
    }
    if (quiet > kVanished && peer.untaken >= 2) cutStanding(peer, Instant::never());
    const bool wanted = peer.readiness == Readiness::ready || !peer.standing.empty() || !peer.owed.empty();
    const bool usable =
        std::any_of(peer.sides.begin(), peer.sides.end(), [](const auto& side) { return !side->doubtful; });
    if (wanted && !usable && peer.sides.size() < kSidesOfPeer && peer.nextDial <= now_) dial(peer);
    if (peer.readiness == Readiness::gone && peer.standing.empty()) {
      peer.owed.clear();
      for (std::size_t i = peer.sides.size(); i-- > 0;) {
        if (peer.sides[i]->ringing.empty()) lose(*peer.sides[i], InviteOutcome::unreachable);
      }
    }
  }
}

}  // namespace thistlefold::platform
