#include <boost/asio/steady_timer.hpp>
#include <cmath>
#include <fstream>
#include <iostream>

#include "command/commands.hpp"
#include "command/host.hpp"
#include "day/script.hpp"
#include "settings/files.hpp"
#include "simulators/callers.hpp"
#include "simulators/directory.hpp"
#include "simulators/exchange.hpp"

namespace thistlefold::command {
namespace {

namespace asio = boost::asio;

/// Runs until a signal, or for so long where `seconds` is above zero.
void run(Host& host, DatagramHandler& station, double seconds) {
  asio::signal_set ends(host.context(), SIGTERM, SIGINT);
  ends.async_wait([&](const boost::system::error_code& error, int) {
    if (!error) host.stop();
  });
  asio::steady_timer end(host.context());
  if (seconds > 0) {
    end.expires_after(std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000)));
    end.async_wait([&](const boost::system::error_code& error) {
      if (!error) host.stop();
    });
  }
  std::cout << "listening " << text(host.port().address()) << std::endl;
  host.run(station);
}

int placeOf(const Fleet& fleet, const std::string& name) {
  const int place = fleet.place(name);
  if (place < 0) throw settings::SettingsError("no exchange '" + name + "' in this fleet");
  return place;
}

template <typename Body>
void guarded(int& status, Body body) {
  try {
    status = body();
  } catch (const settings::SettingsError& wrong) {
    std::cerr << wrong.what() << '\n';
    status = 1;
  }
}

int exchange(const std::string& fleetPath, const std::string& name, bool cold, double seconds) {
  const Fleet fleet = settings::openFleet(fleetPath);
  const Place& place = fleet.places[static_cast<std::size_t>(placeOf(fleet, name))];
  ProcessorModel model;
  model.setUpWork = 1000 / place.setUpsASecond;
  model.followWork = 0.35 * model.setUpWork;
  model.turnAwayWork = 0.2 * model.setUpWork;
  model.coldCapacityShare = fleet.data.coldCapacityShare;
  model.warmUpTime = fleet.data.warmUpTime;
  model.overloadFactor = fleet.data.overloadFactor;
  model.overloadWindow = fleet.data.overloadWindow;
  Host host(place.processor);
  SimulatedExchange station(model, 1, host.clock().now(), !cold);
  run(host, station, seconds);
  const auto& counters = station.counters();
  std::cout << "set-ups " << counters.setUps << ", stood " << counters.stood << ", turned away " << counters.turnedAway
            << ", dropped " << counters.dropped << (station.fallen() ? ", pushed over" : "") << '\n';
  return 0;
}

int directory(const std::string& fleetPath, const std::string& statesPath, double seconds) {
  const Fleet fleet = settings::openFleet(fleetPath);
  std::vector<iax2::Address> offices;
  for (const Place& place : fleet.places) offices.push_back(place.office);
  Host host(fleet.directory);
  SimulatedDirectory station(fleet.data.mustSubscribe ? std::vector<iax2::Address>() : offices, fleet.places.size(),
                             host.clock().now());
  // (states (NAME ready|draining|gone) ...), read again at SIGHUP.
  asio::signal_set again(host.context(), SIGHUP);
  std::vector<std::uint64_t> marks(fleet.places.size(), 1);
  std::vector<Readiness> states(fleet.places.size(), Readiness::ready);
  const auto load = [&] {
    if (statesPath.empty()) return;
    const settings::Document document = settings::Document::open(statesPath);
    std::vector<std::pair<std::size_t, Readiness>> read;
    for (const settings::Form& one : document.onlyForm("states").items) {
      if (!one.isList()) continue;
      if (one.items.size() != 2) one.fail("(NAME ready|draining|gone) is expected");
      const int place = fleet.place(one.items[0].value);
      if (place < 0) one.items[0].fail("no exchange '" + one.items[0].value + "' in the fleet");
      const std::string& state = one.items[1].value;
      if (state != "ready" && state != "draining" && state != "gone") {
        one.items[1].fail("ready, draining or gone is expected, not '" + state + "'");
      }
      read.emplace_back(static_cast<std::size_t>(place), state == "ready"      ? Readiness::ready
                                                         : state == "draining" ? Readiness::draining
                                                                               : Readiness::gone);
    }
    for (const auto& [place, state] : read) {
      if (states[place] != Readiness::ready && state == Readiness::ready) ++marks[place];
      states[place] = state;
      station.learns(host.clock().now(), static_cast<int>(place), state, marks[place], Span::none());
    }
  };
  load();
  std::function<void()> onHup = [&] {
    again.async_wait([&](const boost::system::error_code& error, int) {
      if (error) return;
      try {
        load();
        host.runner().wakeUp();
      } catch (const settings::SettingsError& wrong) {
        std::cerr << wrong.what() << "; the states stay as they were\n";
      }
      onHup();
    });
  };
  onHup();
  run(host, station, seconds);
  return 0;
}

int load(const std::string& fleetPath, const std::string& office, double rate, double seconds, double hold,
         std::uint64_t seed, bool json) {
  day::DayPlan plan;
  plan.fleet = settings::openFleet(fleetPath);
  const int only = office.empty() ? -1 : placeOf(plan.fleet, office);
  plan.seed = seed;
  plan.rate = rate;
  plan.length = Span::ms(seconds * 1000);
  plan.swing = 0;
  plan.shares.assign(plan.fleet.offeredServices.size(), 1);
  if (hold > 0) {
    for (Service& service : plan.fleet.data.services) service.meanHold = Span::ms(hold);
  }
  Host host({0x7f000001, 0});
  CallerBehaviour behaviour;
  behaviour.redials = 0;
  SimulatedCallers callers(plan.fleet, behaviour, seed, host.clock().now());
  std::vector<PlannedCall> dials = day::traffic(plan);
  const Instant begin = host.clock().now() + Span::ms(100);
  callers.begin(begin);
  for (PlannedCall& dial : dials) {
    dial.at = begin + (dial.at - Instant());
    if (only < 0) continue;
    if (plan.fleet.destination(dial.number) == only)
      dial.number =
          plan.fleet.places[static_cast<std::size_t>(dial.office)].numbers + dial.number.substr(dial.number.size() - 4);
    dial.office = only;
    if (plan.fleet.destination(dial.number) == only) {
      dial.number = plan.fleet.places[only == 0 ? 1 : 0].numbers + dial.number.substr(dial.number.size() - 4);
    }
  }
  callers.plan(std::move(dials));
  // Ends when the last session has: bounded by the longest hold and all tries.
  asio::steady_timer poll(host.context());
  const Instant latest = begin + plan.length + Span::ms(60000) + Span::ms(hold * 5);
  std::function<void()> untilOver = [&] {
    poll.expires_after(std::chrono::milliseconds(50));
    poll.async_wait([&](const boost::system::error_code& error) {
      if (error) return;
      if (callers.active() == 0 || host.clock().now() > latest) return host.stop();
      untilOver();
    });
  };
  untilOver();
  run(host, callers, 0);
  std::uint64_t offered = 0, stood = 0, late = 0, refused = 0, failed = 0, cut = 0;
  for (const auto& one : callers.served()) {
    offered += one.offered;
    stood += one.stood;
    late += one.late;
    refused += one.refused;
    failed += one.failed;
    cut += one.cut;
  }
  std::vector<float> delays = callers.delays();
  std::sort(delays.begin(), delays.end());
  const auto at = [&](double share) {
    return delays.empty()
               ? 0.0
               : static_cast<double>(delays[static_cast<std::size_t>(share * static_cast<double>(delays.size() - 1))]);
  };
  if (json) {
    std::cout << "{\"offered\":" << offered << ",\"stood\":" << stood << ",\"late\":" << late
              << ",\"refused\":" << refused << ",\"failed\":" << failed << ",\"cut\":" << cut
              << ",\"p50_ms\":" << at(0.5) << ",\"p99_ms\":" << at(0.99) << ",\"p999_ms\":" << at(0.999) << "}\n";
  } else {
    std::cout << "offered " << offered << ", stood " << stood << ", late " << late << ", refused " << refused
              << ", failed " << failed << ", cut " << cut << "\npost-dial delay p50 " << at(0.5) << " ms, p99 "
              << at(0.99) << " ms, p99.9 " << at(0.999) << " ms\n";
  }
  return failed == 0 && callers.active() == 0 ? 0 : 1;
}

}  // namespace

void addSimulators(CLI::App& app, int& status) {
  struct Wanted {
    std::string fleet, name, states;
    double seconds = 0, rate = 10, hold = 0;
    std::uint64_t seed = 1;
    bool cold = false, json = false;
  };
  auto wanted = std::make_shared<Wanted>();

  auto* one = app.add_subcommand("exchange", "Run a stand-in for an exchange: a processor with one line");
  one->add_option("FLEET", wanted->fleet, "the fleet file")->required();
  one->add_option("NAME", wanted->name, "which exchange")->required();
  one->add_flag("--cold", wanted->cold, "just started: does part of its work until it is warm");
  one->add_option("--for", wanted->seconds, "stop by itself after so many seconds");
  one->callback([=, &status] {
    guarded(status, [&] { return exchange(wanted->fleet, wanted->name, wanted->cold, wanted->seconds); });
  });

  auto* list =
      app.add_subcommand("directory", "Run a stand-in for the directory that tells offices which exchanges run");
  list->add_option("FLEET", wanted->fleet, "the fleet file")->required();
  list->add_option("--states", wanted->states, "a file (states (NAME ready|draining|gone) ...), read again at SIGHUP");
  list->add_option("--for", wanted->seconds, "stop by itself after so many seconds");
  list->callback(
      [=, &status] { guarded(status, [&] { return directory(wanted->fleet, wanted->states, wanted->seconds); }); });

  auto* many = app.add_subcommand("load", "Dial a running fleet as many callers do, and say how it went");
  many->add_option("FLEET", wanted->fleet, "the fleet file")->required();
  many->add_option("--office", wanted->name, "dial this office only");
  many->add_option("--rate", wanted->rate, "sessions a second")->check(CLI::Range(0.1, 20000.0))->capture_default_str();
  many->add_option("--for", wanted->seconds, "seconds")->check(CLI::Range(0.1, 3600.0))->required();
  many->add_option("--hold", wanted->hold, "mean hold in milliseconds, in place of the services'")
      ->check(CLI::Range(0.0, 1e6));
  many->add_option("--seed", wanted->seed, "start of the traffic's chance")->capture_default_str();
  many->add_flag("--json", wanted->json, "the result as JSON");
  many->callback([=, &status] {
    guarded(status, [&] {
      return load(wanted->fleet, wanted->name, wanted->rate, wanted->seconds, wanted->hold, wanted->seed, wanted->json);
    });
  });
}

}  // namespace thistlefold::command
