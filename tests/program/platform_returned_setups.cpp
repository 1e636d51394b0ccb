// Set-ups whose caller closes its connection, and ids that come again after that. On fake streams and a clock that the
// test advances.

#include "platform_fixture.hpp"

using namespace thistlefold;
using namespace thistlefold::platform;
using namespace thistlefold::platform::test;

namespace {

std::string setupLine(const std::string& id, const std::string& service = "voice") {
  return R"({"type":"setup","id":")" + id + R"(","fields":{"class":")" + service +
         R"(","left":"3000","key":"7f3a9c21e0b4d655","extras":"dest:1;width:1;via:-1"},"sdp":"v=0\r\n"})" + "\n";
}

/// How often set-ups of a call were sent to exchanges.
std::size_t countInvites(const SoftswitchFixture& fixture, const std::string& id) {
  std::size_t count = 0;
  for (const auto& stream : fixture.streams) {
    if (stream->remote.port == 0) continue;
    for (const Message& message : stream->sent(MessageKind::setup)) count += message.id == id ? 1 : 0;
  }
  return count;
}

/// The only message of its kind that was sent on a stream.
Message onlySent(const FakeStream& stream, MessageKind kind) {
  const auto messages = stream.sent(kind);
  REQUIRE(messages.size() == 1);
  return messages.front();
}

void read(SoftswitchFixture& fixture, FakeStream& stream, const std::string& bytes) {
  fixture.softswitch.onData(fixture.now, stream, bytes);
}

}  // namespace

// Guards against two set-ups of an id being out at once: the release of the first and the second set-up took two
// connections, on which either may be read first.
TEST_CASE("platform: an id that comes again after its client left is not sent on before the release time is over") {
  enum class Notice { beforeSetup, inSameRound, notYet };
  for (const Notice notice : {Notice::beforeSetup, Notice::inSameRound, Notice::notYet}) {
    CAPTURE(static_cast<int>(notice));
    SoftswitchFixture fixture;
    FakeStream& caller = fixture.acceptCaller();
    fixture.sendSetup(caller, kFirstId);
    REQUIRE(countInvites(fixture, kFirstId) == 1);
    fixture.advance(20);
    caller.remoteClosed = true;
    if (notice != Notice::notYet) {
      caller.closed = true;
      fixture.softswitch.onClosed(fixture.now, caller, CloseReason::closed);
    }
    if (notice == Notice::beforeSetup) fixture.advance(10);
    FakeStream& again = fixture.acceptCaller();
    fixture.sendSetup(again, kFirstId);
    CHECK(countInvites(fixture, kFirstId) == 1);
    const Message refusal = onlySent(again, MessageKind::release);
    CHECK(refusal.cause == 42);
    const auto retryAfterMs = readNumber(refusal.field("wait").value_or(""));
    REQUIRE(retryAfterMs);
    CHECK(*retryAfterMs > 0);
    CHECK(*retryAfterMs <= 300);
    fixture.advance(*retryAfterMs + 1);
    fixture.sendSetup(again, kFirstId);
    CHECK(countInvites(fixture, kFirstId) == 2);
  }
}

// Guards against a set-up that must not be executed twice being executed again under its id.
TEST_CASE(
    "platform: an id of a service that may not be repeated fails if it comes again after it may have been executed") {
  enum class First { abandoned, answeredAndEnded, refused };
  for (const First first : {First::abandoned, First::answeredAndEnded, First::refused}) {
    CAPTURE(static_cast<int>(first));
    SoftswitchFixture fixture;
    FakeStream& caller = fixture.acceptCaller();
    read(fixture, caller, setupLine(kFirstId, "once"));
    fixture.advance(1);
    REQUIRE(fixture.invitedStream(kFirstId) != nullptr);
    if (first == First::answeredAndEnded) {
      FakeStream& trunk = *fixture.invitedStream(kFirstId);
      fixture.sendAnswer(trunk, kFirstId);
      fixture.deliver(trunk, R"({"type":"release","id":")" + kFirstId + R"(","fields":{},"cause":16})");
    }
    // Each of its INVITEs is refused as never run, until the caller is.
    for (std::size_t i = 1; first == First::refused && caller.sent(MessageKind::release).empty(); ++i) {
      REQUIRE(fixture.invitedStream(kFirstId, i) != nullptr);
      fixture.deliver(*fixture.invitedStream(kFirstId, i),
                      R"({"type":"release","id":")" + kFirstId + R"(","fields":{},"cause":34})");
      fixture.advance(1);
      fixture.completeConnects();
    }
    fixture.softswitch.onClosed(fixture.now, caller, CloseReason::closed);
    fixture.advance(3000);
    const std::size_t before = countInvites(fixture, kFirstId);
    FakeStream& again = fixture.acceptCaller();
    read(fixture, again, setupLine(kFirstId, "once"));
    fixture.advance(1);
    if (first == First::refused) {
      CHECK(fixture.softswitch.counters().returnedSetups == 0);  // it never ran
      CHECK(fixture.softswitch.counters().acceptedSetups == 2);
    } else {
      CHECK(countInvites(fixture, kFirstId) == before);
      CHECK(onlySent(again, MessageKind::release).cause == 41);
    }
  }
}

// Guards against what a client wrote before it closed being sent on as it is read, a buffer at a time.
TEST_CASE("platform: set-ups that are read after their client has closed are not sent on, its releases are") {
  SoftswitchFixture fixture;
  FakeStream& caller = fixture.acceptCaller();
  fixture.establishCall(caller, kFirstId);
  read(fixture, caller, setupLine(kSecondId));
  caller.remoteClosed = true;
  read(fixture, caller,
       setupLine(kThirdId) + R"({"type":"release","id":")" + kFirstId + R"(","fields":{},"cause":16})" + "\n");
  fixture.advance(500);
  CHECK(countInvites(fixture, kSecondId) == 0);
  CHECK(countInvites(fixture, kThirdId) == 0);
  CHECK(fixture.softswitch.statusLine().find(" calls=0 ") != std::string::npos);
}

// Guards against a set-up being sent on while the end of its client's connection lies behind data that is unread.
TEST_CASE("platform: no set-up is sent on whose client has closed behind unread data") {
  for (const bool waitsForConnection : {false, true}) {
    CAPTURE(waitsForConnection);
    SoftswitchFixture fixture;
    FakeStream& caller = fixture.acceptCaller();
    if (waitsForConnection) {
      fixture.sendSetup(caller, kSecondId);  // takes the only connection
      fixture.sendSetup(caller, kFirstId);
    } else {
      read(fixture, caller, setupLine(kFirstId));
    }
    caller.remoteClosed = true;
    if (waitsForConnection) fixture.completeConnects();
    fixture.advance(100);
    CHECK(countInvites(fixture, kFirstId) == 0);
    caller.closed = true;
    fixture.softswitch.onClosed(fixture.now, caller, CloseReason::closed);
    fixture.advance(100);
    CHECK(fixture.softswitch.statusLine().find(" calls=0 ") != std::string::npos);
    CHECK(fixture.softswitch.statusLine().find(" open=0 ") != std::string::npos);
  }
}

// Guards against the set-ups of a client being sent on while what it wrote behind them, such as its close, is unread.
TEST_CASE(
    "platform: set-ups are sent on once what lies behind them is read, or after a second, or when time runs short") {
  SoftswitchFixture fixture;
  FakeStream& caller = fixture.acceptCaller();
  caller.hasUnread = true;
  fixture.sendSetup(caller, kFirstId);
  fixture.advance(30);
  CHECK(countInvites(fixture, kFirstId) == 0);
  caller.hasUnread = false;
  fixture.advance(30);
  REQUIRE(countInvites(fixture, kFirstId) == 1);
  fixture.sendAnswer(*fixture.invitedStream(kFirstId), kFirstId);
  caller.hasUnread = true;
  fixture.sendSetup(caller, kSecondId);
  fixture.sendSetup(caller, kThirdId);
  fixture.deliver(caller, R"({"type":"release","id":")" + kThirdId + R"(","fields":{},"cause":16})");
  fixture.advance(990);
  CHECK(countInvites(fixture, kSecondId) == 0);
  fixture.advance(31);  // a second and one interval of checks
  REQUIRE(countInvites(fixture, kSecondId) == 1);
  CHECK(countInvites(fixture, kThirdId) == 0);
  fixture.sendAnswer(*fixture.invitedStream(kSecondId), kSecondId);
  // A caller that waits for 200 ms gets its answer in that time.
  const std::string fourthId = "00000000000000dd";
  fixture.sendSetup(caller, fourthId, "dest:9;width:1;via:-1", 200);
  fixture.advance(80);
  CHECK(caller.sent(MessageKind::release).empty());
  fixture.advance(60);
  CHECK(caller.sent(MessageKind::release).size() == 1);
}

// Guards against a client that sends without pause keeping a planned restart from ending, until it is killed.
TEST_CASE("platform: a planned restart waits for unread data, but not for a client that sends without pause") {
  for (const bool isEndless : {false, true}) {
    CAPTURE(isEndless);
    SoftswitchFixture fixture;
    FakeStream& caller = fixture.acceptCaller();
    fixture.sendSetup(caller, kFirstId, "dest:9;width:1;via:-1");
    caller.hasUnread = true;
    fixture.softswitch.stop(fixture.now);
    fixture.advance(3410);  // three seconds and the drain margin
    CHECK(!fixture.softswitch.isStopped(fixture.now));
    if (isEndless) fixture.advance(60);
    if (!isEndless) caller.hasUnread = false;
    CHECK(fixture.softswitch.isStopped(fixture.now));
  }
}
