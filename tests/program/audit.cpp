// The audit must be able to fail: for each rule, a controller that violates it is detected.

#include "fleet_fixture.hpp"

using namespace thistlefold;
using test::FleetFixture;
using test::rogueController;
using test::smallFleet;
using test::TestPhone;

namespace {

audit::Findings playAndAudit(FleetFixture& fixture, const std::function<void(TestPhone&)>& script) {
  fixture.start();
  TestPhone phone(99);
  fixture.testbed().attach(day::kCallersIdentity, phone);
  fixture.note("begin");
  script(phone);
  fixture.run(12000);
  audit::Findings findings = fixture.findings();
  fixture.testbed().detach(day::kCallersIdentity);
  fixture.run(10);
  return findings;
}

void dial(FleetFixture& fixture, TestPhone& phone, int office, const std::string& number) {
  phone.dial(fixture.now(), fixture.office(office), number);
  fixture.testbed().wakeUp(day::kCallersIdentity);
}

}  // namespace

TEST_CASE("rule 1: a controller that gives no final answer") {
  FleetFixture fixture(smallFleet(2, 10), rogueController({false, true}), "rule1");
  const auto findings = playAndAudit(fixture, [&](TestPhone& phone) {
    iax2::Call* call = phone.dial(fixture.now(), fixture.office(0), "210001");
    fixture.testbed().wakeUp(day::kCallersIdentity);
    fixture.run(3000);  // the caller's limit
    phone.endpoint().hangUp(fixture.now(), *call, iax2::Iax::HANGUP, {});
    fixture.testbed().wakeUp(day::kCallersIdentity);
  });
  CHECK(findings.violationCounts[1] == 1);
  CHECK(findings.unanswered == 1);
  CHECK_FALSE(findings.passed());
  REQUIRE(findings.violations.size() == 1);
  CHECK(findings.violations[0].text.find("office e1") != std::string::npos);
}

TEST_CASE("rule 2: a controller with two INVITEs pending") {
  FleetFixture fixture(smallFleet(2, 10), rogueController({true, false}), "rule2");
  const auto findings = playAndAudit(fixture, [&](TestPhone& phone) { dial(fixture, phone, 0, "210001"); });
  CHECK(findings.violationCounts[2] >= 1);
  REQUIRE_FALSE(findings.violations.empty());
  CHECK(findings.violations[0].rule == 2);
  CHECK(findings.violations[0].session != 0);
  CHECK(findings.violations[0].atMs < 100);
}

TEST_CASE("rule 3: a controller that sends to a drained exchange") {
  FleetFixture fixture(smallFleet(2, 10), rogueController(), "rule3");
  const auto findings = playAndAudit(fixture, [&](TestPhone& phone) {
    fixture.setListedReadiness(1, Readiness::draining, fixture.exchange(1).incarnation());
    fixture.run(400);  // within the grace
    dial(fixture, phone, 0, "210001");
    fixture.run(1000);
    dial(fixture, phone, 0, "210002");
  });
  CHECK(findings.violationCounts[3] > 0);
  CHECK(findings.violations[0].rule == 3);
  CHECK(findings.violations[0].atMs > 500);
}

TEST_CASE("rule 4: a controller that overloads a cold exchange") {
  FleetFixture fixture(smallFleet(2, 300), rogueController(), "rule4");
  const auto findings = playAndAudit(fixture, [&](TestPhone& phone) {
    fixture.startExchange(1, false);
    // The exchange sets up 100 sessions a second when warm and 30% of that when cold: at 200 a second it is sent more
    // than three times what it can set up.
    for (int i = 0; i < 170; ++i) {
      dial(fixture, phone, 0, "21" + std::to_string(1000 + i));
      fixture.run(5);
    }
  });
  CHECK(findings.violationCounts[4] > 0);
  CHECK(findings.peakColdLoad > 1);
  CHECK(fixture.exchange(1).hasCollapsed());
}

TEST_CASE("rule 5: a controller that does not await the release") {
  FleetFixture fixture(smallFleet(2, 10), rogueController(), "rule5");
  const auto findings = playAndAudit(fixture, [&](TestPhone& phone) {
    fixture.exchange(1).setHung(fixture.now(), true);  // INVITEs time out after 400 ms and are repeated at once
    dial(fixture, phone, 0, "210001");
  });
  CHECK(findings.violationCounts[5] > 0);
  CHECK(findings.violations[0].rule == 5);
  CHECK(findings.violations[0].text.find("again 0 ms") != std::string::npos);
}

TEST_CASE("a capture reads back what was written, and a truncated one is reported") {
  const auto path =
      (std::filesystem::temp_directory_path() / ("thistlefold-cap-" + std::to_string(::getpid()))).string();
  const std::vector<std::uint8_t> payload{1, 2, 3, 4, 5};
  {
    capture::Writer writer(path);
    writer.write({Instant::ms(12.5), true, {0x7f010001, 4569}, {0x7f010002, 4570}, payload});
    writer.note(Instant::ms(13), "kill e1");
    writer.close();
  }
  int packets = 0;
  capture::read(path, [&](const capture::Packet& packet) {
    if (++packets == 1) {
      CHECK(packet.delivered);
      CHECK(packet.at == Instant::ms(12.5));
      CHECK(iax2::text(packet.from) == "127.1.0.1:4569");
      CHECK(packet.to.port == 4570);
      CHECK(std::vector<std::uint8_t>(packet.payload.begin(), packet.payload.end()) == payload);
    } else {
      CHECK(packet.from == capture::kScriptAddress);
    }
  });
  CHECK(packets == 2);
  std::filesystem::resize_file(path, std::filesystem::file_size(path) - 3);
  CHECK_THROWS_WITH_AS(capture::read(path, [](const capture::Packet&) {}), doctest::Contains("cut short"),
                       std::runtime_error);
  std::filesystem::resize_file(path, 0);
  CHECK_THROWS_AS(capture::read(path, [](const capture::Packet&) {}), std::runtime_error);
  std::filesystem::remove(path);
}
