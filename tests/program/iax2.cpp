// The signalling: frames as bytes, and two endpoints that talk over a bad line.

#include <doctest/doctest.h>

#include <queue>
#include <random>

#include "fleet_fixture.hpp"
#include "iax2/endpoint.hpp"

using namespace thistlefold;
using namespace thistlefold::iax2;
using test::TestPhone;

namespace {

const Address kA{0x7f000001, 1001}, kB{0x7f000001, 1002};

/// Two telephones and a line between them that a function spoils.
struct Line {
  TestPhone a{1}, b{2};
  Instant now = Instant::ms(1000);
  std::function<std::vector<Span>(std::vector<std::uint8_t>&)> spoil;
  struct Letter {
    Instant at;
    std::uint64_t order;
    bool toA;
    std::vector<std::uint8_t> bytes;
    bool operator<(const Letter& other) const { return std::tie(other.at, other.order) < std::tie(at, order); }
  };
  std::priority_queue<Letter> post;
  std::uint64_t order = 0;
  std::vector<std::vector<std::uint8_t>> sentByA;

  void turn() {
    for (TestPhone* one : {&a, &b}) {
      one->process(now, [&](Address, std::span<const std::uint8_t> datagram) {
        std::vector<std::uint8_t> bytes(datagram.begin(), datagram.end());
        if (one == &a) sentByA.push_back(bytes);
        for (const Span delay : spoil ? spoil(bytes) : std::vector<Span>{Span::ms(2)}) {
          post.push({now + delay, order++, one == &b, bytes});
        }
      });
    }
  }
  void run(double ms) {
    const Instant end = now + Span::ms(ms);
    for (;;) {
      turn();
      Instant next = std::min(a.nextDeadline(), b.nextDeadline());
      if (!post.empty()) next = std::min(next, post.top().at);
      if (next > end) break;
      now = std::max(now, next);
      while (!post.empty() && post.top().at <= now) {
        const Letter letter = post.top();
        post.pop();
        (letter.toA ? a : b).receive(now, letter.toA ? kB : kA, letter.bytes);
      }
    }
    now = end;
  }
};

std::vector<std::uint8_t> bytes(std::initializer_list<int> values) {
  std::vector<std::uint8_t> out;
  for (const int value : values) out.push_back(static_cast<std::uint8_t>(value));
  return out;
}

}  // namespace

TEST_CASE("a NEW as RFC 5456 lays it out") {
  FrameHeader head;
  head.source = 0x1234;
  head.timestamp = 0x01020304;
  head.subclass = 1;
  Elements e;
  e.version = std::uint16_t{2};
  e.calledNumber = "21";
  CHECK(encode(head, e) == bytes({0x92, 0x34, 0, 0, 1, 2, 3, 4, 0, 0, 6, 1, 0x0b, 2, 0, 2, 1, 2, '2', '1'}));
}

TEST_CASE("every element survives the wire") {
  Elements e;
  e.calledNumber = "2001";
  e.callingNumber = "100";
  e.calledContext = "proof-pull";
  e.cause = "no way";
  e.causeCode = std::uint8_t{34};
  e.version = std::uint16_t{2};
  e.format = 4u;
  e.session = 0x123456789abcdef0u;
  e.origin = std::uint16_t{3};
  e.destinationPlace = std::uint16_t{4};
  e.width = std::uint16_t{4};
  e.timeLeftMs = 1234u;
  e.retryAfterMs = 99u;
  e.releaseReason = ReleaseReason::turnedBack;
  e.beyond = true;
  e.wasCut = true;
  e.capacityPer1000s = 123456u;
  e.incarnation = 77u;
  const auto wire = encode(FrameHeader(), e);
  Frame frame;
  REQUIRE(decode(wire, frame) == DecodeResult::full);
  CHECK(encode(frame, frame.elements) == wire);
  CHECK(frame.elements.session == e.session);
  CHECK(frame.elements.releaseReason == ReleaseReason::turnedBack);
}

TEST_CASE("what is no frame is told apart") {
  Frame frame;
  CHECK(decode(bytes({}), frame) == DecodeResult::malformed);
  CHECK(decode(bytes({0x80, 1, 0}), frame) == DecodeResult::malformed);
  CHECK(decode(bytes({0x00, 5, 0, 20, 1, 2, 3}), frame) == DecodeResult::mini);
  auto head = bytes({0x80, 2, 0, 0, 0, 0, 0, 0, 0, 0, 6, 1});
  CHECK(decode(head, frame) == DecodeResult::full);
  auto over = head;
  over.insert(over.end(), {1, 5, '2'});  // runs over the end
  CHECK(decode(over, frame) == DecodeResult::malformed);
  auto wrong = head;
  wrong.insert(wrong.end(), {0x0b, 1, 2});  // a version of one byte
  CHECK(decode(wrong, frame) == DecodeResult::malformed);
  auto unknown = head;
  unknown.insert(unknown.end(), {0xfe, 2, 9, 9, 1, 1, '7'});
  REQUIRE(decode(unknown, frame) == DecodeResult::full);
  CHECK(frame.elements.calledNumber == "7");
  CHECK(decode(std::vector<std::uint8_t>(kMaxDatagramBytes + 1, 0x80), frame) == DecodeResult::malformed);
}

TEST_CASE("a call is opened, answered and ended, each frame heard once, on a line that loses, doubles and reorders") {
  Line line;
  std::mt19937 chance(3);
  line.spoil = [&](std::vector<std::uint8_t>&) {
    std::vector<Span> copies;
    if (chance() % 10 < 3) return copies;
    copies.push_back(Span::ms(1 + static_cast<int>(chance() % 60)));
    if (chance() % 10 < 2) copies.push_back(Span::ms(1 + static_cast<int>(chance() % 400)));
    return copies;
  };
  int stood = 0;
  for (int i = 0; i < 60; ++i) {
    const int answers = line.a.count("ANSWER"), hangups = line.b.count("HANGUP");
    Call* call = line.a.dial(line.now, kB, "2" + std::to_string(i));
    REQUIRE(call != nullptr);
    line.run(5000);
    REQUIRE(line.b.incomingCalls.size() == 1);
    Call* at = line.b.incomingCalls.front();
    line.b.endpoint().send(line.now, *at, Iax::ACCEPT);
    line.b.endpoint().send(line.now, *at, Control::answer);
    line.run(5000);
    CHECK(line.a.count("ANSWER") == answers + 1);
    stood += line.a.count("ANSWER") - answers;
    line.a.endpoint().hangUp(line.now, *call, Iax::HANGUP, {});
    line.run(7000);
    CHECK(line.b.count("HANGUP") == hangups + 1);
    CHECK(line.b.incomingCalls.empty());
  }
  CHECK(stood == 60);
  CHECK(line.b.count("NEW") == 60);
  CHECK(line.a.endpoint().counts().retransmitted > 50);
  line.spoil = nullptr;
  line.run(30000);
  CHECK(line.a.endpoint().calls() == 0);
  CHECK(line.b.endpoint().calls() == 0);
}

TEST_CASE("a NEW that comes again after its call has ended opens no second call") {
  Line line;
  Call* call = line.a.dial(line.now, kB, "2001");
  line.run(50);
  const auto first = line.sentByA.at(0);
  line.a.endpoint().hangUp(line.now, *call, Iax::HANGUP, {});
  line.run(500);
  CHECK(line.b.count("HANGUP") == 1);
  line.b.receive(line.now, kA, first);
  auto again = first;
  markRetransmitted(again, 0);
  line.b.receive(line.now, kA, again);
  line.run(500);
  CHECK(line.b.count("NEW") == 1);
}

TEST_CASE("a HANGUP without the other end's number ends the call that its NEW opened") {
  // A sender that gives up on an end that stood still: NEW and HANGUP wait there together. Without the fix the call
  // stays up at the other end until it is probed.
  Line line;
  Call* call = line.a.dial(line.now, kB, "2001");
  line.spoil = [](std::vector<std::uint8_t>&) { return std::vector<Span>{Span::ms(300)}; };
  line.turn();
  line.a.endpoint().hangUp(line.now, *call, Iax::HANGUP, {});
  line.run(1000);
  CHECK(line.b.count("NEW") == 1);
  CHECK(line.b.count("HANGUP") == 1);
  CHECK(line.b.incomingCalls.empty());
}

TEST_CASE("a frame that goes missing is asked for with VNAK") {
  Line line;
  Call* call = line.a.dial(line.now, kB, "2001");
  line.run(50);
  int dropped = 0;
  line.spoil = [&](std::vector<std::uint8_t>& wire) {
    Frame frame;
    REQUIRE(decode(wire, frame) == DecodeResult::full);
    const bool drop = frame.is(Control::ringing) && dropped++ == 0;
    return drop ? std::vector<Span>() : std::vector<Span>{Span::ms(2)};
  };
  Call* at = line.b.incomingCalls.front();
  line.b.endpoint().send(line.now, *at, Control::ringing);
  line.b.endpoint().send(line.now, *at, Control::answer);
  line.run(30);  // well before any repeat
  CHECK(line.b.endpoint().counts().vnak == 1);
  CHECK(line.a.count("RINGING") == 1);
  CHECK(line.a.count("ANSWER") == 1);
  line.a.endpoint().hangUp(line.now, *call, Iax::HANGUP, {});
  line.run(100);
}

TEST_CASE("silence ends a call after all repeats, INVAL at once") {
  Line line;
  line.a.dial(line.now, kB, "2001");
  line.spoil = [](std::vector<std::uint8_t>&) { return std::vector<Span>(); };
  line.run(9000);
  CHECK(line.a.goneCount == 1);
  CHECK(line.a.lastGone == CallEnd::unacknowledged);
  CHECK(line.a.endpoint().counts().retransmitted == 6);
  line.spoil = nullptr;
  line.a.dial(line.now, kB, "2002");
  line.run(100);
  line.b.endpoint().forget(*line.b.incomingCalls.front());
  line.run(21000);  // the PING of a quiet call
  CHECK(line.a.goneCount == 2);
  CHECK(line.a.lastGone == CallEnd::unknownCall);
}

TEST_CASE("call numbers run out, are refused cleanly, and come back") {
  TestPhone a(1);
  DialogueTiming timing;
  timing.maxCalls = 100000;
  struct Deaf : CallListener {
    void onIncomingCall(Call&, const Frame&) override {}
    void onPong(Address, const Frame&) override {}
    Elements pongElements(Address) override { return {}; }
  } listener;
  Endpoint endpoint(listener, 5, timing);
  Instant now = Instant::ms(1000);
  Elements e;
  e.calledNumber = "2001";
  std::vector<Call*> calls;
  while (Call* call = endpoint.open(now, kB, nullptr, e)) calls.push_back(call);
  CHECK(calls.size() == 32766);  // 2 to 32767
  CHECK(endpoint.counts().noNumber == 1);
  CHECK(endpoint.open(now, kA, nullptr, e) != nullptr);  // numbers are by peer
  endpoint.forget(*calls[100]);
  Call* again = endpoint.open(now, kB, nullptr, e);
  REQUIRE(again != nullptr);
  CHECK(endpoint.open(now, kB, nullptr, e) == nullptr);
}

TEST_CASE("the bound on calls is kept and counted") {
  struct Deaf : CallListener {
    void onIncomingCall(Call&, const Frame&) override {}
    void onPong(Address, const Frame&) override {}
    Elements pongElements(Address) override { return {}; }
  } listener;
  DialogueTiming timing;
  timing.maxCalls = 3;
  Endpoint endpoint(listener, 5, timing);
  for (int i = 0; i < 3; ++i) REQUIRE(endpoint.open(Instant::ms(1), kB, nullptr, {}) != nullptr);
  CHECK(endpoint.open(Instant::ms(1), kB, nullptr, {}) == nullptr);
  CHECK(endpoint.counts().full == 1);
}

TEST_CASE("no bytes upset an endpoint: 200,000 mutated frames from a seed") {
  Line line;
  Call* call = line.a.dial(line.now, kB, "2001");
  line.run(50);
  line.b.endpoint().send(line.now, *line.b.incomingCalls.front(), Iax::ACCEPT);
  line.run(50);
  const auto seeds = line.sentByA;
  std::mt19937 chance(11);
  for (int i = 0; i < 200000; ++i) {
    auto wire = seeds[chance() % seeds.size()];
    for (auto k = chance() % 6; k > 0; --k) {
      switch (chance() % 4) {
        case 0:
          wire[chance() % wire.size()] = static_cast<std::uint8_t>(chance());
          break;
        case 1:
          wire[chance() % wire.size()] ^= static_cast<std::uint8_t>(1u << (chance() % 8));
          break;
        case 2:
          wire.resize(1 + chance() % wire.size());
          break;
        default:
          wire.insert(wire.end(), {static_cast<std::uint8_t>(chance()), static_cast<std::uint8_t>(chance() % 4)});
      }
    }
    line.b.receive(line.now, kA, wire);
    if (i % 50 == 0) line.b.process(line.now, [](Address, std::span<const std::uint8_t>) {});
  }
  const EndpointCounters& counts = line.b.endpoint().counts();
  CHECK(counts.received >= 200000);
  CHECK(counts.malformed > 1000);
  CHECK(line.b.endpoint().calls() <= 60000);
  (void)call;
  line.b.process(line.now + Span::ms(60000), [](Address, std::span<const std::uint8_t>) {});
}
