#include "iax2/endpoint.hpp"

#include <xxhash.h>

#include <algorithm>

namespace thistlefold::iax2 {
namespace {

// Call number 0 means none yet; 1 is reserved for POKE, which belongs to no call (RFC 5456 section 6.7.5).
constexpr std::uint16_t kPokeNumber = 1;
constexpr std::uint16_t kFirstNumber = 2;
constexpr std::uint16_t kLastNumber = 0x7fff;

// By how much `a` is ahead of `b`. Sequence numbers are compared modulo 256, and half of the range counts as behind
// (RFC 5456 section 7.1).
int sequenceDifference(std::uint8_t a, std::uint8_t b) { return static_cast<std::int8_t>(a - b); }

bool sequenced(const FrameHeader& header) {
  return !(header.is(Iax::ACK) || header.is(Iax::INVAL) || header.is(Iax::VNAK) || header.is(Iax::POKE));
}

std::uint32_t elapsedMs(Instant startedAt, Instant now) {
  return static_cast<std::uint32_t>(std::max(0.0, (now - startedAt).ms()));
}

}  // namespace

std::uint32_t pokeStamp(Instant now) {
  return static_cast<std::uint32_t>(static_cast<std::uint64_t>(std::max(0.0, (now - Instant()).ms())));
}

Endpoint::Endpoint(CallListener& listener, std::uint64_t seed, DialogueTiming timing)
    : listener_(listener), timing_(timing), random_(static_cast<std::uint32_t>(seed ^ seed >> 32) | 1u) {}

Endpoint::~Endpoint() = default;

void Endpoint::receive(Instant now, Address from, Bytes datagram) {
  ++counts_.received;
  Frame frame;
  switch (decode(datagram, frame)) {
    case DecodeResult::malformed:
      ++counts_.malformed;
      return;
    case DecodeResult::mini:
      ++counts_.miniFrames;
      return;
    case DecodeResult::full:
      break;
  }
  if (frame.is(Iax::POKE)) {
    // Not usable for amplification: one datagram is sent per datagram received, longer only by the PONG's elements.
    FrameHeader pong;
    pong.source = kPokeNumber;
    pong.destination = frame.source;
    pong.timestamp = frame.timestamp;
    pong.subclass = static_cast<std::uint8_t>(Iax::PONG);
    return enqueue(from, encode(pong, listener_.pongElements(from)));
  }
  if (frame.is(Iax::PONG) && frame.destination == kPokeNumber) return listener_.onPong(from, frame);

  Call* call = nullptr;
  if (frame.destination != 0) {
    const auto it = byLocal_.find(key(from, frame.destination));
    if (it != byLocal_.end()) call = it->second.get();
    // Once the far end's call number is known, a frame with another source number does not belong to this call.
    if (call != nullptr && call->remote_ != 0 && call->remote_ != frame.source) call = nullptr;
  } else if (frame.is(Iax::NEW)) {
    const std::uint64_t hash = XXH3_64bits(datagram.data() + 4, datagram.size() - 4);
    const auto it = byRemote_.find(key(from, frame.source));
    if (it != byRemote_.end() && (it->second->newFrameHash_ == hash ||
                                  (frame.retransmitted && it->second->newFrameTimestamp_ == frame.timestamp))) {
      // The same NEW again, possibly after the call has ended or truncated on the way. It must not open a second call.
      ++counts_.duplicates;
      it->second->lastTimestamp_ = frame.timestamp;
      return sendUnreliable(now, *it->second, Iax::ACK, frame.timestamp);
    }
    if (frame.oseq != 0 || frame.iseq != 0 || frame.source < kFirstNumber) {
      ++counts_.outOfWindow;
      return;
    }
    if (it != byRemote_.end()) {
      // The peer uses its call number for a new call, so it no longer knows the old one.
      Call& old = *it->second;
      if (!old.hasEnded_) endCall(now, old, CallEnd::unknownCall);
      destroy(old);
    }
    call = createCall(now, from);
    if (call == nullptr) return;
    call->remote_ = frame.source;
    call->newFrameHash_ = hash;
    call->newFrameTimestamp_ = frame.timestamp;
    call->iseq_ = 1;
    call->lastTimestamp_ = frame.timestamp;
    byRemote_[key(from, frame.source)] = call;
    reschedule(*call, now + timing_.pingInterval);
    call->isAckPending_ = true;
    callsWithPendingAck_.push_back(call);
    listener_.onIncomingCall(*call, frame);
    if (call->owner_ == nullptr && !call->isClosing_) destroy(*call);
    return;
  }
  if (call == nullptr && frame.destination == 0) {
    // A sender that gives up before it has received this end's call number sends its HANGUP without one. Finding the
    // call by the sender's number prevents that, after a pause of this process, the call stays up at this end only.
    const auto it = byRemote_.find(key(from, frame.source));
    if (it != byRemote_.end()) call = it->second;
  }
  if (call == nullptr) {
    ++counts_.unknownCall;
    if (!frame.is(Iax::INVAL) && !frame.is(Iax::ACK) && !frame.is(Iax::VNAK)) sendInval(from, frame);
    return;
  }
  processFrame(now, *call, frame);
}

void Endpoint::processFrame(Instant now, Call& call, const Frame& frame) {
  if (frame.is(Iax::INVAL)) {
    ++counts_.invalReceived;
    if (!call.hasEnded_) endCall(now, call, call.isClosing_ ? CallEnd::localHangUp : CallEnd::unknownCall);
    return;
  }
  // A frame that acknowledges frames not yet sent belongs to an earlier call.
  if (sequenceDifference(frame.iseq, call.oseq_) > 0) {
    ++counts_.outOfWindow;
    return;
  }
  if (call.remote_ == 0) {
    call.remote_ = frame.source;
    byRemote_[key(call.peer_, frame.source)] = &call;
  }
  if (frame.is(Iax::VNAK)) {
    ++counts_.vnakReceived;
    onAcknowledged(now, call, frame.iseq);
    for (Call::Unacknowledged& frameSent : call.unacknowledged_) {
      markRetransmitted(frameSent.bytes, call.iseq_);
      ++counts_.retransmitted;
      enqueue(call.peer_, frameSent.bytes);
    }
    return;
  }
  if (!sequenced(frame)) return onAcknowledged(now, call, frame.iseq);
  const int step = sequenceDifference(frame.oseq, call.iseq_);
  if (step < 0) {
    ++counts_.duplicates;
    onAcknowledged(now, call, frame.iseq);
    return sendUnreliable(now, call, Iax::ACK, frame.timestamp);
  }
  if (step > 0) {
    ++counts_.outOfWindow;
    // The missing frame is requested once. If that VNAK is lost, the far end retransmits by itself.
    if (!call.isVnakSent_) sendUnreliable(now, call, Iax::VNAK, frame.timestamp);
    call.isVnakSent_ = true;
    return;
  }
  if (call.hasEnded_ && !frame.is(Iax::HANGUP) && !frame.is(Iax::REJECT)) {
    // The call has ended here but not at the far end. INVAL ends it there, or it would keep its circuits in use.
    return sendInval(call.peer_, frame);
  }
  call.isVnakSent_ = false;
  ++call.iseq_;
  call.lastTimestamp_ = frame.timestamp;
  if (!call.isAckPending_) {
    call.isAckPending_ = true;
    callsWithPendingAck_.push_back(&call);
  }
  // Handled before the acknowledgement that the frame carries: a HANGUP that answers a HANGUP ends the call.
  if (frame.is(Iax::HANGUP) || frame.is(Iax::REJECT)) {
    if (call.hasEnded_) return;
    if (!call.isClosing_ && call.owner_ != nullptr) call.owner_->onFrame(call, frame);
    call.unacknowledged_.clear();
    return endCall(now, call, call.isClosing_ ? CallEnd::localHangUp : CallEnd::remoteHangUp);
  }
  onAcknowledged(now, call, frame.iseq);
  if (call.hasEnded_) return;
  if (frame.is(Iax::PING)) return sendReliable(now, call, Type::iax, static_cast<std::uint8_t>(Iax::PONG), {});
  if (frame.is(Iax::LAGRQ)) return sendReliable(now, call, Type::iax, static_cast<std::uint8_t>(Iax::LAGRP), {});
  if (frame.is(Iax::PONG) || frame.is(Iax::LAGRP)) return;
  if (call.isClosing_ || call.owner_ == nullptr) return;
  if (frame.type == Type::iax && !frame.is(Iax::ACCEPT) && !frame.is(Iax::UNSUPPORT)) {
    // Unsupported subclasses are answered with UNSUPPORT (RFC 5456 section 6.9.4).
    ++counts_.unsupported;
    Elements elements;
    elements.unknownSubclass = frame.subclass;
    return send(now, call, Iax::UNSUPPORT, elements);
  }
  call.owner_->onFrame(call, frame);
}

Call* Endpoint::open(Instant now, Address to, CallOwner* owner, const Elements& elements) {
  Call* call = createCall(now, to);
  if (call == nullptr) return nullptr;
  call->owner_ = owner;
  sendReliable(now, *call, Type::iax, static_cast<std::uint8_t>(Iax::NEW), elements);
  return call;
}

void Endpoint::send(Instant now, Call& call, Iax subclass, const Elements& elements) {
  if (call.hasEnded_ || call.isClosing_) return;
  sendReliable(now, call, Type::iax, static_cast<std::uint8_t>(subclass), elements);
}

void Endpoint::send(Instant now, Call& call, Control subclass) {
  if (call.hasEnded_ || call.isClosing_) return;
  sendReliable(now, call, Type::control, static_cast<std::uint8_t>(subclass), {});
}

void Endpoint::hangUp(Instant now, Call& call, Iax how, const Elements& elements) {
  if (call.hasEnded_ || call.isClosing_) return;
  sendReliable(now, call, Type::iax, static_cast<std::uint8_t>(how), elements);
  call.isClosing_ = true;
}

void Endpoint::discard(Call& call) {
  call.owner_ = nullptr;
  destroy(call);
}

void Endpoint::poke(Instant now, Address to) {
  FrameHeader header;
  header.source = kPokeNumber;
  header.timestamp = pokeStamp(now);
  header.subclass = static_cast<std::uint8_t>(Iax::POKE);
  enqueue(to, encode(header, {}));
}

void Endpoint::expire(Instant now) {
  while (!timers_.empty() && timers_.begin()->first <= now) {
    Call& call = *timers_.begin()->second;
    if (call.hasEnded_) {
      destroy(call);
    } else if (call.unacknowledged_.empty()) {
      sendReliable(now, call, Type::iax, static_cast<std::uint8_t>(Iax::PING), {});
    } else if (call.retransmits_ >= timing_.maxRetransmits) {
      ++counts_.unacknowledgedCalls;
      endCall(now, call, CallEnd::unacknowledged);
    } else {
      ++call.retransmits_;
      Span gap = timing_.firstRetransmitInterval;
      for (int i = 0; i < call.retransmits_; ++i) gap = std::min(gap * 2.0, timing_.maxRetransmitInterval);
      reschedule(call, now + gap);
      for (Call::Unacknowledged& frameSent : call.unacknowledged_) {
        markRetransmitted(frameSent.bytes, call.iseq_);
        ++counts_.retransmitted;
        enqueue(call.peer_, frameSent.bytes);
      }
    }
  }
}

void Endpoint::flush(Instant now, const std::function<void(Address, Bytes)>& out) {
  const auto pending = std::move(callsWithPendingAck_);
  callsWithPendingAck_.clear();
  for (Call* call : pending) {
    if (call->isAckPending_) sendUnreliable(now, *call, Iax::ACK, call->lastTimestamp_);
  }
  const auto datagrams = std::move(outgoing_);
  outgoing_.clear();
  counts_.sent += datagrams.size();
  for (const auto& [to, bytes] : datagrams) out(to, bytes);
}

Call* Endpoint::createCall(Instant now, Address peer) {
  if (byLocal_.size() >= timing_.maxCalls) {
    ++counts_.overCallLimit;
    return nullptr;
  }
  // The first number is random, so that a restarted office does not reuse the numbers of its earlier calls.
  const auto numberCount = static_cast<std::uint32_t>(kLastNumber - kFirstNumber + 1);
  const auto [it, isNew] = numbers_.try_emplace(
      peer.key(), CallNumbers{static_cast<std::uint16_t>(kFirstNumber + random_() % numberCount), 0});
  CallNumbers& numbers = it->second;
  if (numbers.used == numberCount) {
    ++counts_.noCallNumber;
    return nullptr;
  }
  while (byLocal_.contains(key(peer, numbers.next))) {
    numbers.next = numbers.next == kLastNumber ? kFirstNumber : static_cast<std::uint16_t>(numbers.next + 1);
  }
  auto created = std::make_unique<Call>();
  created->peer_ = peer;
  created->local_ = numbers.next;
  created->startedAt_ = now;
  numbers.next = numbers.next == kLastNumber ? kFirstNumber : static_cast<std::uint16_t>(numbers.next + 1);
  ++numbers.used;
  Call* call = created.get();
  byLocal_[key(peer, call->local_)] = std::move(created);
  return call;
}

FrameHeader Endpoint::makeHeader(Instant now, Call& call, Type type, std::uint8_t subclass) {
  FrameHeader header;
  header.source = call.local_;
  header.destination = call.remote_;
  header.timestamp = elapsedMs(call.startedAt_, now);
  header.oseq = call.oseq_;
  header.iseq = call.iseq_;
  header.type = type;
  header.subclass = subclass;
  return header;
}

void Endpoint::sendReliable(Instant now, Call& call, Type type, std::uint8_t subclass, const Elements& elements) {
  call.unacknowledged_.push_back({call.oseq_, encode(makeHeader(now, call, type, subclass), elements)});
  ++call.oseq_;
  call.isAckPending_ = false;  // this frame acknowledges too
  if (call.unacknowledged_.size() == 1) {
    call.retransmits_ = 0;
    reschedule(call, now + timing_.firstRetransmitInterval);
  }
  enqueue(call.peer_, call.unacknowledged_.back().bytes);
}

void Endpoint::sendUnreliable(Instant now, Call& call, Iax subclass, std::uint32_t timestamp) {
  FrameHeader frame = makeHeader(now, call, Type::iax, static_cast<std::uint8_t>(subclass));
  frame.timestamp = timestamp;
  call.isAckPending_ = false;
  enqueue(call.peer_, encode(frame, {}));
}

void Endpoint::enqueue(Address to, std::vector<std::uint8_t> bytes) { outgoing_.emplace_back(to, std::move(bytes)); }

void Endpoint::reschedule(Call& call, Instant at) {
  timers_.erase({call.timer_, &call});
  call.timer_ = at;
  timers_.insert({at, &call});
}

void Endpoint::onAcknowledged(Instant now, Call& call, std::uint8_t expectedByPeer) {
  const std::size_t before = call.unacknowledged_.size();
  std::erase_if(call.unacknowledged_,
                [&](const auto& one) { return sequenceDifference(expectedByPeer, one.oseq) > 0; });
  if (call.unacknowledged_.size() == before) return;
  call.retransmits_ = 0;
  if (!call.unacknowledged_.empty()) return reschedule(call, now + timing_.firstRetransmitInterval);
  if (call.isClosing_ && !call.hasEnded_) return endCall(now, call, CallEnd::localHangUp);
  if (!call.hasEnded_) reschedule(call, now + timing_.pingInterval);
}

void Endpoint::endCall(Instant now, Call& call, CallEnd how) {
  call.hasEnded_ = true;
  call.isClosing_ = true;
  call.unacknowledged_.clear();
  reschedule(call, now + timing_.linger);
  CallOwner* owner = call.owner_;
  call.owner_ = nullptr;
  if (owner != nullptr) owner->onCallEnded(call, how);
}

void Endpoint::destroy(Call& call) {
  timers_.erase({call.timer_, &call});
  std::erase(callsWithPendingAck_, &call);
  const auto it = byRemote_.find(key(call.peer_, call.remote_));
  if (it != byRemote_.end() && it->second == &call) byRemote_.erase(it);
  const auto numbers = numbers_.find(call.peer_.key());
  if (--numbers->second.used == 0) numbers_.erase(numbers);
  byLocal_.erase(key(call.peer_, call.local_));
}

void Endpoint::sendInval(Address to, const Frame& frame) {
  FrameHeader header;
  header.source = frame.destination;
  header.destination = frame.source;
  header.timestamp = frame.timestamp;
  header.oseq = frame.iseq;
  header.iseq = frame.oseq;
  header.subclass = static_cast<std::uint8_t>(Iax::INVAL);
  enqueue(to, encode(header, {}));
}

}  // namespace thistlefold::iax2
