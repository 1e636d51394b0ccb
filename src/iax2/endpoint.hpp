#pragma once

// The reliable dialogue under every call: call numbers, sequence numbers, acknowledgement and retransmission, RFC 5456
// sections 6 and 7. Does no I/O and reads no clock: received datagrams and the time are passed in, datagrams to send
// are handed out.

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

/// Timestamp of a POKE that is sent now, which its PONG returns: milliseconds of the clock, modulo 2^32.
std::uint32_t pokeStamp(Instant now);

/// How a call ended.
enum class CallEnd {
  remoteHangUp,    // the far end sent HANGUP or REJECT; that frame has been passed to onFrame()
  localHangUp,     // this end hung up and the far end has confirmed
  unknownCall,     // the far end does not know the call (INVAL)
  unacknowledged,  // a frame was not acknowledged after the last retransmission
};

/// Handles the frames of one call. Called from within Endpoint; may send and hang up, must not destroy calls.
class CallOwner {
 public:
  virtual ~CallOwner() = default;
  /// A frame that concerns the session: each once and in order. `frame` points into the datagram and is valid during
  /// the call only.
  virtual void onFrame(Call& call, const Frame& frame) = 0;
  /// The end of the call. Called exactly once, after all onFrame(), unless the owner has been removed before.
  virtual void onCallEnded(Call& call, CallEnd how) = 0;
};

/// Receives incoming calls and the answers to POKE.
class CallListener {
 public:
  virtual ~CallListener() = default;
  /// A NEW was received. To accept it, set the call's owner; a call that is left without one, and is not hung up, is
  /// destroyed without a response.
  virtual void onIncomingCall(Call& call, const Frame& frame) = 0;
  /// A PONG was received; its timestamp is that of the POKE which it answers.
  virtual void onPong(Address from, const Frame& frame) = 0;
  /// The elements of the PONG that answers a POKE from `to`.
  virtual Elements pongElements(Address to) = 0;
};

/// One end of one call. Owned by its Endpoint, which destroys it some time after its end.
class Call {
 public:
  /// Address of the far end.
  Address peer() const { return peer_; }
  /// This end's call number.
  std::uint16_t number() const { return local_; }
  /// True once this end has hung up or the call has ended.
  bool closing() const { return isClosing_; }
  /// True once the far end has sent its call number.
  bool answered() const { return remote_ != 0; }
  /// Null removes the owner. The owner must outlive the call's last onCallEnded().
  void setOwner(CallOwner* owner) { owner_ = owner; }

 private:
  friend class Endpoint;
  struct Unacknowledged {
    std::uint8_t oseq;
    std::vector<std::uint8_t> bytes;
  };

  Address peer_;
  CallOwner* owner_ = nullptr;
  Instant startedAt_;
  Instant timer_ = Instant::never();  // next retransmission, PING or end of lingering
  std::vector<Unacknowledged> unacknowledged_;
  std::uint64_t newFrameHash_ = 0;  // of the NEW that opened the call, to recognise a retransmission of it
  std::uint32_t newFrameTimestamp_ = 0;
  std::uint32_t lastTimestamp_ = 0;  // of the frame received last, to be repeated in its ACK
  std::uint16_t local_ = 0;          // this end's call number
  std::uint16_t remote_ = 0;         // the far end's call number; 0: not known yet
  std::uint8_t oseq_ = 0;
  std::uint8_t iseq_ = 0;
  std::uint8_t retransmits_ = 0;  // since the last progress
  bool isAckPending_ = false;
  bool isClosing_ = false;  // HANGUP or REJECT has been sent, or the call has ended
  bool hasEnded_ = false;   // and lingers, to answer late frames
  bool isVnakSent_ = false;
};

/// Counts of an endpoint since its start.
struct EndpointCounters {
  std::uint64_t received = 0,   // datagrams
      sent = 0,                 // datagrams
      malformed = 0,            // datagrams that are not IAX2
      miniFrames = 0,           // ignored: signalling uses full frames only
      duplicates = 0,           // frames received before
      outOfWindow = 0,          // frames with an unexpected sequence number
      unknownCall = 0,          // frames to a call that does not exist here
      retransmitted = 0,        // frames sent again
      vnakReceived = 0,         // VNAK frames received
      invalReceived = 0,        // INVAL frames received
      unacknowledgedCalls = 0,  // calls that ended for want of an acknowledgement
      noCallNumber = 0,         // calls not opened: no number was left for that peer
      unsupported = 0,          // frames answered with UNSUPPORT
      overCallLimit = 0;        // calls not opened at DialogueTiming::maxCalls
};

/// Intervals and limits of the dialogue. RFC 5456 section 7 leaves the first retransmission and their number to the
/// implementation and bounds an interval at 10 s.
struct DialogueTiming {
  Span firstRetransmitInterval = Span::ms(200);  // well above a cross-zone round trip of some 40 ms
  Span maxRetransmitInterval = Span::ms(1600);   // intervals double up to this
  /// Intervals of 200, 400, 800, 1600, 1600, 1600 and 1600 ms: a call ends 7.8 s after an unacknowledged frame.
  int maxRetransmits = 6;
  Span linger = Span::ms(10000);  // a call is kept this long after its end: beyond the last retransmission of a NEW
  Span pingInterval = Span::ms(20000);  // an idle call is probed (RFC 5456 section 6.7.1 suggests some 20 s)
  std::size_t maxCalls = 60000;         // at the same time, including lingering ones; NEWs beyond are ignored
};

/// All calls at one address, to any number of peers.
class Endpoint {
 public:
  /// `listener` must outlive the endpoint. `seed` decides on the first call numbers.
  Endpoint(CallListener& listener, std::uint64_t seed, DialogueTiming timing = {});
  ~Endpoint();

  /// Handles a received datagram; calls the listener and call owners.
  void receive(Instant now, Address from, Bytes datagram);
  /// Opens a call with a NEW. Returns null if no call number is left or at the limit of calls.
  Call* open(Instant now, Address to, CallOwner* owner, const Elements& elements);
  /// Sends a frame reliably. Does nothing once the call is closing.
  void send(Instant now, Call& call, Iax subclass, const Elements& elements = {});
  void send(Instant now, Call& call, Control subclass);
  /// Sends HANGUP (or REJECT, for a call that was not accepted), given by `how`. Does nothing once the call is closing.
  /// The owner is still called with onCallEnded().
  void hangUp(Instant now, Call& call, Iax how, const Elements& elements);
  /// Destroys the call without sending anything and without onCallEnded(); later frames to it are answered INVAL.
  void discard(Call& call);
  /// Sends a POKE, which belongs to no call and is not retransmitted.
  void poke(Instant now, Address to);
  /// Retransmits, probes and destroys calls whose timer has expired.
  void expire(Instant now);
  /// When expire() must be called next.
  Instant nextDue() const { return timers_.empty() ? Instant::never() : timers_.begin()->first; }
  /// Sends the pending acknowledgements and passes all datagrams to `out`, oldest first.
  void flush(Instant now, const std::function<void(Address, Bytes)>& out);

  /// Counts since the start; the reference is valid as long as the endpoint.
  const EndpointCounters& counts() const { return counts_; }
  /// Calls at present, including lingering ones.
  std::size_t calls() const { return byLocal_.size(); }

 private:
  struct EarlierTimer {
    bool operator()(const std::pair<Instant, Call*>& a, const std::pair<Instant, Call*>& b) const {
      return a.first != b.first ? a.first < b.first : order(a.second) < order(b.second);
    }
    static std::uint64_t order(const Call* call) { return call->peer_.key() << 16 | call->local_; }
  };

  static std::uint64_t key(Address peer, std::uint16_t number) { return peer.key() << 16 | number; }
  Call* createCall(Instant now, Address peer);
  void sendReliable(Instant now, Call& call, Type type, std::uint8_t subclass, const Elements& elements);
  void sendUnreliable(Instant now, Call& call, Iax subclass, std::uint32_t timestamp);
  void enqueue(Address to, std::vector<std::uint8_t> bytes);
  void reschedule(Call& call, Instant at);
  void onAcknowledged(Instant now, Call& call, std::uint8_t expectedByPeer);
  void processFrame(Instant now, Call& call, const Frame& frame);
  void endCall(Instant now, Call& call, CallEnd how);
  void destroy(Call& call);
  void sendInval(Address to, const Frame& frame);
  FrameHeader makeHeader(Instant now, Call& call, Type type, std::uint8_t subclass);

  CallListener& listener_;
  DialogueTiming timing_;
  // By peer and call number.
  std::unordered_map<std::uint64_t, std::unique_ptr<Call>> byLocal_;
  std::unordered_map<std::uint64_t, Call*> byRemote_;
  struct CallNumbers {
    std::uint16_t next;  // tried first for the next call
    std::uint16_t used;
  };
  std::unordered_map<std::uint64_t, CallNumbers> numbers_;  // by peer, while it has calls
  std::set<std::pair<Instant, Call*>, EarlierTimer> timers_;
  std::vector<Call*> callsWithPendingAck_;
  std::vector<std::pair<Address, std::vector<std::uint8_t>>> outgoing_;
  std::minstd_rand random_;
  EndpointCounters counts_;
};

}  // namespace thistlefold::iax2
