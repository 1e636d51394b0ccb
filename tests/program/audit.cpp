// The audit must be able to fail: a controller that breaks a rule in the module's place is named for it.

#include "fleet_fixture.hpp"

using namespace thistlefold;
using test::reckless;
using test::smallFleet;
using test::Telephone;
using test::Town;

namespace {

audit::Findings play(Town& town, const std::function<void(Telephone&)>& what) {
  town.open();
  Telephone phone(99);
  town.stage().place(day::kCallers, phone);
  town.note("begin");
  what(phone);
  town.run(12000);
  const audit::Findings findings = town.findings();
  town.stage().remove(day::kCallers);
  town.run(10);
  return findings;
}

void dial(Town& town, Telephone& phone, int office, const std::string& number) {
  phone.dial(town.now(), town.office(office), number);
  town.stage().nudge(day::kCallers);
}

}  // namespace

TEST_CASE("rule 1: a controller that answers nobody") {
  Town town(smallFleet(2, 10), reckless({false, true}), "rule1");
  const auto findings = play(town, [&](Telephone& phone) {
    iax2::Call* call = phone.dial(town.now(), town.office(0), "210001");
    town.stage().nudge(day::kCallers);
    town.run(3000);  // the caller's limit
    phone.endpoint().hangUp(town.now(), *call, iax2::Iax::HANGUP, {});
    town.stage().nudge(day::kCallers);
  });
  CHECK(findings.broken[1] == 1);
  CHECK(findings.unanswered == 1);
  CHECK_FALSE(findings.kept());
  REQUIRE(findings.breaches.size() == 1);
  CHECK(findings.breaches[0].text.find("office e1") != std::string::npos);
}

TEST_CASE("rule 2: a controller with two INVITEs out") {
  Town town(smallFleet(2, 10), reckless({true, false}), "rule2");
  const auto findings = play(town, [&](Telephone& phone) { dial(town, phone, 0, "210001"); });
  CHECK(findings.broken[2] >= 1);
  REQUIRE_FALSE(findings.breaches.empty());
  CHECK(findings.breaches[0].rule == 2);
  CHECK(findings.breaches[0].session != 0);
  CHECK(findings.breaches[0].atMs < 100);
}

TEST_CASE("rule 3: a controller that sends to a drained exchange") {
  Town town(smallFleet(2, 10), reckless(), "rule3");
  const auto findings = play(town, [&](Telephone& phone) {
    town.learns(1, Readiness::draining, town.at(1).mark());
    town.run(400);  // within the grace
    dial(town, phone, 0, "210001");
    town.run(1000);
    dial(town, phone, 0, "210002");
  });
  CHECK(findings.broken[3] > 0);
  CHECK(findings.breaches[0].rule == 3);
  CHECK(findings.breaches[0].atMs > 500);
}

TEST_CASE("rule 4: a controller that rushes a cold exchange") {
  Town town(smallFleet(2, 300), reckless(), "rule4");
  const auto findings = play(town, [&](Telephone& phone) {
    town.exchange(1, false);
    // 100 set-ups a second when warm, a third of that now: 150 within a second are more than three times as many.
    for (int i = 0; i < 170; ++i) {
      dial(town, phone, 0, "21" + std::to_string(1000 + i));
      town.run(5);
    }
  });
  CHECK(findings.broken[4] > 0);
  CHECK(findings.nearestToCold > 1);
  CHECK(town.at(1).fallen());
}

TEST_CASE("rule 5: a controller that does not await the release") {
  Town town(smallFleet(2, 10), reckless(), "rule5");
  const auto findings = play(town, [&](Telephone& phone) {
    town.at(1).hang(town.now(), true);  // INVITEs time out after 400 ms and are sent again at once
    dial(town, phone, 0, "210001");
  });
  CHECK(findings.broken[5] > 0);
  CHECK(findings.breaches[0].rule == 5);
  CHECK(findings.breaches[0].text.find("again 0 ms") != std::string::npos);
}

TEST_CASE("a capture reads back what was written, and a torn one is named") {
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
      CHECK(packet.from == capture::kScript);
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
