#pragma once

// The reliable dialogue under every call: call numbers, sequence numbers, acknowledgement, retransmission.
// RFC 5456 sections 6 and 7. No I/O and no clock: datagrams and instants are passed in, datagrams come out.

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

#include "iax2/address.hpp"
#include "iax2/frame.hpp"
#include "thistlefold/time.hpp"

namespace thistlefold::iax2 {

class Call;
class Endpoint;

/// What a POKE sent now carries and its PONG brings back: milliseconds of the clock, modulo 2^32.
std::uint32_t pokeStamp(Instant now);

enum class CallEnd {
  remoteHangUp,    // HANGUP or REJECT came from the far end; the frame has been passed on by onFrame()
  localHangUp,     // this end hung up and the far end has confirmed
  unknownCall,     // the far end does not know the call (INVAL)
  unacknowledged,  // a frame was not acknowledged after all repeats
};

/// Whoever a call belongs to. Called from within Endpoint; may send and hang up, may not destroy calls.
class CallOwner {
 public:
  virtual ~CallOwner() = default;
  /// Each frame that means something to a session, once and in order.
  virtual void onFrame(Call& call, const Frame& frame) = 0;
  /// The last thing heard of a call, exactly once unless the owner let go of it before.
  virtual void onCallEnded(Call& call, CallEnd how) = 0;
};

/// Where calls from others and answers to POKE arrive.
class CallListener {
 public:
  virtual ~CallListener() = default;
  /// A NEW came. Whoever takes it sets the owner; a call left without one is dropped unanswered.
  virtual void onIncomingCall(Call& call, const Frame& frame) = 0;
  virtual void onPong(Address from, const Frame& frame) = 0;
  /// What a PONG tells.
  virtual Elements pongElements(Address to) = 0;
};

/// One end of one call. Owned by its Endpoint.
class Call {
 public:
  Address peer() const { return peer_; }
  std::uint16_t number() const { return local_; }
  bool closing() const { return closing_; }
  bool answered() const { return remote_ != 0; }
  void setOwner(CallOwner* owner) { owner_ = owner; }

 private:
  friend class Endpoint;
  struct Unacknowledged {
    std::uint8_t oseq;
    std::vector<std::uint8_t> bytes;
  };

  Address peer_;
  CallOwner* owner_ = nullptr;
  Instant began_;
  Instant due_ = Instant::never();  // next repeat, PING or end of lingering
  std::vector<Unacknowledged> out_;
  std::uint64_t newHash_ = 0;  // of the NEW that opened it, to know the same one again
  std::uint32_t newStamp_ = 0;
  std::uint32_t lastStamp_ = 0;
  std::uint16_t local_ = 0;
  std::uint16_t remote_ = 0;
  std::uint8_t oseq_ = 0;
  std::uint8_t iseq_ = 0;
  std::uint8_t repeats_ = 0;
  bool owesAck_ = false;
  bool closing_ = false;  // HANGUP or REJECT sent, or the call is over and lingers
  bool over_ = false;
  bool vnaked_ = false;
};

/// What went wrong on the wire and how often; plain counts since the start.
struct EndpointCounters {
  std::uint64_t received = 0, sent = 0, malformed = 0, mini = 0, repeated = 0, outOfWindow = 0, unknownCall = 0,
                retransmitted = 0, vnak = 0, inval = 0, gaveUp = 0, noNumber = 0, unsupported = 0, full = 0;
};

/// Spans of the dialogue. RFC 5456 section 7 leaves first repeat and count to the implementation and bounds a
/// gap at 10 s.
struct DialogueTiming {
  Span firstRetransmitInterval = Span::ms(200);  // well above a cross-zone round trip of some 40 ms
  Span maxRetransmitInterval = Span::ms(1600);
  int maxRetransmits = 6;               // 200+400+800+1600+1600+1600 ms: given up after 6.2 s plus the last gap
  Span linger = Span::ms(10000);        // a finished call is remembered so long: above the last repeat of a NEW
  Span pingInterval = Span::ms(20000);  // a quiet call is probed (RFC 5456 section 6.7.1 suggests some 20 s)
  std::size_t maxCalls = 60000;         // calls at once, lingering ones included; NEWs beyond are dropped
};

class Endpoint {
 public:
  Endpoint(CallListener& listener, std::uint64_t seed, DialogueTiming timing = {});
  ~Endpoint();

  /// One datagram that came in. Calls back the door and owners.
  void receive(Instant now, Address from, Bytes datagram);
  /// Opens a call with a NEW; null when no call number or room is left.
  Call* open(Instant now, Address to, CallOwner* owner, const Elements& elements);
  void send(Instant now, Call& call, Iax what, const Elements& elements = {});
  void send(Instant now, Call& call, Control what);
  /// Sends HANGUP (or REJECT, for a call that was not accepted). The owner still hears onCallEnded().
  void hangUp(Instant now, Call& call, Iax how, const Elements& elements);
  /// Ends the call without a word on the wire and without onCallEnded(); later frames to it are answered INVAL.
  void forget(Call& call);
  void poke(Instant now, Address to);
  /// Repeats, probes and forgets what is due.
  void expire(Instant now);
  Instant nextDue() const { return due_.empty() ? Instant::never() : due_.begin()->first; }
  /// Acknowledges what is still owed and hands over all that is to go out, oldest first.
  void flush(Instant now, const std::function<void(Address, Bytes)>& out);

  const EndpointCounters& counts() const { return counts_; }
  std::size_t calls() const { return byLocal_.size(); }

 private:
  struct Later {
    bool operator()(const std::pair<Instant, Call*>& a, const std::pair<Instant, Call*>& b) const {
      return a.first != b.first ? a.first < b.first : order(a.second) < order(b.second);
    }
    static std::uint64_t order(const Call* call) { return call->peer_.key() << 16 | call->local_; }
  };

  static std::uint64_t key(Address peer, std::uint16_t number) { return peer.key() << 16 | number; }
  Call* make(Instant now, Address peer);
  void reliable(Instant now, Call& call, Type type, std::uint8_t subclass, const Elements& elements);
  void unreliable(Instant now, Call& call, Iax what, std::uint32_t timestamp);
  void post(Address to, std::vector<std::uint8_t> bytes);
  void reschedule(Call& call, Instant due);
  void acknowledged(Instant now, Call& call, std::uint8_t upTo);
  void take(Instant now, Call& call, const Frame& frame);
  void finish(Instant now, Call& call, CallEnd how);
  void destroy(Call& call);
  void invalid(Address to, const Frame& frame);
  FrameHeader head(Instant now, Call& call, Type type, std::uint8_t subclass);

  CallListener& listener_;
  DialogueTiming timing_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Call>> byLocal_;
  std::unordered_map<std::uint64_t, Call*> byRemote_;
  struct Numbers {
    std::uint16_t next;
    std::uint16_t used;
  };
  std::unordered_map<std::uint64_t, Numbers> numbers_;  // by peer, as long as it has calls
  std::set<std::pair<Instant, Call*>, Later> due_;
  std::vector<Call*> owing_;
  std::vector<std::pair<Address, std::vector<std::uint8_t>>> outbox_;
  std::minstd_rand chance_;
  EndpointCounters counts_;
};

}  // namespace thistlefold::iax2
