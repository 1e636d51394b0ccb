#include "iax2/endpoint.hpp"

#include <xxhash.h>

#include <algorithm>

namespace thistlefold::iax2 {
namespace {

// Call 0 means none yet; 1 is kept for POKE, which belongs to no call (RFC 5456 section 6.7.5).
constexpr std::uint16_t kPokeNumber = 1;
constexpr std::uint16_t kFirstNumber = 2;
constexpr std::uint16_t kLastNumber = 0x7fff;

// Sequence numbers are compared modulo 256; half of them count as behind (RFC 5456 section 7.1).
int ahead(std::uint8_t a, std::uint8_t b) { return static_cast<std::int8_t>(a - b); }

bool sequenced(const FrameHeader& head) {
  return !(head.is(Iax::ACK) || head.is(Iax::INVAL) || head.is(Iax::VNAK) || head.is(Iax::POKE));
}

std::uint32_t since(Instant began, Instant now) {
  return static_cast<std::uint32_t>(std::max(0.0, (now - began).ms()));
}

}  // namespace

std::uint32_t pokeStamp(Instant now) {
  return static_cast<std::uint32_t>(static_cast<std::uint64_t>(std::max(0.0, (now - Instant()).ms())));
}

Endpoint::Endpoint(CallListener& listener, std::uint64_t seed, DialogueTiming timing)
    : listener_(listener), timing_(timing), chance_(static_cast<std::uint32_t>(seed ^ seed >> 32) | 1u) {}

Endpoint::~Endpoint() = default;

void Endpoint::receive(Instant now, Address from, Bytes datagram) {
  ++counts_.received;
  Frame frame;
  switch (decode(datagram, frame)) {
    case DecodeResult::malformed:
      ++counts_.malformed;
      return;
    case DecodeResult::mini:
      ++counts_.mini;
      return;
    case DecodeResult::full:
      break;
  }
  if (frame.is(Iax::POKE)) {
    // One datagram out for one in, and the answer is longer only by what pongElements() tells.
    FrameHeader back;
    back.source = kPokeNumber;
    back.destination = frame.source;
    back.timestamp = frame.timestamp;
    back.subclass = static_cast<std::uint8_t>(Iax::PONG);
    return post(from, encode(back, listener_.pongElements(from)));
  }
  if (frame.is(Iax::PONG) && frame.destination == kPokeNumber) return listener_.onPong(from, frame);

  Call* call = nullptr;
  if (frame.destination != 0) {
    const auto it = byLocal_.find(key(from, frame.destination));
    if (it != byLocal_.end()) call = it->second.get();
    // Once the far end has named its number, frames of another of its calls are strays.
    if (call != nullptr && call->remote_ != 0 && call->remote_ != frame.source) call = nullptr;
  } else if (frame.is(Iax::NEW)) {
    const std::uint64_t hash = XXH3_64bits(datagram.data() + 4, datagram.size() - 4);
    const auto it = byRemote_.find(key(from, frame.source));
    if (it != byRemote_.end() &&
        (it->second->newHash_ == hash || (frame.retransmitted && it->second->newStamp_ == frame.timestamp))) {
      // The same NEW again, maybe after the call has ended, maybe cut short on the way: never a second call.
      ++counts_.repeated;
      it->second->lastStamp_ = frame.timestamp;
      return unreliable(now, *it->second, Iax::ACK, frame.timestamp);
    }
    if (frame.oseq != 0 || frame.iseq != 0 || frame.source < kFirstNumber) {
      ++counts_.outOfWindow;
      return;
    }
    if (it != byRemote_.end()) {
      // The peer has taken its number anew, so it has let go of the old call.
      Call& old = *it->second;
      if (!old.over_) finish(now, old, CallEnd::unknownCall);
      destroy(old);
    }
    call = make(now, from);
    if (call == nullptr) return;
    call->remote_ = frame.source;
    call->newHash_ = hash;
    call->newStamp_ = frame.timestamp;
    call->iseq_ = 1;
    call->lastStamp_ = frame.timestamp;
    byRemote_[key(from, frame.source)] = call;
    reschedule(*call, now + timing_.pingInterval);
    call->owesAck_ = true;
    owing_.push_back(call);
    listener_.onIncomingCall(*call, frame);
    if (call->owner_ == nullptr && !call->closing_) destroy(*call);
    return;
  }
  if (call == nullptr && frame.destination == 0) {
    // A sender that gives up before it has heard a number: its HANGUP follows its NEW without one. Guards against
    // calls that only this end believes in after it stood still.
    const auto it = byRemote_.find(key(from, frame.source));
    if (it != byRemote_.end()) call = it->second;
  }
  if (call == nullptr) {
    ++counts_.unknownCall;
    if (!frame.is(Iax::INVAL) && !frame.is(Iax::ACK) && !frame.is(Iax::VNAK)) invalid(from, frame);
    return;
  }
  take(now, *call, frame);
}

void Endpoint::take(Instant now, Call& call, const Frame& frame) {
  if (frame.is(Iax::INVAL)) {
    ++counts_.inval;
    if (!call.over_) finish(now, call, call.closing_ ? CallEnd::localHangUp : CallEnd::unknownCall);
    return;
  }
  // An acknowledgement of what was never sent is of another time.
  if (ahead(frame.iseq, call.oseq_) > 0) {
    ++counts_.outOfWindow;
    return;
  }
  if (call.remote_ == 0) {
    call.remote_ = frame.source;
    byRemote_[key(call.peer_, frame.source)] = &call;
  }
  if (frame.is(Iax::VNAK)) {
    ++counts_.vnak;
    acknowledged(now, call, frame.iseq);
    for (Call::Unacknowledged& one : call.out_) {
      markRetransmitted(one.bytes, call.iseq_);
      ++counts_.retransmitted;
      post(call.peer_, one.bytes);
    }
    return;
  }
  if (!sequenced(frame)) return acknowledged(now, call, frame.iseq);
  const int step = ahead(frame.oseq, call.iseq_);
  if (step < 0) {
    ++counts_.repeated;
    acknowledged(now, call, frame.iseq);
    return unreliable(now, call, Iax::ACK, frame.timestamp);
  }
  if (step > 0) {
    ++counts_.outOfWindow;
    // Asked for once; the far end repeats by itself if that is lost too.
    if (!call.vnaked_) unreliable(now, call, Iax::VNAK, frame.timestamp);
    call.vnaked_ = true;
    return;
  }
  if (call.over_ && !frame.is(Iax::HANGUP) && !frame.is(Iax::REJECT)) {
    // The far end still believes in a call that is over here; it learns so, or it would hold circuits for it.
    return invalid(call.peer_, frame);
  }
  call.vnaked_ = false;
  ++call.iseq_;
  call.lastStamp_ = frame.timestamp;
  if (!call.owesAck_) {
    call.owesAck_ = true;
    owing_.push_back(&call);
  }
  // Before the acknowledgement that it carries is looked at: what answers a HANGUP ends the call.
  if (frame.is(Iax::HANGUP) || frame.is(Iax::REJECT)) {
    if (call.over_) return;
    if (!call.closing_ && call.owner_ != nullptr) call.owner_->onFrame(call, frame);
    call.out_.clear();
    return finish(now, call, call.closing_ ? CallEnd::localHangUp : CallEnd::remoteHangUp);
  }
  acknowledged(now, call, frame.iseq);
  if (call.over_) return;
  if (frame.is(Iax::PING)) return reliable(now, call, Type::iax, static_cast<std::uint8_t>(Iax::PONG), {});
  if (frame.is(Iax::LAGRQ)) return reliable(now, call, Type::iax, static_cast<std::uint8_t>(Iax::LAGRP), {});
  if (frame.is(Iax::PONG) || frame.is(Iax::LAGRP)) return;
  if (call.closing_ || call.owner_ == nullptr) return;
  if (frame.type == Type::iax && !frame.is(Iax::ACCEPT) && !frame.is(Iax::UNSUPPORT)) {
    // RFC 5456 section 6.9.4.
    ++counts_.unsupported;
    Elements which;
    which.unknownSubclass = frame.subclass;
    return send(now, call, Iax::UNSUPPORT, which);
  }
  call.owner_->onFrame(call, frame);
}

Call* Endpoint::open(Instant now, Address to, CallOwner* owner, const Elements& elements) {
  Call* call = make(now, to);
  if (call == nullptr) return nullptr;
  call->owner_ = owner;
  reliable(now, *call, Type::iax, static_cast<std::uint8_t>(Iax::NEW), elements);
  return call;
}

void Endpoint::send(Instant now, Call& call, Iax what, const Elements& elements) {
  if (call.over_ || call.closing_) return;
  reliable(now, call, Type::iax, static_cast<std::uint8_t>(what), elements);
}

void Endpoint::send(Instant now, Call& call, Control what) {
  if (call.over_ || call.closing_) return;
  reliable(now, call, Type::control, static_cast<std::uint8_t>(what), {});
}

void Endpoint::hangUp(Instant now, Call& call, Iax how, const Elements& elements) {
  if (call.over_ || call.closing_) return;
  reliable(now, call, Type::iax, static_cast<std::uint8_t>(how), elements);
  call.closing_ = true;
}

void Endpoint::forget(Call& call) {
  call.owner_ = nullptr;
  destroy(call);
}

void Endpoint::poke(Instant now, Address to) {
  FrameHeader head;
  head.source = kPokeNumber;
  head.timestamp = pokeStamp(now);
  head.subclass = static_cast<std::uint8_t>(Iax::POKE);
  post(to, encode(head, {}));
}

void Endpoint::expire(Instant now) {
  while (!due_.empty() && due_.begin()->first <= now) {
    Call& call = *due_.begin()->second;
    if (call.over_) {
      destroy(call);
    } else if (call.out_.empty()) {
      reliable(now, call, Type::iax, static_cast<std::uint8_t>(Iax::PING), {});
    } else if (call.repeats_ >= timing_.maxRetransmits) {
      ++counts_.gaveUp;
      finish(now, call, CallEnd::unacknowledged);
    } else {
      ++call.repeats_;
      Span gap = timing_.firstRetransmitInterval;
      for (int i = 0; i < call.repeats_; ++i) gap = std::min(gap * 2.0, timing_.maxRetransmitInterval);
      reschedule(call, now + gap);
      for (Call::Unacknowledged& one : call.out_) {
        markRetransmitted(one.bytes, call.iseq_);
        ++counts_.retransmitted;
        post(call.peer_, one.bytes);
      }
    }
  }
}

void Endpoint::flush(Instant now, const std::function<void(Address, Bytes)>& out) {
  const auto owing = std::move(owing_);
  owing_.clear();
  for (Call* call : owing) {
    if (call->owesAck_) unreliable(now, *call, Iax::ACK, call->lastStamp_);
  }
  const auto outbox = std::move(outbox_);
  outbox_.clear();
  counts_.sent += outbox.size();
  for (const auto& [to, bytes] : outbox) out(to, bytes);
}

Call* Endpoint::make(Instant now, Address peer) {
  if (byLocal_.size() >= timing_.maxCalls) {
    ++counts_.full;
    return nullptr;
  }
  // Begun anywhere, so that a restarted office does not hand out the numbers that its calls had before.
  const auto span = static_cast<std::uint32_t>(kLastNumber - kFirstNumber + 1);
  const auto [it, fresh] =
      numbers_.try_emplace(peer.key(), Numbers{static_cast<std::uint16_t>(kFirstNumber + chance_() % span), 0});
  Numbers& numbers = it->second;
  if (numbers.used == span) {
    ++counts_.noNumber;
    return nullptr;
  }
  while (byLocal_.contains(key(peer, numbers.next))) {
    numbers.next = numbers.next == kLastNumber ? kFirstNumber : static_cast<std::uint16_t>(numbers.next + 1);
  }
  auto made = std::make_unique<Call>();
  made->peer_ = peer;
  made->local_ = numbers.next;
  made->began_ = now;
  numbers.next = numbers.next == kLastNumber ? kFirstNumber : static_cast<std::uint16_t>(numbers.next + 1);
  ++numbers.used;
  Call* call = made.get();
  byLocal_[key(peer, call->local_)] = std::move(made);
  return call;
}

FrameHeader Endpoint::head(Instant now, Call& call, Type type, std::uint8_t subclass) {
  FrameHeader head;
  head.source = call.local_;
  head.destination = call.remote_;
  head.timestamp = since(call.began_, now);
  head.oseq = call.oseq_;
  head.iseq = call.iseq_;
  head.type = type;
  head.subclass = subclass;
  return head;
}

void Endpoint::reliable(Instant now, Call& call, Type type, std::uint8_t subclass, const Elements& elements) {
  call.out_.push_back({call.oseq_, encode(head(now, call, type, subclass), elements)});
  ++call.oseq_;
  call.owesAck_ = false;  // carried along
  if (call.out_.size() == 1) {
    call.repeats_ = 0;
    reschedule(call, now + timing_.firstRetransmitInterval);
  }
  post(call.peer_, call.out_.back().bytes);
}

void Endpoint::unreliable(Instant now, Call& call, Iax what, std::uint32_t timestamp) {
  FrameHeader frame = head(now, call, Type::iax, static_cast<std::uint8_t>(what));
  frame.timestamp = timestamp;
  call.owesAck_ = false;
  post(call.peer_, encode(frame, {}));
}

void Endpoint::post(Address to, std::vector<std::uint8_t> bytes) { outbox_.emplace_back(to, std::move(bytes)); }

void Endpoint::reschedule(Call& call, Instant due) {
  due_.erase({call.due_, &call});
  call.due_ = due;
  due_.insert({due, &call});
}

void Endpoint::acknowledged(Instant now, Call& call, std::uint8_t upTo) {
  const std::size_t before = call.out_.size();
  std::erase_if(call.out_, [&](const auto& one) { return ahead(upTo, one.oseq) > 0; });
  if (call.out_.size() == before) return;
  call.repeats_ = 0;
  if (!call.out_.empty()) return reschedule(call, now + timing_.firstRetransmitInterval);
  if (call.closing_ && !call.over_) return finish(now, call, CallEnd::localHangUp);
  if (!call.over_) reschedule(call, now + timing_.pingInterval);
}

void Endpoint::finish(Instant now, Call& call, CallEnd how) {
  call.over_ = true;
  call.closing_ = true;
  call.out_.clear();
  reschedule(call, now + timing_.linger);
  CallOwner* owner = call.owner_;
  call.owner_ = nullptr;
  if (owner != nullptr) owner->onCallEnded(call, how);
}

void Endpoint::destroy(Call& call) {
  due_.erase({call.due_, &call});
  std::erase(owing_, &call);
  const auto it = byRemote_.find(key(call.peer_, call.remote_));
  if (it != byRemote_.end() && it->second == &call) byRemote_.erase(it);
  const auto numbers = numbers_.find(call.peer_.key());
  if (--numbers->second.used == 0) numbers_.erase(numbers);
  byLocal_.erase(key(call.peer_, call.local_));
}

void Endpoint::invalid(Address to, const Frame& frame) {
  FrameHeader head;
  head.source = frame.destination;
  head.destination = frame.source;
  head.timestamp = frame.timestamp;
  head.oseq = frame.iseq;
  head.iseq = frame.oseq;
  head.subclass = static_cast<std::uint8_t>(Iax::INVAL);
  post(to, encode(head, {}));
}

}  // namespace thistlefold::iax2
