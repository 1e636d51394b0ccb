// Established calls at the limits of connections to exchanges: their callers are told in time of their end, whatever
// else holds the connections. On fake streams and a clock that the test advances.

#include <cstdio>
#include <map>
#include <set>

#include "platform_fixture.hpp"

using namespace thistlefold;
using namespace thistlefold::platform;
using namespace thistlefold::platform::test;

namespace {

constexpr int kFewDescriptors = 64;            // at most 17 connections to exchanges
constexpr double kReleaseTimeoutMs = 8000;     // the platform's limit for a release without one of the exchange
constexpr std::uint32_t kFirstExchange = 100;  // id of the first of the further exchanges; its place is 10

iax2::Address addressOf(int index) { return {0x7f000100u + static_cast<std::uint32_t>(index), 5000}; }

std::string numberedId(int number) { return std::string(12, '0') + std::to_string(1000 + number); }

std::string exchangeName(int index) {
  char text[16];
  std::snprintf(text, sizeof text, "s-%08x", kFirstExchange + static_cast<std::uint32_t>(index));
  return text;
}

/// A softswitch with further exchanges. Each accepts connections unless it has vanished, and releases on the next
/// connection what is owed there.
struct CrowdedFixture : SoftswitchFixture {
  explicit CrowdedFixture(int exchanges, int descriptors = kFewDescriptors) : SoftswitchFixture(descriptors) {
    std::string records;
    for (int i = 0; i < exchanges; ++i)
      records += encodeRecord(kFirstExchange + static_cast<std::uint32_t>(i), addressOf(i), 0, 10 + i);
    softswitch.onData(now, *outgoingStreams(kBulletinAddress).front(), encodeFrame(8, 2, records));
    run(300);
  }
  /// Advances the clock. Connections come up after at most 20 ms, except to vanished machines. `caller` stays in use.
  void run(double ms) {
    for (const Instant end = now + Span::ms(ms); now < end;) {
      advance(20);
      if (!caller.closed) deliver(caller, R"({"type":"ping","id":")" + kSecondId + R"(","fields":{},"cause":0})");
      for (FakeStream* stream : outgoingStreams()) {
        if (vanished.contains(stream->remote.ip) || !known.insert(stream).second) continue;
        connectedStreams.push_back(stream);
        completeConnect(*stream);
        for (const std::string& id : owedReleases[stream->remote.ip])
          deliver(*stream, R"({"type":"release","id":")" + id + R"(","fields":{},"cause":16})");
      }
      maxTrunks = std::max(maxTrunks, countTrunks());
    }
  }
  /// Open connections to exchanges.
  std::size_t countTrunks() { return outgoingStreams().size() - outgoingStreams(kBulletinAddress).size(); }
  std::size_t countReleases(const FakeStream& stream, const std::string& id) const {
    const auto releases = stream.sent(MessageKind::release);
    return static_cast<std::size_t>(
        std::count_if(releases.begin(), releases.end(), [&](const Message& message) { return message.id == id; }));
  }
  FakeStream& caller = acceptCaller();
  std::set<std::uint32_t> vanished;  // addresses
  std::set<FakeStream*> known;
  std::map<std::uint32_t, std::vector<std::string>> owedReleases;  // by address
  std::size_t maxTrunks = 0;
};

}  // namespace

// Guards against review/1: at the limit of all connections a vanished machine could not be checked, and the callers of
// its calls were told only when something else gave a connection free, if ever.
TEST_CASE("platform: a vanished machine is found while the softswitch holds all connections to exchanges it may") {
  CrowdedFixture fixture(20);
  FakeStream& caller = fixture.caller;
  fixture.establishCall(caller, kFirstId);
  fixture.vanished.insert(kExchangeAddress.ip);
  fixture.run(kReleaseTimeoutMs);
  CHECK(fixture.countReleases(caller, kFirstId) == 1);
  CHECK(fixture.maxTrunks >= 16);
  CHECK(fixture.maxTrunks <= 17 + 4);  // the share and the reserve
}

// Guards against the same at the limit of connections to one exchange.
TEST_CASE("platform: a vanished machine is found while it holds as many connections as one exchange may") {
  CrowdedFixture fixture(0, 256);
  FakeStream& caller = fixture.caller;
  for (int i = 0; i < 12; ++i) fixture.sendSetup(caller, numberedId(i));
  fixture.run(100);
  for (int i = 0; i < 12; ++i) {
    REQUIRE(fixture.invitedStream(numberedId(i)) != nullptr);
    fixture.sendAnswer(*fixture.invitedStream(numberedId(i)), numberedId(i));
  }
  CHECK(fixture.outgoingStreams(kExchangeAddress).size() == 12);
  fixture.vanished.insert(kExchangeAddress.ip);
  fixture.run(kReleaseTimeoutMs);
  for (int i = 0; i < 12; ++i) CHECK(fixture.countReleases(caller, numberedId(i)) == 1);
}

// Guards against calls at exchanges without a connection being forgotten where there are more exchanges than
// connections: neither their exchange's release nor its end could be noticed.
TEST_CASE("platform: with more exchanges than connections each call's end reaches its caller in time") {
  constexpr int kExchanges = 40;
  CrowdedFixture fixture(kExchanges);
  FakeStream& caller = fixture.caller;
  for (int i = 0; i < kExchanges; ++i) fixture.sendSetup(caller, numberedId(i), "dest:1;at:" + exchangeName(i));
  fixture.run(6000);  // a quiet time first
  for (int i = 0; i < kExchanges; ++i) CHECK(fixture.countReleases(caller, numberedId(i)) == 0);
  // Half of the exchanges release their call on the next connection that is opened; one in eight vanishes.
  for (int i = 0; i < kExchanges; ++i) {
    if (i % 2 == 0) fixture.owedReleases[addressOf(i).ip].push_back(numberedId(i));
    if (i % 8 == 1) fixture.vanished.insert(addressOf(i).ip);
  }
  fixture.run(kReleaseTimeoutMs);
  for (int i = 0; i < kExchanges; ++i) {
    CAPTURE(i);
    CHECK(fixture.countReleases(caller, numberedId(i)) == (i % 2 == 0 || i % 8 == 1 ? 1 : 0));
  }
  CHECK(fixture.maxTrunks <= 17 + 4);
}

// Guards against a caller's release of a call staying with the softswitch where no connection to its exchange is left.
TEST_CASE("platform: with more exchanges than connections a caller's release reaches the exchange") {
  constexpr int kExchanges = 40;
  CrowdedFixture fixture(kExchanges);
  FakeStream& caller = fixture.caller;
  for (int i = 0; i < kExchanges; ++i) fixture.sendSetup(caller, numberedId(i), "dest:1;at:" + exchangeName(i));
  for (int i = 0; i < kExchanges; ++i)
    fixture.deliver(caller, R"({"type":"release","id":")" + numberedId(i) + R"(","fields":{},"cause":16})");
  fixture.run(kReleaseTimeoutMs);
  for (int i = 0; i < kExchanges; ++i) {
    CAPTURE(i);
    std::size_t count = 0;
    for (const auto& stream : fixture.streams) {
      if (stream->remote == addressOf(i)) count += fixture.countReleases(*stream, numberedId(i));
    }
    CHECK(count == 1);
  }
}

// Guards against checks being impossible while every connection carries a set-up.
TEST_CASE("platform: a silent exchange is checked while every connection to exchanges carries a set-up") {
  CrowdedFixture fixture(20);
  FakeStream& caller = fixture.caller;
  fixture.establishCall(caller, kFirstId);
  fixture.vanished.insert(kExchangeAddress.ip);
  fixture.run(1000);
  // Set-ups that go unanswered, to every exchange that has a connection.
  for (int place = 1; place < 30; ++place)
    fixture.sendSetup(caller, numberedId(place), "dest:" + std::to_string(place) + ";width:1;via:-1");
  const std::size_t before = fixture.outgoingStreams(kExchangeAddress).size();
  fixture.run(700);
  CHECK(fixture.outgoingStreams(kExchangeAddress).size() > before);
  CHECK(fixture.countTrunks() > 17);
  // The reserve is given back with the next connection that is opened for calls.
  fixture.run(8000);
  for (int i = 0; i < 20; ++i) fixture.sendSetup(caller, numberedId(100 + i), "dest:1;at:" + exchangeName(i));
  fixture.run(3000);
  CHECK(fixture.countTrunks() <= 17);
}
