// The session engine against simulated exchanges, directory and callers on the virtual network. Each test causes one of
// the failures that the engine has to handle.

#include "fleet_fixture.hpp"

using namespace thistlefold;
using test::FleetFixture;
using test::smallFleet;
using test::TestPhone;

namespace {

/// A phone at the callers' address, which makes the testbed run it after each action.
struct CallingPhone {
  explicit CallingPhone(FleetFixture& of) : fixture(of) { fixture.testbed().attach(day::kCallersIdentity, phone); }
  iax2::Call* dial(int office, const std::string& number, Span limit = Span::ms(3000)) {
    iax2::Call* call = phone.dial(fixture.now(), fixture.office(office), number, limit);
    fixture.testbed().wakeUp(day::kCallersIdentity);
    return call;
  }
  void hangUp(iax2::Call& call) {
    phone.endpoint().hangUp(fixture.now(), call, iax2::Iax::HANGUP, {});
    fixture.testbed().wakeUp(day::kCallersIdentity);
  }
  FleetFixture& fixture;
  TestPhone phone{99};
};

/// Checks that no office has a session or leg, and that all circuits of all groups are free.
void checkNothingHeld(FleetFixture& fixture, int circuits) {
  const int places = static_cast<int>(fixture.testbed().fleet().places.size());
  for (int i = 0; i < places; ++i) {
    CHECK(fixture.statusField(i, "sessions") == 0);
    CHECK(fixture.statusField(i, "legs") == 0);
    for (int j = 0; j < places; ++j) {
      if (i != j) CHECK(fixture.freeCircuits(i, j) == circuits);
    }
  }
}

}  // namespace

TEST_CASE("a session is established, uses its circuits at both ends, and frees them when it ends") {
  FleetFixture fixture(smallFleet(2, 10));
  fixture.start();
  CallingPhone callers(fixture);
  iax2::Call* call = callers.dial(0, "210001");
  fixture.run(200);
  CHECK(callers.phone.count("ANSWER") == 1);
  CHECK(fixture.freeCircuits(0, 1) == 9);
  CHECK(fixture.freeCircuits(1, 0) == 9);
  CHECK(fixture.exchange(1).establishedSessions() == 1);
  callers.hangUp(*call);
  fixture.run(300);
  checkNothingHeld(fixture, 10);
  CHECK(fixture.exchange(1).establishedSessions() == 0);
  const auto findings = fixture.findings();
  CHECK(findings.passed());
  CHECK(findings.established == 1);
}

TEST_CASE("unknown numbers and services are rejected once, each with its own cause") {
  FleetFixture fixture(smallFleet(2, 10));
  fixture.start();
  CallingPhone callers(fixture);
  callers.dial(0, "990001");
  fixture.run(100);
  CHECK(callers.phone.count("REJECT") == 1);
  CHECK(callers.phone.lastCause == 3);
  callers.phone.dial(fixture.now(), fixture.office(0), "210001", Span::ms(3000), "no-such-service");
  fixture.testbed().wakeUp(day::kCallersIdentity);
  fixture.run(100);
  CHECK(callers.phone.count("REJECT") == 2);
  CHECK(fixture.findings().passed());
}

TEST_CASE("sessions to an exchange that accepts set-ups and answers none get one negative answer each in time") {
  FleetFixture fixture(smallFleet(2, 10));
  fixture.start();
  fixture.exchange(1).setHung(fixture.now(), true);
  CallingPhone callers(fixture);
  for (int i = 0; i < 5; ++i) callers.dial(0, "21000" + std::to_string(i));
  fixture.run(3500);
  CHECK(callers.phone.finalResponses() == 5);
  CHECK(callers.phone.count("ANSWER") == 0);
  fixture.run(8000);
  checkNothingHeld(fixture, 10);
  const auto findings = fixture.findings();
  CHECK(findings.passed());
  CHECK(findings.unanswered == 0);
}

TEST_CASE("an ANSWER that crosses the HANGUP of a timeout establishes no session and leaves nothing behind") {
  FleetFixture fixture(smallFleet(2, 10));
  fixture.start();
  // The exchange answers after some 20 ms. Its answer is delayed until just after the office has given up.
  fixture.impairBetweenOffices([](int from, int to, const iax2::Frame& frame) {
    const bool late = from == 1 && to == 0 && frame.is(iax2::Control::answer);
    return std::vector<Span>{late ? Span::ms(1985) : Span::ms(5)};
  });
  CallingPhone callers(fixture);
  callers.dial(0, "210001");
  fixture.run(9000);
  CHECK(callers.phone.count("ANSWER") == 0);
  CHECK(callers.phone.finalResponses() == 1);
  CHECK(fixture.statusField(0, "timed_out") == 1);
  CHECK(fixture.exchange(1).counters().established == 1);
  CHECK(fixture.exchange(1).establishedSessions() == 0);
  checkNothingHeld(fixture, 10);
  CHECK(fixture.findings().passed());
}

TEST_CASE("glare on the last circuit: one session is established, one is turned back, and both counts agree") {
  FleetFixture fixture(smallFleet(2, 1));
  fixture.start();
  CallingPhone callers(fixture);
  iax2::Call* a = callers.dial(0, "210001");
  iax2::Call* b = callers.dial(1, "200001");
  fixture.run(400);
  CHECK(callers.phone.count("ANSWER") == 1);
  CHECK(fixture.exchange(1).establishedSessions() ==
        1);  // the lower place is the controlling end and keeps its session
  CHECK(fixture.exchange(0).establishedSessions() == 0);
  CHECK(fixture.freeCircuits(0, 1) == 0);
  CHECK(fixture.freeCircuits(1, 0) == 0);
  callers.hangUp(*a);
  fixture.run(3000);
  (void)b;
  checkNothingHeld(fixture, 1);
  CHECK(fixture.findings().passed());
}

TEST_CASE("the counts of both ends of a trunk group under glare and resizing") {
  TrunkGroup low(4, true), high(4, false);
  REQUIRE(low.seizeOutgoing(3));
  REQUIRE(high.seizeOutgoing(2));
  CHECK_FALSE(low.seizeIncoming(2));  // the controlling end turns the session back
  CHECK(high.seizeIncoming(3));       // the other end accepts up to its unconfirmed circuits
  high.confirmOutgoing(2);            // its own session was turned back
  high.release(2);
  CHECK(low.free() == 1);
  CHECK(high.free() == 1);
  CHECK(high.glares() == 1);
  CHECK_FALSE(high.seizeIncoming(2));  // nothing is unconfirmed, so there is no glare and no circuit
  high.resize(2);
  CHECK(high.excess() == 1);
  CHECK(high.free() == 0);
  CHECK_FALSE(high.seizeOutgoing(1));
}

TEST_CASE("an office paused beyond the drain grace sends nothing to the draining exchange when it resumes") {
  FleetFixture fixture(smallFleet(3, 10));
  fixture.start();
  CallingPhone callers(fixture);
  fixture.freeze(0, true);
  fixture.run(100);
  for (int i = 0; i < 4; ++i) callers.dial(0, "21000" + std::to_string(i), Span::ms(9000));
  fixture.run(100);
  fixture.setListedReadiness(1, Readiness::draining, fixture.exchange(1).incarnation());
  fixture.run(1500);  // three times the drain grace
  fixture.freeze(0, false);
  fixture.run(400);
  CHECK(callers.phone.count("ANSWER") == 0);
  CHECK(callers.phone.finalResponses() == 4);
  CHECK(fixture.exchange(1).counters().setUps == 0);
  const auto findings = fixture.findings();
  CHECK(findings.passed());
  CHECK(findings.invites == 0);
}

TEST_CASE("after a reset no INVITE is sent within the release time, and one is sent after it") {
  FleetFixture fixture(smallFleet(2, 10));
  fixture.start();
  // The processor is replaced while an INVITE to it is pending, which is reset.
  fixture.exchange(1).setHung(fixture.now(), true);
  CallingPhone callers(fixture);
  callers.dial(0, "210001");
  fixture.run(400);
  fixture.startExchange(1, true);
  fixture.run(100);
  CHECK(fixture.statusField(0, "invites") == 1);
  fixture.run(1400);
  CHECK(callers.phone.count("ANSWER") == 1);
  CHECK(fixture.statusField(0, "reset") == 1);
  CHECK(fixture.statusField(0, "invites") == 2);
  const auto findings = fixture.findings();
  CHECK(findings.passed());
}

TEST_CASE("without a directory from the start every session is rejected at once") {
  FleetFixture fixture(smallFleet(2, 10));
  fixture.start(false);
  CallingPhone callers(fixture);
  for (int i = 0; i < 3; ++i) callers.dial(0, "21000" + std::to_string(i));
  fixture.run(100);
  CHECK(callers.phone.count("REJECT") == 3);
  CHECK(fixture.findings().passed());
}

TEST_CASE("after an office with established sessions is killed and restarted all circuit counts agree") {
  FleetFixture fixture(smallFleet(3, 10));
  fixture.start();
  CallingPhone callers(fixture);
  for (int i = 0; i < 4; ++i) callers.dial(0, "21000" + std::to_string(i));
  for (int i = 0; i < 3; ++i) callers.dial(1, "20000" + std::to_string(i));
  fixture.run(500);
  CHECK(callers.phone.count("ANSWER") == 7);
  fixture.note("kill e1");
  fixture.testbed().killOffice(0);
  fixture.run(700);
  fixture.note("start e1");
  fixture.testbed().startOffice(0, 70);
  fixture.run(3000);
  CHECK(fixture.freeCircuits(1, 0) == 10);
  CHECK(fixture.freeCircuits(0, 1) == 10);
  CHECK(fixture.statusField(1, "cut") == 3);
  callers.dial(0, "210009");
  fixture.run(500);
  CHECK(callers.phone.count("ANSWER") == 8);
  CHECK(fixture.findings().passed());
}

TEST_CASE(
    "sessions over a silent peer are dropped and their circuits freed, and the peer is used again when it recovers") {
  FleetFixture fixture(smallFleet(2, 10));
  fixture.start();
  CallingPhone callers(fixture);
  callers.dial(0, "210001");
  fixture.run(500);
  REQUIRE(callers.phone.count("ANSWER") == 1);
  bool isDisconnected = true;
  fixture.impairBetweenOffices([&](int, int, const iax2::Frame&) {
    return isDisconnected ? std::vector<Span>() : std::vector<Span>{Span::ms(5)};
  });
  fixture.run(9000);
  CHECK(callers.phone.count("HANGUP") == 1);
  CHECK(fixture.statusField(0, "cut") == 1);
  fixture.run(9000);
  checkNothingHeld(fixture, 10);
  isDisconnected = false;
  fixture.run(2500);
  callers.dial(0, "210002");
  fixture.run(3000);
  CHECK(callers.phone.count("ANSWER") == 2);
  CHECK(fixture.findings().passed());
}

TEST_CASE("a two-leg session, a lost leg behind the tandem, and a turn-back") {
  Fleet fleet = smallFleet(3, 10);
  fleet.groups = {{0, 1, 10}, {1, 2, 10}};  // no group between the first and the third office
  FleetFixture fixture(fleet);
  fixture.start();
  CallingPhone callers(fixture);
  iax2::Call* call = callers.dial(0, "220001");
  fixture.run(500);
  CHECK(callers.phone.count("ANSWER") == 1);
  CHECK(fixture.statusField(0, "two_leg") == 1);
  CHECK(fixture.statusField(1, "transit") == 1);
  CHECK(fixture.freeCircuits(1, 0) == 9);
  CHECK(fixture.freeCircuits(1, 2) == 9);
  callers.hangUp(*call);
  fixture.run(1000);
  CHECK(fixture.freeCircuits(1, 2) == 10);
  // The tandem loses its group to the destination: it drops the sessions on it and turns new ones back.
  callers.dial(0, "220002");
  fixture.run(500);
  CHECK(callers.phone.count("ANSWER") == 2);
  fixture.directory().setGroupSize(fixture.now(), {1, 2, 0});
  fixture.testbed().wakeUp(day::kDirectoryIdentity);
  fixture.run(500);
  CHECK(callers.phone.count("HANGUP") == 1);
  callers.dial(0, "220003");
  fixture.run(3000);
  CHECK(callers.phone.count("ANSWER") == 2);
  CHECK(fixture.statusField(0, "turned_back") >= 1);
  CHECK(fixture.findings().passed());
}

TEST_CASE(
    "stopping: new calls are not accepted, each session gets one final answer, and all is released within two "
    "seconds") {
  FleetFixture fixture(smallFleet(2, 10));
  fixture.start();
  fixture.exchange(1).setHung(fixture.now(), true);
  CallingPhone callers(fixture);
  for (int i = 0; i < 3; ++i) callers.dial(0, "21000" + std::to_string(i));
  iax2::Call* established = callers.dial(1, "200001");
  (void)established;
  fixture.run(300);
  CHECK(callers.phone.count("ANSWER") == 1);
  fixture.testbed().stopOffice(0);
  fixture.run(100);
  CHECK(callers.phone.finalResponses() ==
        1 + 3 + 1);  // the answer, three rejections, the end of the established session
  callers.dial(0, "210009");
  fixture.run(1900);
  CHECK(callers.phone.count("REJECT") == 1);
  CHECK(fixture.statusField(0, "sessions") == 0);
  CHECK(fixture.statusField(0, "legs") == 0);
  CHECK(fixture.freeCircuits(1, 0) == 10);
  CHECK(fixture.findings().passed());
}

TEST_CASE("sessions beyond the limit are rejected at once and counted") {
  Fleet fleet = smallFleet(2, 10);
  OfficeOptions options;
  options.maxSessions = 2;
  Office office(fleet, options, Instant::ms(1000));
  TestPhone phone(4);
  const iax2::Address at{1, 1}, from{2, 2};
  std::vector<std::vector<std::uint8_t>> toPhone;
  // Three callers in one round. Without a directory all are rejected, the third because of the limit.
  for (int i = 0; i < 3; ++i) phone.dial(Instant::ms(1000), at, "21000" + std::to_string(i));
  phone.process(Instant::ms(1000), [&](iax2::Address, std::span<const std::uint8_t> bytes) {
    office.receive(Instant::ms(1000), from, bytes);
  });
  office.process(Instant::ms(1000), [&](iax2::Address to, std::span<const std::uint8_t> bytes) {
    if (to == from) toPhone.emplace_back(bytes.begin(), bytes.end());
  });
  for (const auto& bytes : toPhone) phone.receive(Instant::ms(1001), at, bytes);
  CHECK(phone.count("REJECT") == 3);
  CHECK(office.counters().overSessionLimit == 1);
  CHECK(office.sessions() == 0);
}

TEST_CASE("lists are accepted whole or not at all, and older ones are ignored") {
  ExchangeList list{
      5, 2, true, {{0, Readiness::ready, 1, Span::ms(10)}, {1, Readiness::draining, 2, Span::ms(20)}}, {{0, 1, 4}}};
  const std::string text = encode(list);
  const auto bytes = [](const std::string& from) {
    return std::span(reinterpret_cast<const std::uint8_t*>(from.data()), from.size());
  };
  const auto back = decodeList(bytes(text));
  REQUIRE(back);
  CHECK(encode(*back) == text);
  // Only the final line feed may be missing; a list truncated further must not be accepted in part.
  for (std::size_t i = 0; i + 2 < text.size(); ++i) {
    const std::string part = text.substr(0, i);
    const auto read = decodeList(bytes(part));
    if (read) CHECK(read->entries.size() == 2);
  }
  Fleet fleet = smallFleet(2, 10);
  fleet.directory = {9, 9};
  Office office(fleet, OfficeOptions(), Instant::ms(1000));
  const auto receiveList = [&](const ExchangeList& one) {
    office.receive(Instant::ms(1000), fleet.directory, bytes(encode(one)));
  };
  receiveList(list);
  CHECK(office.listedReadiness(1) == Readiness::draining);
  list.version = 1;
  list.entries[1].readiness = Readiness::ready;
  receiveList(list);
  CHECK(office.listedReadiness(1) == Readiness::draining);
  CHECK(office.counters().staleLists == 1);
  list.directoryIncarnation = 6;
  receiveList(list);
  CHECK(office.listedReadiness(1) == Readiness::ready);
  CHECK(office.trunkGroup(1)->size() == 4);
}

TEST_CASE("a delayed PONG of an office's former incarnation does not harm sessions with the new one") {
  FleetFixture fixture(smallFleet(2, 10));
  fixture.start();
  CallingPhone callers(fixture);
  bool isFormerIncarnation = true;
  fixture.impairBetweenOffices([&](int from, int to, const iax2::Frame& frame) {
    const bool isPong = from == 1 && to == 0 && frame.is(iax2::Iax::PONG);
    // The PONG is duplicated, and the second copy arrives four seconds later.
    return isPong && isFormerIncarnation ? std::vector<Span>{Span::ms(5), Span::ms(4000)}
                                         : std::vector<Span>{Span::ms(5)};
  });
  fixture.run(2000);
  isFormerIncarnation = false;
  fixture.note("kill e2");
  fixture.testbed().killOffice(1);
  fixture.run(300);
  fixture.note("start e2");
  fixture.testbed().startOffice(1, 70);
  fixture.run(1500);
  for (int i = 0; i < 3; ++i) callers.dial(0, "21000" + std::to_string(i));
  fixture.run(300);
  REQUIRE(callers.phone.count("ANSWER") == 3);
  fixture.run(6000);
  CHECK(callers.phone.count("HANGUP") == 0);
  CHECK(fixture.statusField(0, "cut") == 0);
  CHECK(fixture.findings().passed());
}

TEST_CASE("an office does not pass on the capacity of a processor that has been replaced or is gone") {
  FleetFixture fixture(smallFleet(2, 10));
  fixture.start();
  CallingPhone callers(fixture);
  bool areListsLost = false;
  int refusedWithCapacity = 0, refused = 0;
  fixture.impairment = [&](iax2::Address from, iax2::Address to, std::vector<std::uint8_t>& bytes) {
    iax2::Frame frame;
    const bool read = iax2::decode(bytes, frame) == iax2::DecodeResult::full;
    // Lists to the first office are lost, so that it goes on sending to the draining exchange.
    if (areListsLost && from == day::kDirectoryIdentity && to == day::officeIdentity(0)) return std::vector<Span>();
    if (areListsLost && read && from == day::officeIdentity(1) && to == day::officeIdentity(0) &&
        frame.is(iax2::Iax::REJECT)) {
      ++refused;
      refusedWithCapacity += frame.elements.capacityPer1000s.has_value();
    }
    return std::vector<Span>{Span::ms(5)};
  };
  areListsLost = true;
  // The processor is replaced by one that hangs from the start: it answers POKEs but reports no capacity.
  fixture.startExchange(1, false).setHung(fixture.now(), true);
  fixture.setListedReadiness(1, Readiness::draining, fixture.exchange(1).incarnation());
  fixture.run(350);
  callers.dial(0, "210001");
  fixture.run(100);
  REQUIRE(refused == 1);
  CHECK(refusedWithCapacity == 0);
}

TEST_CASE("a replacement directory whose clock is behind is accepted once the former one has been silent long enough") {
  Fleet fleet = smallFleet(2, 10);
  fleet.directory = {9, 9};
  Office office(fleet, OfficeOptions(), Instant::ms(1000));
  const auto receiveList = [&](double at, std::uint64_t directory, std::uint64_t version, Readiness readiness) {
    const std::string text = encode(ExchangeList{
        directory, version, true, {{0, Readiness::ready, 1, Span::ms(10)}, {1, readiness, 2, Span::ms(20)}}, {}});
    office.receive(Instant::ms(at), fleet.directory,
                   std::span(reinterpret_cast<const std::uint8_t*>(text.data()), text.size()));
  };
  receiveList(1000, 50, 7, Readiness::ready);
  receiveList(2000, 40, 1, Readiness::draining);  // may be a delayed list: the newer directory sent one a second ago
  CHECK(office.listedReadiness(1) == Readiness::ready);
  receiveList(9000, 50, 8, Readiness::ready);
  receiveList(18000, 40, 18, Readiness::draining);
  CHECK(office.listedReadiness(1) == Readiness::ready);
  receiveList(19001, 40, 19, Readiness::draining);
  CHECK(office.listedReadiness(1) == Readiness::draining);
  receiveList(19500, 40, 18, Readiness::ready);  // versions of the same directory stay in order
  CHECK(office.listedReadiness(1) == Readiness::draining);
  CHECK(office.counters().staleLists == 3);
}

TEST_CASE("of 300 RINGING frames one is passed on to the caller, and so is the ANSWER after them") {
  FleetFixture fixture(smallFleet(2, 10));
  fixture.start();
  TestPhone ringingPhone(3);
  fixture.testbed().detach(day::processorIdentity(1));
  fixture.run(5);
  fixture.testbed().attach(day::processorIdentity(1), ringingPhone);
  CallingPhone callers(fixture);
  callers.dial(0, "210001");
  fixture.run(100);
  REQUIRE(ringingPhone.incomingCalls.size() == 1);
  ringingPhone.endpoint().send(fixture.now(), *ringingPhone.incomingCalls[0], iax2::Iax::ACCEPT);
  for (int i = 0; i < 300; ++i) {
    ringingPhone.endpoint().send(fixture.now(), *ringingPhone.incomingCalls[0], iax2::Control::ringing);
    if (i % 50 == 49) {
      fixture.testbed().wakeUp(day::processorIdentity(1));
      fixture.run(15);  // all are acknowledged before the next 50
    }
  }
  ringingPhone.endpoint().send(fixture.now(), *ringingPhone.incomingCalls[0], iax2::Control::answer);
  fixture.testbed().wakeUp(day::processorIdentity(1));
  fixture.run(100);
  CHECK(callers.phone.count("RINGING") == 1);
  CHECK(callers.phone.count("ANSWER") == 1);
  fixture.testbed().detach(day::processorIdentity(1));
  fixture.run(10);
}

TEST_CASE("PONGs that wait in a paused office do not reset calls that were opened since") {
  FleetFixture fixture(smallFleet(2, 10));
  fixture.start();
  CallingPhone callers(fixture);
  // The other office answers, is killed and restarted while this one is paused. When this one resumes, PONGs of both
  // incarnations and a NEW are waiting.
  bool isPongDelayed = true, isPoked = false;
  fixture.impairBetweenOffices([&](int from, int to, const iax2::Frame& frame) {
    isPoked = isPoked || (from == 0 && to == 1 && frame.is(iax2::Iax::POKE));
    const bool isPong = from == 1 && to == 0 && frame.is(iax2::Iax::PONG);
    return std::vector<Span>{Span::ms(isPong && isPongDelayed ? 400 : 5)};
  });
  for (int i = 0; i < 1500 && !isPoked; ++i) fixture.run(1);
  REQUIRE(isPoked);
  fixture.run(100);
  isPongDelayed = false;
  fixture.freeze(0, true);
  fixture.note("kill e2");
  fixture.testbed().killOffice(1);
  fixture.run(50);
  fixture.note("start e2");
  fixture.testbed().startOffice(1, 70);
  fixture.run(800);
  callers.dial(0, "210001");
  fixture.run(700);
  fixture.freeze(0, false);
  fixture.run(4000);
  CHECK(callers.phone.count("ANSWER") == 1);
  CHECK(fixture.statusField(0, "invites") == 1);
  CHECK(fixture.statusField(0, "reset") == 0);
  CHECK(fixture.findings().passed());
}

TEST_CASE("delayed copies of a peer's last PONG neither hide its silence nor end it") {
  FleetFixture fixture(smallFleet(2, 10));
  fixture.start();
  CallingPhone callers(fixture);
  bool isDisconnected = false;
  fixture.impairBetweenOffices([&](int from, int, const iax2::Frame& frame) {
    if (isDisconnected) return std::vector<Span>();
    const bool isPong = from == 1 && frame.is(iax2::Iax::PONG);
    return isPong ? std::vector<Span>{Span::ms(5), Span::ms(5500), Span::ms(9000)} : std::vector<Span>{Span::ms(5)};
  });
  callers.dial(0, "210001");
  fixture.run(1500);
  REQUIRE(callers.phone.count("ANSWER") == 1);
  isDisconnected = true;
  const auto isPeerSilent = [&] {
    return boost::json::parse(fixture.testbed().query(0, "thistlefold status 1\n").value())
        .at("exchanges")
        .at(1)
        .at("silent")
        .as_bool();
  };
  // The peer counts as silent 6 s after the last POKE that was answered, checked at the next POKE.
  fixture.run(7200);
  CHECK(isPeerSilent());
  CHECK(fixture.statusField(0, "cut") == 1);
  fixture.run(2500);
  CHECK(isPeerSilent());
}
