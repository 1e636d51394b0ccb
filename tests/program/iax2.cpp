// IAX2 signalling: encoding and decoding of frames, and two endpoints over an impaired link.

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

/// Two phones and a link between them. `impair` may change a datagram and returns the delays of its copies; without it
/// each datagram takes 2 ms.
struct ImpairedLink {
  TestPhone a{1}, b{2};
  Instant now = Instant::ms(1000);
  std::function<std::vector<Span>(std::vector<std::uint8_t>&)> impair;
  struct Datagram {
    Instant at;
    std::uint64_t order;
    bool toA;
    std::vector<std::uint8_t> bytes;
    bool operator<(const Datagram& other) const { return std::tie(other.at, other.order) < std::tie(at, order); }
  };
  std::priority_queue<Datagram> inTransit;
  std::uint64_t order = 0;
  std::vector<std::vector<std::uint8_t>> sentByA;

  void processBoth() {
    for (TestPhone* one : {&a, &b}) {
      one->process(now, [&](Address, std::span<const std::uint8_t> datagram) {
        std::vector<std::uint8_t> bytes(datagram.begin(), datagram.end());
        if (one == &a) sentByA.push_back(bytes);
        for (const Span delay : impair ? impair(bytes) : std::vector<Span>{Span::ms(2)}) {
          inTransit.push({now + delay, order++, one == &b, bytes});
        }
      });
    }
  }
  void run(double ms) {
    const Instant end = now + Span::ms(ms);
    for (;;) {
      processBoth();
      Instant next = std::min(a.nextDeadline(), b.nextDeadline());
      if (!inTransit.empty()) next = std::min(next, inTransit.top().at);
      if (next > end) break;
      now = std::max(now, next);
      while (!inTransit.empty() && inTransit.top().at <= now) {
        const Datagram arriving = inTransit.top();
        inTransit.pop();
        (arriving.toA ? a : b).receive(now, arriving.toA ? kB : kA, arriving.bytes);
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

TEST_CASE("a NEW is encoded as in RFC 5456") {
  FrameHeader header;
  header.source = 0x1234;
  header.timestamp = 0x01020304;
  header.subclass = 1;
  Elements e;
  e.version = std::uint16_t{2};
  e.calledNumber = "21";
  CHECK(encode(header, e) == bytes({0x92, 0x34, 0, 0, 1, 2, 3, 4, 0, 0, 6, 1, 0x0b, 2, 0, 2, 1, 2, '2', '1'}));
}

TEST_CASE("every element is decoded as it was encoded") {
  Elements e;
  e.calledNumber = "2001";
  e.callingNumber = "100";
  e.calledContext = "proof-pull";
  e.cause = "no way";
  e.causeCode = std::uint8_t{34};
  e.version = std::uint16_t{2};
  e.format = 4u;
  e.session = 0x123456789abcdef0u;
  e.originPlace = std::uint16_t{3};
  e.destinationPlace = std::uint16_t{4};
  e.width = std::uint16_t{4};
  e.timeLeftMs = 1234u;
  e.retryAfterMs = 99u;
  e.releaseReason = ReleaseReason::turnedBack;
  e.failedBeyond = true;
  e.wasCut = true;
  e.capacityPer1000s = 123456u;
  e.incarnation = 77u;
  const auto encoded = encode(FrameHeader(), e);
  Frame frame;
  REQUIRE(decode(encoded, frame) == DecodeResult::full);
  CHECK(encode(frame, frame.elements) == encoded);
  CHECK(frame.elements.session == e.session);
  CHECK(frame.elements.releaseReason == ReleaseReason::turnedBack);
}

TEST_CASE("malformed datagrams and mini frames are recognised, unknown elements are skipped") {
  Frame frame;
  CHECK(decode(bytes({}), frame) == DecodeResult::malformed);
  CHECK(decode(bytes({0x80, 1, 0}), frame) == DecodeResult::malformed);
  CHECK(decode(bytes({0x00, 5, 0, 20, 1, 2, 3}), frame) == DecodeResult::mini);
  auto header = bytes({0x80, 2, 0, 0, 0, 0, 0, 0, 0, 0, 6, 1});
  CHECK(decode(header, frame) == DecodeResult::full);
  auto overrunning = header;
  overrunning.insert(overrunning.end(), {1, 5, '2'});  // the element runs over the end
  CHECK(decode(overrunning, frame) == DecodeResult::malformed);
  auto wrongLength = header;
  wrongLength.insert(wrongLength.end(), {0x0b, 1, 2});  // a version must have two bytes
  CHECK(decode(wrongLength, frame) == DecodeResult::malformed);
  auto unknown = header;
  unknown.insert(unknown.end(), {0xfe, 2, 9, 9, 1, 1, '7'});
  REQUIRE(decode(unknown, frame) == DecodeResult::full);
  CHECK(frame.elements.calledNumber == "7");
  CHECK(decode(std::vector<std::uint8_t>(kMaxDatagramBytes + 1, 0x80), frame) == DecodeResult::malformed);
}

TEST_CASE(
    "on a link that loses, duplicates and reorders, calls are set up and ended and each frame is delivered once") {
  ImpairedLink link;
  std::mt19937 random(3);
  link.impair = [&](std::vector<std::uint8_t>&) {
    std::vector<Span> copies;
    if (random() % 10 < 3) return copies;
    copies.push_back(Span::ms(1 + static_cast<int>(random() % 60)));
    if (random() % 10 < 2) copies.push_back(Span::ms(1 + static_cast<int>(random() % 400)));
    return copies;
  };
  int established = 0;
  for (int i = 0; i < 60; ++i) {
    const int answers = link.a.count("ANSWER"), hangups = link.b.count("HANGUP");
    Call* call = link.a.dial(link.now, kB, "2" + std::to_string(i));
    REQUIRE(call != nullptr);
    link.run(5000);
    REQUIRE(link.b.incomingCalls.size() == 1);
    Call* at = link.b.incomingCalls.front();
    link.b.endpoint().send(link.now, *at, Iax::ACCEPT);
    link.b.endpoint().send(link.now, *at, Control::answer);
    link.run(5000);
    CHECK(link.a.count("ANSWER") == answers + 1);
    established += link.a.count("ANSWER") - answers;
    link.a.endpoint().hangUp(link.now, *call, Iax::HANGUP, {});
    link.run(7000);
    CHECK(link.b.count("HANGUP") == hangups + 1);
    CHECK(link.b.incomingCalls.empty());
  }
  CHECK(established == 60);
  CHECK(link.b.count("NEW") == 60);
  CHECK(link.a.endpoint().counts().retransmitted > 50);
  link.impair = nullptr;
  link.run(30000);
  CHECK(link.a.endpoint().calls() == 0);
  CHECK(link.b.endpoint().calls() == 0);
}

TEST_CASE("a NEW received again after its call has ended opens no second call") {
  ImpairedLink link;
  Call* call = link.a.dial(link.now, kB, "2001");
  link.run(50);
  const auto first = link.sentByA.at(0);
  link.a.endpoint().hangUp(link.now, *call, Iax::HANGUP, {});
  link.run(500);
  CHECK(link.b.count("HANGUP") == 1);
  link.b.receive(link.now, kA, first);
  auto again = first;
  markRetransmitted(again, 0);
  link.b.receive(link.now, kA, again);
  link.run(500);
  CHECK(link.b.count("NEW") == 1);
}

TEST_CASE("a HANGUP without the far end's call number ends the call that its NEW opened") {
  // A sender gives up on an end that is paused, where NEW and HANGUP then wait together. If the HANGUP is not matched
  // by the sender's number, the call stays up at that end until it is probed.
  ImpairedLink link;
  Call* call = link.a.dial(link.now, kB, "2001");
  link.impair = [](std::vector<std::uint8_t>&) { return std::vector<Span>{Span::ms(300)}; };
  link.processBoth();
  link.a.endpoint().hangUp(link.now, *call, Iax::HANGUP, {});
  link.run(1000);
  CHECK(link.b.count("NEW") == 1);
  CHECK(link.b.count("HANGUP") == 1);
  CHECK(link.b.incomingCalls.empty());
}

TEST_CASE("a missing frame is requested with VNAK") {
  ImpairedLink link;
  Call* call = link.a.dial(link.now, kB, "2001");
  link.run(50);
  int dropped = 0;
  link.impair = [&](std::vector<std::uint8_t>& encoded) {
    Frame frame;
    REQUIRE(decode(encoded, frame) == DecodeResult::full);
    const bool drop = frame.is(Control::ringing) && dropped++ == 0;
    return drop ? std::vector<Span>() : std::vector<Span>{Span::ms(2)};
  };
  Call* at = link.b.incomingCalls.front();
  link.b.endpoint().send(link.now, *at, Control::ringing);
  link.b.endpoint().send(link.now, *at, Control::answer);
  link.run(30);  // well before the first retransmission
  CHECK(link.b.endpoint().counts().vnakReceived == 1);
  CHECK(link.a.count("RINGING") == 1);
  CHECK(link.a.count("ANSWER") == 1);
  link.a.endpoint().hangUp(link.now, *call, Iax::HANGUP, {});
  link.run(100);
}

TEST_CASE("silence ends a call after the last retransmission, INVAL at once") {
  ImpairedLink link;
  link.a.dial(link.now, kB, "2001");
  link.impair = [](std::vector<std::uint8_t>&) { return std::vector<Span>(); };
  link.run(9000);
  CHECK(link.a.endedCalls == 1);
  CHECK(link.a.lastCallEnd == CallEnd::unacknowledged);
  CHECK(link.a.endpoint().counts().retransmitted == 6);
  link.impair = nullptr;
  link.a.dial(link.now, kB, "2002");
  link.run(100);
  link.b.endpoint().discard(*link.b.incomingCalls.front());
  link.run(21000);  // beyond the PING of an idle call
  CHECK(link.a.endedCalls == 2);
  CHECK(link.a.lastCallEnd == CallEnd::unknownCall);
}

TEST_CASE("no call is opened when call numbers are exhausted, and a released number is used again") {
  TestPhone a(1);
  DialogueTiming timing;
  timing.maxCalls = 100000;
  struct IgnoringListener : CallListener {
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
  CHECK(endpoint.counts().noCallNumber == 1);
  CHECK(endpoint.open(now, kA, nullptr, e) != nullptr);  // numbers are allocated by peer
  endpoint.discard(*calls[100]);
  Call* again = endpoint.open(now, kB, nullptr, e);
  REQUIRE(again != nullptr);
  CHECK(endpoint.open(now, kB, nullptr, e) == nullptr);
}

TEST_CASE("calls beyond the limit are not opened and are counted") {
  struct IgnoringListener : CallListener {
    void onIncomingCall(Call&, const Frame&) override {}
    void onPong(Address, const Frame&) override {}
    Elements pongElements(Address) override { return {}; }
  } listener;
  DialogueTiming timing;
  timing.maxCalls = 3;
  Endpoint endpoint(listener, 5, timing);
  for (int i = 0; i < 3; ++i) REQUIRE(endpoint.open(Instant::ms(1), kB, nullptr, {}) != nullptr);
  CHECK(endpoint.open(Instant::ms(1), kB, nullptr, {}) == nullptr);
  CHECK(endpoint.counts().overCallLimit == 1);
}

TEST_CASE("an endpoint withstands 200,000 mutated frames from a fixed seed") {
  ImpairedLink link;
  Call* call = link.a.dial(link.now, kB, "2001");
  link.run(50);
  link.b.endpoint().send(link.now, *link.b.incomingCalls.front(), Iax::ACCEPT);
  link.run(50);
  const auto capturedFrames = link.sentByA;
  std::mt19937 random(11);
  for (int i = 0; i < 200000; ++i) {
    auto encoded = capturedFrames[random() % capturedFrames.size()];
    for (auto k = random() % 6; k > 0; --k) {
      switch (random() % 4) {
        case 0:
          encoded[random() % encoded.size()] = static_cast<std::uint8_t>(random());
          break;
        case 1:
          encoded[random() % encoded.size()] ^= static_cast<std::uint8_t>(1u << (random() % 8));
          break;
        case 2:
          encoded.resize(1 + random() % encoded.size());
          break;
        default:
          encoded.insert(encoded.end(), {static_cast<std::uint8_t>(random()), static_cast<std::uint8_t>(random() % 4)});
      }
    }
    link.b.receive(link.now, kA, encoded);
    if (i % 50 == 0) link.b.process(link.now, [](Address, std::span<const std::uint8_t>) {});
  }
  const EndpointCounters& counts = link.b.endpoint().counts();
  CHECK(counts.received >= 200000);
  CHECK(counts.malformed > 1000);
  CHECK(link.b.endpoint().calls() <= 60000);
  (void)call;
  link.b.process(link.now + Span::ms(60000), [](Address, std::span<const std::uint8_t>) {});
}
