// Established calls that are over while their caller is still owed the release, whatever stands between: a restart, a
// replacement, a bound, or the end of a connection. On fake streams and a clock that the test advances.

#include "platform_fixture.hpp"

using namespace thistlefold;
using namespace thistlefold::platform;
using namespace thistlefold::platform::test;

namespace {

const iax2::Address kOtherAddress{0x7f000005, 5000};
constexpr std::uint64_t kStartMs = 1'000'000'000'000;  // when the fixture's softswitch starts, in Unix milliseconds

void publish(SoftswitchFixture& fixture, std::uint64_t number, const std::string& records, bool isSnapshot = false) {
  fixture.softswitch.onData(fixture.now, *fixture.outgoingStreams(kBulletinAddress).front(),
                            encodeFrame(number, isSnapshot ? 1 : 2, records));
  fixture.advance(1);
}

void sendRelease(SoftswitchFixture& fixture, FakeStream& from, const std::string& id, int cause) {
  fixture.deliver(from, R"({"type":"release","id":")" + id + R"(","fields":{},"cause":)" + std::to_string(cause) + "}");
}

void sendReleased(SoftswitchFixture& fixture, FakeStream& from, const std::string& id) {
  fixture.deliver(from, R"({"type":"released","id":")" + id + R"(","fields":{}})");
}

void nameCall(SoftswitchFixture& fixture, FakeStream& caller, const std::string& id, const std::string& exchange) {
  fixture.sendSetup(caller, id, "dest:1;at:" + exchange);
}

void endStream(SoftswitchFixture& fixture, FakeStream& stream, CloseReason reason) {
  stream.closed = true;
  fixture.softswitch.onClosed(fixture.now, stream, reason);
  fixture.advance(1);
}

std::string numberedId(int number) { return std::string(12, '0') + std::to_string(1000 + number); }

/// How often the release of a call was sent on a stream.
std::size_t countReleases(const FakeStream& stream, const std::string& id) {
  const auto releases = stream.sent(MessageKind::release);
  return static_cast<std::size_t>(
      std::count_if(releases.begin(), releases.end(), [&](const Message& message) { return message.id == id; }));
}

std::size_t countReleasesTo(SoftswitchFixture& fixture, iax2::Address exchange, const std::string& id) {
  std::size_t count = 0;
  for (const auto& stream : fixture.streams) {
    if (stream->remote == exchange) count += countReleases(*stream, id);
  }
  return count;
}

bool holdsNoCall(const SoftswitchFixture& fixture) {
  return fixture.softswitch.statusLine().find(" calls=0 ") != std::string::npos;
}

/// Establishes a call on a connection that its caller then closes. Returns the exchange's stream.
FakeStream& establishAndClose(SoftswitchFixture& fixture, const std::string& id) {
  FakeStream& caller = fixture.acceptCaller();
  FakeStream& trunk = fixture.establishCall(caller, id);
  endStream(fixture, caller, CloseReason::closed);
  return trunk;
}

}  // namespace

// Guards against an exchange that the list first names as gone being given the address of the one that replaced it, so
// that calls named there were held as if the new process carried them.
TEST_CASE("platform: an exchange first listed as gone does not get an address that another one holds") {
  for (const bool isSameEvent : {false, true}) {
    CAPTURE(isSameEvent);
    SoftswitchFixture fixture;
    const std::string gone = encodeRecord(76, kOtherAddress, 2, 1), ready = encodeRecord(77, kOtherAddress, 0, 1);
    if (isSameEvent) {
      publish(fixture, 8, gone + ready);
    } else {
      publish(fixture, 8, ready);
      publish(fixture, 9, gone);
    }
    fixture.advance(100);
    fixture.completeConnects();
    FakeStream& caller = fixture.acceptCaller();
    nameCall(fixture, caller, kFirstId, "s-0000004c");
    CHECK(countReleases(caller, kFirstId) == 1);
    CHECK(holdsNoCall(fixture));
  }
}

// Guards against callers that name calls at an exchange that was replaced during the restart being taken for noise: the
// ninth name closed their connection, and set-ups behind it were lost.
TEST_CASE("platform: calls named at an unknown exchange are each released, and what lies behind them is served") {
  SoftswitchFixture fixture;
  FakeStream& caller = fixture.acceptCaller();
  for (int i = 0; i < 20; ++i) nameCall(fixture, caller, numberedId(i), "s-0000ffff");
  fixture.sendSetup(caller, kFirstId);
  CHECK(!caller.closed);
  for (int i = 0; i < 20; ++i) CHECK(countReleases(caller, numberedId(i)) == 1);
  REQUIRE(fixture.invitedStream(kFirstId) != nullptr);
  fixture.sendAnswer(*fixture.invitedStream(kFirstId), kFirstId);
  CHECK(caller.sent(MessageKind::answer).size() == 1);
  // An id of another form is noise as before.
  FakeStream& stranger = fixture.acceptCaller();
  for (int i = 0; i < 8; ++i) nameCall(fixture, stranger, numberedId(i), "7");
  CHECK(stranger.closed);
}

// Guards against a call named at the own exchange, where no call can be set up, being held for ever.
TEST_CASE("platform: a call named at the own exchange is released") {
  SoftswitchFixture fixture;
  FakeStream& caller = fixture.acceptCaller();
  nameCall(fixture, caller, kFirstId, "s-00000001");
  CHECK(countReleases(caller, kFirstId) == 1);
  CHECK(holdsNoCall(fixture));
}

// Guards against a named call outliving its exchange's process: it counted as established at its naming, so a restart
// of the exchange between the softswitch's start and the naming was not seen, whenever the list told it.
TEST_CASE("platform: a named call is released if its exchange restarted after the softswitch started") {
  for (const bool isListedFirst : {true, false}) {
    CAPTURE(isListedFirst);
    SoftswitchFixture fixture;
    FakeStream& caller = fixture.acceptCaller();
    const std::string restarted = encodeRecord(2, kExchangeAddress, 0, 1, kStartMs + 100);
    if (isListedFirst) publish(fixture, 8, restarted);
    nameCall(fixture, caller, kFirstId, "s-00000002");
    if (!isListedFirst) {
      CHECK(countReleases(caller, kFirstId) == 0);
      publish(fixture, 8, restarted);
    }
    CHECK(countReleases(caller, kFirstId) == 1);
    CHECK(holdsNoCall(fixture));
    fixture.completeConnects();
    CHECK(countReleasesTo(fixture, kExchangeAddress, kFirstId) == 1);  // both ends agree in any case
  }
}

// Guards against calls that still stand being released after a restart because the exchange's connections come up late:
// the silence before the start counted, so two failed attempts were enough.
TEST_CASE("platform: an exchange that accepts late after the softswitch's start keeps the calls named there") {
  SoftswitchFixture fixture;
  publish(fixture, 8, encodeRecord(77, kOtherAddress, 0, 3));  // a new exchange, which accepts nothing yet
  FakeStream& caller = fixture.acceptCaller();
  nameCall(fixture, caller, kFirstId, "s-0000004d");
  fixture.advance(1400);  // two attempts time out
  CHECK(countReleases(caller, kFirstId) == 0);
  for (FakeStream* stream : fixture.outgoingStreams(kOtherAddress)) fixture.completeConnect(*stream);
  fixture.advance(1000);
  CHECK(countReleases(caller, kFirstId) == 0);
  // One that stays away has vanished.
  nameCall(fixture, caller, kSecondId, "s-0000004d");
  fixture.advance(8000);
  CHECK(countReleases(caller, kSecondId) == 1);
}

// Guards against the calls of an exchange that the list moves to another address being held for ever: its new process
// accepts connections, so nothing else shows that the former one has ended.
TEST_CASE("platform: an exchange listed at another address is a new process, and its calls are released") {
  SoftswitchFixture fixture;
  FakeStream& caller = fixture.acceptCaller();
  fixture.establishCall(caller, kFirstId);
  publish(fixture, 8, encodeRecord(2, kOtherAddress, 0, 1));
  CHECK(countReleases(caller, kFirstId) == 1);
  CHECK(fixture.outgoingStreams(kExchangeAddress).empty());
}

// Guards against a named call being refused at the limit without a word to its exchange, where it went on standing.
TEST_CASE("platform: a call named beyond the limit is released at both of its ends") {
  SoftswitchFixture fixture;
  FakeStream& caller = fixture.acceptCaller();
  for (int i = 0; i < 110; ++i) nameCall(fixture, caller, numberedId(i), "s-00000002");  // the limit is 2 x 50
  for (int i = 0; i < 110; ++i) {
    CAPTURE(i);
    CHECK(countReleases(caller, numberedId(i)) == (i < 100 ? 0 : 1));
    CHECK(countReleasesTo(fixture, kExchangeAddress, numberedId(i)) == (i < 100 ? 0 : 1));
  }
  REQUIRE(!caller.closed);
  // Calls that end make room.
  sendRelease(fixture, *fixture.outgoingStreams(kExchangeAddress).front(), numberedId(0), 16);
  sendRelease(fixture, caller, numberedId(1), 16);
  nameCall(fixture, caller, kFirstId, "s-00000002");
  nameCall(fixture, caller, kSecondId, "s-00000002");
  CHECK(countReleases(caller, kFirstId) + countReleases(caller, kSecondId) == 0);
}

// Guards against a call that is over being held again for ever because its caller names it at that moment.
TEST_CASE("platform: a call that is over when its caller names it is released and not held again") {
  for (const bool isDelivered : {false, true}) {
    CAPTURE(isDelivered);
    SoftswitchFixture fixture;
    FakeStream& trunk = establishAndClose(fixture, kFirstId);
    if (isDelivered) fixture.establishCall(fixture.acceptCaller(), kSecondId);
    sendRelease(fixture, trunk, kFirstId, 16);
    FakeStream& caller = fixture.acceptCaller();
    nameCall(fixture, caller, kFirstId, "s-00000002");
    fixture.advance(100);
    CHECK(countReleases(caller, kFirstId) == 1);
    CHECK(fixture.softswitch.statusLine().find(isDelivered ? " calls=1 " : " calls=0 ") != std::string::npos);
  }
}

// Guards against a release lost on a connection that its caller closes, or that breaks, at the same moment.
TEST_CASE("platform: a release on a caller's connection that ends at once is repeated, unless it was acknowledged") {
  for (const CloseReason reason : {CloseReason::closed, CloseReason::reset}) {
    for (const bool isAcknowledged : {false, true}) {
      CAPTURE(isAcknowledged);
      SoftswitchFixture fixture;
      FakeStream& caller = fixture.acceptCaller();
      FakeStream& trunk = fixture.establishCall(caller, kFirstId);
      FakeStream& other = fixture.acceptCaller();
      fixture.establishCall(other, kSecondId);
      sendRelease(fixture, trunk, kFirstId, 41);
      CHECK(countReleases(caller, kFirstId) == 1);
      if (isAcknowledged) sendReleased(fixture, caller, kFirstId);
      endStream(fixture, caller, reason);
      CHECK(countReleases(other, kFirstId) == (isAcknowledged ? 0 : 1));
      // If that one ends too, the release waits for the next caller.
      endStream(fixture, other, reason);
      FakeStream& next = fixture.acceptCaller();
      fixture.sendSetup(next, kThirdId);
      fixture.advance(50);
      CHECK(countReleases(next, kFirstId) == (isAcknowledged ? 0 : 1));
    }
  }
}

// Guards against a release lost with a client that never had a call, but was the only one connected.
TEST_CASE("platform: a release that a client without calls does not acknowledge is repeated to one that had some") {
  for (const bool isAcknowledged : {false, true}) {
    CAPTURE(isAcknowledged);
    SoftswitchFixture fixture;
    FakeStream& trunk = establishAndClose(fixture, kFirstId);
    FakeStream& refusedCaller = fixture.acceptCaller();
    fixture.sendSetup(refusedCaller, kThirdId, "dest:9;width:1;via:-1");
    sendRelease(fixture, trunk, kFirstId, 41);
    CHECK(countReleases(refusedCaller, kFirstId) == 1);
    if (isAcknowledged) sendReleased(fixture, refusedCaller, kFirstId);
    FakeStream& caller = fixture.acceptCaller();
    fixture.establishCall(caller, kSecondId);
    fixture.advance(1000);
    CHECK(countReleases(caller, kFirstId) == (isAcknowledged ? 0 : 1));
    CHECK(countReleases(refusedCaller, kFirstId) == 1);
  }
}

// Guards against the end of a call being noticed later than callers may wait because connection attempts may take long.
TEST_CASE("platform: a vanished machine is found in time whatever the connect timeout") {
  for (const double timeoutMs : {500.0, 3000.0, 30000.0}) {
    CAPTURE(timeoutMs);
    SoftswitchFixture fixture(256, 32 << 20, Span::ms(timeoutMs));
    fixture.establishCall(fixture.acceptCaller(), kFirstId);
    FakeStream& caller = fixture.acceptCaller();
    nameCall(fixture, caller, kSecondId, "s-00000002");
    fixture.advance(5900);
    fixture.deliver(caller, R"({"type":"ping","id":")" + kThirdId + R"(","fields":{},"cause":0})");
    fixture.advance(2100);
    CHECK(countReleases(caller, kSecondId) == 1);
  }
}

// Guards against a refusal from before a call was named ending that call at once: an exchange that is not in service is
// not tried, so an old refusal is no evidence.
TEST_CASE("platform: a call named at an exchange that refused connections earlier is kept while it accepts them") {
  SoftswitchFixture fixture;
  publish(fixture, 8, encodeRecord(77, kOtherAddress, 0, 3));
  fixture.advance(30);
  const auto outgoing = fixture.outgoingStreams(kOtherAddress);
  REQUIRE(!outgoing.empty());
  for (FakeStream* stream : outgoing) endStream(fixture, *stream, CloseReason::refused);
  publish(fixture, 9, encodeRecord(77, kOtherAddress, 1, 3));
  fixture.advance(3000);
  FakeStream& caller = fixture.acceptCaller();
  nameCall(fixture, caller, kFirstId, "s-0000004d");
  fixture.advance(100);
  for (FakeStream* stream : fixture.outgoingStreams(kOtherAddress)) fixture.completeConnect(*stream);
  fixture.advance(1200);
  CHECK(countReleases(caller, kFirstId) == 0);
}

// Guards against a release lost because its connection was closed here, as idle, while the exchange was sending it.
TEST_CASE("platform: a release that arrives on a connection that is being closed reaches its caller, noise does not") {
  SoftswitchFixture fixture;
  FakeStream& caller = fixture.acceptCaller();
  FakeStream& trunk = fixture.establishCall(caller, kFirstId);
  fixture.establishCall(caller, kSecondId);
  // A set-up that goes unanswered makes its connection suspect, so that it is closed.
  fixture.sendSetup(caller, kThirdId);
  REQUIRE(fixture.invitedStream(kThirdId) == &trunk);
  for (int i = 0; i < 60 && !trunk.closed; ++i) {
    fixture.advance(100);
    fixture.deliver(caller, R"({"type":"ping","id":")" + kThirdId + R"(","fields":{},"cause":0})");
  }
  REQUIRE(trunk.closed);
  REQUIRE(trunk.onLateData);
  const std::string line = R"({"type":"release","id":")" + kFirstId + R"(","fields":{},"cause":16})" + "\n";
  trunk.onLateData(fixture.now, "noise\n" + line.substr(0, 20));
  CHECK(countReleases(caller, kFirstId) == 0);
  trunk.onLateData(fixture.now, line.substr(20) + R"({"type":"answer","id":")" + kSecondId + "\"}\n");
  fixture.advance(1);
  CHECK(countReleases(caller, kFirstId) == 1);
  CHECK(countReleases(caller, kSecondId) == 0);
}

// Guards against a release queued for a client that does not read while its caller reads on another connection.
TEST_CASE("platform: a release on a connection that is not read is repeated on another, at once or when it ends") {
  for (const bool hasOther : {true, false}) {
    CAPTURE(hasOther);
    SoftswitchFixture fixture;
    FakeStream& caller = fixture.acceptCaller();
    FakeStream& trunk = fixture.establishCall(caller, kFirstId);
    FakeStream* other = hasOther ? &fixture.acceptCaller() : nullptr;
    if (hasOther) fixture.establishCall(*other, kSecondId);
    caller.unsent = 5000;
    sendRelease(fixture, trunk, kFirstId, 16);
    fixture.advance(1000);
    if (hasOther) {
      CHECK(countReleases(*other, kFirstId) == 1);
      continue;
    }
    fixture.advance(3000);
    endStream(fixture, caller, CloseReason::reset);
    FakeStream& next = fixture.acceptCaller();
    fixture.establishCall(next, kSecondId);
    fixture.advance(50);
    CHECK(countReleases(next, kFirstId) == 1);
  }
}

// Guards against the release of a call going to a client that named unknown calls, and to nobody else: its own word
// counted as much as a call that was answered, and it was the one that sent last.
TEST_CASE("platform: a client that names unknown calls does not keep the release of another client's call") {
  enum class Stranger { namesUnknownCalls, namesEndedCalls, repeatsRefusedSetups };
  for (const Stranger kind : {Stranger::namesUnknownCalls, Stranger::namesEndedCalls, Stranger::repeatsRefusedSetups}) {
    for (const bool hasAnsweredCall : {true, false}) {
      CAPTURE(static_cast<int>(kind));
      CAPTURE(hasAnsweredCall);
      SoftswitchFixture fixture;
      FakeStream& namer = fixture.acceptCaller();
      nameCall(fixture, namer, kFirstId, "s-00000002");
      endStream(fixture, namer, CloseReason::closed);
      FakeStream& caller = fixture.acceptCaller();
      if (hasAnsweredCall) {
        fixture.establishCall(caller, kSecondId);
      } else {
        fixture.sendSetup(caller, kSecondId, "dest:9;width:1;via:-1");  // is refused
      }
      FakeStream& stranger = fixture.acceptCaller();
      for (int i = 0; i < 20; ++i) {
        fixture.advance(100);
        if (kind == Stranger::repeatsRefusedSetups) {
          fixture.sendSetup(stranger, numberedId(i), "dest:9;width:1;via:-1");
        } else {
          const bool isSameId = kind == Stranger::namesEndedCalls && i % 2 == 1;
          nameCall(fixture, stranger, numberedId(isSameId ? i - 1 : i),
                   kind == Stranger::namesEndedCalls ? "s-0000ffff" : "s-00000002");
        }
      }
      sendRelease(fixture, *fixture.outgoingStreams(kExchangeAddress).front(), kFirstId, 16);
      fixture.advance(hasAnsweredCall && kind != Stranger::repeatsRefusedSetups ? 50 : 950);
      CHECK(countReleases(caller, kFirstId) == 1);
      if (hasAnsweredCall) CHECK(countReleases(stranger, kFirstId) == 0);
      fixture.advance(5000);
      CHECK(countReleases(caller, kFirstId) == 1);
      CHECK(countReleases(stranger, kFirstId) <= 1);
    }
  }
}

// Guards against a client that named calls which its exchange knew being taken for a stranger.
TEST_CASE("platform: a client whose named call an exchange has released gets the releases of its other calls") {
  SoftswitchFixture fixture;
  FakeStream& closing = fixture.acceptCaller();
  nameCall(fixture, closing, kFirstId, "s-00000002");
  endStream(fixture, closing, CloseReason::closed);
  FakeStream& caller = fixture.acceptCaller();
  nameCall(fixture, caller, kSecondId, "s-00000002");
  FakeStream& stranger = fixture.acceptCaller();
  fixture.advance(10);
  nameCall(fixture, stranger, kThirdId, "s-00000002");
  FakeStream& trunk = *fixture.outgoingStreams(kExchangeAddress).front();
  sendRelease(fixture, trunk, kSecondId, 16);
  CHECK(countReleases(caller, kSecondId) == 1);
  sendRelease(fixture, trunk, kFirstId, 16);
  fixture.advance(2000);
  CHECK(countReleases(caller, kFirstId) == 1);
  CHECK(countReleases(stranger, kFirstId) == 0);
  CHECK(countReleases(caller, kSecondId) == 1);
}

/// Establishes three calls of one caller on two connections to the exchange. Returns the connection of the first.
FakeStream& establishOnTwoConnections(SoftswitchFixture& fixture, FakeStream& caller) {
  FakeStream& trunk = fixture.establishCall(caller, kFirstId);
  fixture.sendSetup(caller, kSecondId);
  fixture.sendSetup(caller, kThirdId);
  fixture.completeConnects();
  for (const std::string& id : {kSecondId, kThirdId}) fixture.sendAnswer(*fixture.invitedStream(id), id);
  REQUIRE(fixture.outgoingStreams(kExchangeAddress).size() == 2);
  return trunk;
}

// Guards against a release lost with the bytes of a spoilt connection: its exchange repeats it on the next connection
// that is opened, and none was opened as long as others were left.
TEST_CASE(
    "platform: a connection on which releases may have been lost is replaced, and the repeated release is heard") {
  enum class Loss { unreadableLine, endlessLine, brokenOffLine, reset };
  for (const Loss loss : {Loss::unreadableLine, Loss::endlessLine, Loss::brokenOffLine, Loss::reset}) {
    CAPTURE(static_cast<int>(loss));
    SoftswitchFixture fixture;
    FakeStream& caller = fixture.acceptCaller();
    FakeStream& trunk = establishOnTwoConnections(fixture, caller);
    const std::string half = R"({"type":"answer","id":")" + kSecondId + R"(","fie)";
    if (loss == Loss::unreadableLine) fixture.deliver(trunk, half + R"({"type":"release","id":"00)");
    if (loss == Loss::endlessLine) fixture.softswitch.onData(fixture.now, trunk, std::string(20000, 'x'));
    if (loss == Loss::brokenOffLine) fixture.softswitch.onData(fixture.now, trunk, half);
    if (loss == Loss::brokenOffLine || loss == Loss::reset)
      endStream(fixture, trunk, loss == Loss::reset ? CloseReason::reset : CloseReason::closed);
    CHECK(trunk.closed);
    fixture.advance(200);
    REQUIRE(fixture.outgoingStreams(kExchangeAddress).size() == 2);
    // If the attempt fails, another one follows.
    endStream(fixture, *fixture.outgoingStreams(kExchangeAddress).back(), CloseReason::refused);
    fixture.advance(200);
    REQUIRE(fixture.outgoingStreams(kExchangeAddress).size() == 2);
    FakeStream& replacement = *fixture.outgoingStreams(kExchangeAddress).back();
    fixture.completeConnect(replacement);
    sendRelease(fixture, replacement, kFirstId, 16);
    CHECK(countReleases(caller, kFirstId) == 1);
    fixture.advance(300);
    CHECK(fixture.outgoingStreams(kExchangeAddress).size() == 2);  // one is enough
    // What arrives late on a spoilt connection may be a release too.
    if (!trunk.onLateData) continue;
    trunk.onLateData(fixture.now, half + R"({"type":"release","id":"00)" + "\n");
    fixture.advance(200);
    CHECK(fixture.outgoingStreams(kExchangeAddress).size() == 3);
  }
}

// Guards against a connection that was begun before the loss being taken for the one on which releases are repeated.
TEST_CASE("platform: a connection begun before releases were lost does not stand for the next that is opened") {
  SoftswitchFixture fixture;
  FakeStream& caller = fixture.acceptCaller();
  FakeStream& trunk = fixture.establishCall(caller, kFirstId);
  fixture.sendSetup(caller, kSecondId);
  fixture.sendAnswer(trunk, kSecondId);
  fixture.sendSetup(caller, kThirdId);
  fixture.sendSetup(caller, "00000000000000dd");
  REQUIRE(fixture.outgoingStreams(kExchangeAddress).size() == 2);
  FakeStream& begun = *fixture.outgoingStreams(kExchangeAddress).back();
  fixture.sendAnswer(trunk, kThirdId);
  fixture.advance(10);
  endStream(fixture, trunk, CloseReason::reset);
  fixture.completeConnect(begun);
  fixture.advance(200);
  CHECK(fixture.outgoingStreams(kExchangeAddress).size() == 2);
}

// Guards against connections being opened without end where exchanges close idle ones, which loses nothing.
TEST_CASE("platform: a connection that its exchange closes between messages is not replaced while others are left") {
  SoftswitchFixture fixture;
  FakeStream& trunk = establishOnTwoConnections(fixture, fixture.acceptCaller());
  endStream(fixture, trunk, CloseReason::closed);
  fixture.advance(300);
  CHECK(fixture.outgoingStreams(kExchangeAddress).size() == 1);
}

// Guards against the connection of a caller that asks once and keeps it being closed as idle while its call stands, so
// that nobody was left to tell of the call's end.
TEST_CASE("platform: a connection stays open while a call stands that it carried or named, and is told of its end") {
  enum class End { exchange, otherConnection };
  for (const bool isNamed : {false, true}) {
    for (const End end : {End::exchange, End::otherConnection}) {
      CAPTURE(isNamed);
      CAPTURE(static_cast<int>(end));
      SoftswitchFixture fixture;
      FakeStream& caller = fixture.acceptCaller();
      if (isNamed) {
        nameCall(fixture, caller, kFirstId, "s-00000002");
      } else {
        fixture.establishCall(caller, kFirstId);
      }
      // The exchange is alive, and nothing else happens.
      for (int second = 0; second < 30; ++second) {
        fixture.advance(1000);
        fixture.deliver(*fixture.outgoingStreams(kExchangeAddress).front(),
                        R"({"type":"state","id":"","fields":{"load":"x0:19;x1:20;qps:100"}})");
      }
      REQUIRE(!caller.closed);
      if (end == End::exchange) {
        sendRelease(fixture, *fixture.outgoingStreams(kExchangeAddress).front(), kFirstId, 16);
        CHECK(countReleases(caller, kFirstId) == 1);
      } else {
        FakeStream& other = fixture.acceptCaller();
        sendRelease(fixture, other, kFirstId, 16);
      }
      fixture.advance(5000);
      CHECK(!caller.closed);
      fixture.advance(1500);
      CHECK(caller.closed);  // it carries no call any more
    }
  }
}

// Guards against a connection that carries a call being closed at the limit before one that carries none.
TEST_CASE(
    "platform: at the limit of connections those of calls that stand go last, and calls named at will before them") {
  SoftswitchFixture fixture(64);  // 24 connections of callers
  FakeStream& caller = fixture.acceptCaller();
  fixture.establishCall(caller, kFirstId);
  FakeStream& formerCaller = fixture.acceptCaller();
  FakeStream& trunk = fixture.establishCall(formerCaller, kSecondId);
  fixture.advance(10);
  sendRelease(fixture, trunk, kSecondId, 16);
  std::vector<FakeStream*> namers;
  for (int i = 0; i < 22; ++i) {
    namers.push_back(&fixture.acceptCaller());
    nameCall(fixture, *namers.back(), numberedId(i), "s-00000002");
    fixture.advance(10);
  }
  fixture.advance(200);
  std::vector<FakeStream*> setups;
  for (int i = 0; i < 22; ++i) {
    setups.push_back(&fixture.acceptCaller());
    fixture.sendSetup(*setups.back(), numberedId(100 + i));
  }
  for (const FakeStream* namer : namers) CHECK(namer->closed);
  CHECK(!caller.closed);
  CHECK(!formerCaller.closed);
  fixture.acceptCaller();
  CHECK(formerCaller.closed);
  CHECK(!caller.closed);
}

// Guards against one client that names ever new calls filling the memory, and the room for the calls of all others.
TEST_CASE("platform: calls named at full speed stay within the memory, and other clients' names find room") {
  SoftswitchFixture fixture(256, 1 << 20);  // room for 128 calls by memory, less by the set-ups: 2 x 50
  FakeStream& stranger = fixture.acceptCaller();
  for (int i = 0; i < 1000; ++i) nameCall(fixture, stranger, numberedId(i), "s-00000002");
  CHECK(fixture.softswitch.statusLine().find(" calls=100 ") != std::string::npos);
  FakeStream& caller = fixture.acceptCaller();
  for (int i = 0; i < 30; ++i) nameCall(fixture, caller, numberedId(2000 + i), "s-00000002");
  for (int i = 0; i < 30; ++i) CHECK(countReleases(caller, numberedId(2000 + i)) == 0);
  // Two clients with as many calls each do not end each other's.
  FakeStream& third = fixture.acceptCaller();
  for (int i = 0; i < 100; ++i) nameCall(fixture, third, numberedId(3000 + i), "s-00000002");
  for (int i = 0; i < 30; ++i) CHECK(countReleases(caller, numberedId(2000 + i)) == 0);
}

TEST_CASE("platform: the memory limit bounds the calls that are named") {
  SoftswitchFixture fixture(256, 256 << 10);
  FakeStream& stranger = fixture.acceptCaller();
  for (int i = 0; i < 200; ++i) nameCall(fixture, stranger, numberedId(i), "s-00000002");
  CHECK(fixture.softswitch.statusLine().find(" calls=32 ") != std::string::npos);
}

// Guards against memory growing with what is queued for an exchange that does not read.
TEST_CASE("platform: releases for an exchange that does not read wait in a bounded list, for its next connection") {
  SoftswitchFixture fixture;
  FakeStream& caller = fixture.acceptCaller();
  nameCall(fixture, caller, kFirstId, "s-00000002");
  FakeStream& trunk = *fixture.outgoingStreams(kExchangeAddress).front();
  trunk.unsent = 100000;
  sendRelease(fixture, caller, kFirstId, 16);
  CHECK(countReleasesTo(fixture, kExchangeAddress, kFirstId) == 0);
  endStream(fixture, trunk, CloseReason::reset);
  fixture.advance(200);
  fixture.completeConnects();
  CHECK(countReleasesTo(fixture, kExchangeAddress, kFirstId) == 1);
}

// Guards against the memory of releases that may have to be repeated growing with the number of connections.
TEST_CASE("platform: the releases kept for repetition on all callers' connections together are bounded") {
  SoftswitchFixture fixture;
  FakeStream& caller = fixture.acceptCaller();
  fixture.establishCall(caller, kFirstId);
  std::vector<FakeStream*> namers;
  for (int i = 0; i < 16; ++i) {
    namers.push_back(&fixture.acceptCaller());
    nameCall(fixture, *namers.back(), numberedId(i), "s-00000002");
    for (int k = 0; k < 1100; ++k) nameCall(fixture, *namers.back(), numberedId(20 + k), "s-0000ffff");
  }
  const std::size_t before = caller.sent(MessageKind::release).size();
  for (FakeStream* namer : namers) {
    namer->closed = true;
    fixture.softswitch.onClosed(fixture.now, *namer, CloseReason::reset);
  }
  const std::size_t repeated = caller.sent(MessageKind::release).size() - before;
  CHECK(repeated > 8000);
  CHECK(repeated <= 16384 + 16 * 17);  // the limit, and a few for each connection
}

// Guards against a second copy of an error being taken for the end of the call's next INVITE, so that two were out, or
// for the end of the call once that was answered.
TEST_CASE("platform: a second copy of a rejection ends neither the call's next INVITE nor the call") {
  for (const int cause : {34, 47, 41}) {
    CAPTURE(cause);
    SoftswitchFixture fixture;
    FakeStream& caller = fixture.acceptCaller();
    fixture.sendSetup(caller, kFirstId, "dest:1;width:1;via:-1", 9000);
    FakeStream& trunk = *fixture.invitedStream(kFirstId);
    sendRelease(fixture, trunk, kFirstId, cause);
    for (int i = 0; i < 60 && fixture.invitedStream(kFirstId, 2) == nullptr; ++i) {
      fixture.advance(10);
      fixture.completeConnects();
    }
    REQUIRE(fixture.invitedStream(kFirstId, 2) != nullptr);
    FakeStream& second = *fixture.invitedStream(kFirstId, 2);
    CHECK(&second != &trunk);
    sendRelease(fixture, trunk, kFirstId, cause);
    fixture.advance(50);
    CHECK(fixture.invitedStream(kFirstId, 3) == nullptr);
    fixture.sendAnswer(second, kFirstId);
    REQUIRE(caller.sent(MessageKind::answer).size() == 1);
    sendRelease(fixture, trunk, kFirstId, cause);
    fixture.advance(50);
    CHECK(countReleases(caller, kFirstId) == 0);
    // The exchange may have meant it: it is given the connection on which it would repeat it.
    fixture.advance(100);
    CHECK(fixture.outgoingStreams(kExchangeAddress).size() == 3);
    sendRelease(fixture, *fixture.outgoingStreams(kExchangeAddress).back(), kFirstId, 16);
    CHECK(countReleases(caller, kFirstId) == 1);
  }
}

// Guards against calls being held for ever whose exchange restarted under its id while the softswitch was down.
TEST_CASE(
    "platform: a named call is released at both ends if its exchange started while the softswitch may have been down") {
  for (const bool isListedFirst : {true, false}) {
    for (const std::uint64_t startedBeforeMs : {500, 9000, 11000}) {
      CAPTURE(isListedFirst);
      CAPTURE(startedBeforeMs);
      SoftswitchFixture fixture;
      FakeStream& caller = fixture.acceptCaller();
      const std::string restarted = encodeRecord(2, kExchangeAddress, 0, 1, kStartMs - startedBeforeMs);
      if (isListedFirst) publish(fixture, 8, restarted);
      nameCall(fixture, caller, kFirstId, "s-00000002");
      if (!isListedFirst) publish(fixture, 8, restarted);
      const bool isOver = startedBeforeMs < 10000;
      CHECK(countReleases(caller, kFirstId) == (isOver ? 1 : 0));
      CHECK(holdsNoCall(fixture) == isOver);
      fixture.completeConnects();
      CHECK(countReleasesTo(fixture, kExchangeAddress, kFirstId) == (isOver ? 1 : 0));
    }
  }
}
