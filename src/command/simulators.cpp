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

/// Prints the address and runs the handler until SIGTERM or SIGINT, or for at most `seconds` if that is above zero.
void run(Host& host, DatagramHandler& handler, double seconds) {
  asio::signal_set terminate(host.context(), SIGTERM, SIGINT);
  terminate.async_wait([&](const boost::system::error_code& error, int) {
    if (!error) host.stop();
  });
  asio::steady_timer timer(host.context());
  if (seconds > 0) {
    timer.expires_after(std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000)));
    timer.async_wait([&](const boost::system::error_code& error) {
      if (!error) host.stop();
    });
  }
  std::cout << "listening " << text(host.port().address()) << std::endl;
  host.run(handler);
}

/// Index of the exchange. Throws SettingsError if the fleet has none of this name.
int placeOf(const Fleet& fleet, const std::string& name) {
  const int place = fleet.place(name);
  if (place < 0) throw settings::SettingsError("no exchange '" + name + "' in the fleet");
  return place;
}

/// Sets `status` to what `body` returns, or prints the SettingsError that it throws and sets `status` to 1.
template <typename Body>
void guarded(int& status, Body body) {
  try {
    status = body();
  } catch (const settings::SettingsError& error) {
    std::cerr << error.what() << '\n';
    status = 1;
  }
}

/// Simulates one exchange of the fleet and prints its counters at the end.
int exchange(const std::string& fleetPath, const std::string& name, bool cold, double seconds) {
  const Fleet fleet = settings::openFleet(fleetPath);
  const ExchangeSite& place = fleet.places[static_cast<std::size_t>(placeOf(fleet, name))];
  ProcessorModel model;
  model.setUpWork = 1000 / place.setUpsPerSecond;
  model.followUpWork = 0.35 * model.setUpWork;
  model.rejectWork = 0.2 * model.setUpWork;
  model.coldCapacityShare = fleet.config.coldCapacityShare;
  model.warmUpTime = fleet.config.warmUpTime;
  model.overloadFactor = fleet.config.overloadFactor;
  model.overloadWindow = fleet.config.overloadWindow;
  Host host(place.processor);
  SimulatedExchange simulator(model, 1, host.clock().now(), !cold);
  run(host, simulator, seconds);
  const auto& counters = simulator.counters();
  std::cout << "set-ups " << counters.setUps << ", stood " << counters.established << ", turned away "
            << counters.rejected << ", dropped " << counters.abandoned
            << (simulator.hasCollapsed() ? ", collapsed under overload" : "") << '\n';
  return 0;
}

/// Simulates the directory: sends lists of the exchanges with the states of the states file, which is read again at
/// SIGHUP; without a file all exchanges are ready.
int directory(const std::string& fleetPath, const std::string& statesPath, double seconds) {
  const Fleet fleet = settings::openFleet(fleetPath);
  std::vector<iax2::Address> offices;
  for (const ExchangeSite& place : fleet.places) offices.push_back(place.office);
  Host host(fleet.directory);
  SimulatedDirectory simulator(fleet.config.mustSubscribe ? std::vector<iax2::Address>() : offices, fleet.places.size(),
                               host.clock().now());
  asio::signal_set hangUp(host.context(), SIGHUP);
  std::vector<std::uint64_t> incarnations(fleet.places.size(), 1);
  std::vector<Readiness> states(fleet.places.size(), Readiness::ready);
  // Reads (states (NAME ready|draining|gone) ...). Nothing changes if the file is faulty. An exchange that becomes
  // ready again counts as restarted, so it gets a new incarnation.
  const auto loadStates = [&] {
    if (statesPath.empty()) return;
    const settings::Document document = settings::Document::open(statesPath);
    std::vector<std::pair<std::size_t, Readiness>> parsed;
    for (const settings::Form& entry : document.onlyForm("states").items) {
      if (!entry.isList()) continue;
      if (entry.items.size() != 2) entry.fail("(NAME ready|draining|gone) is expected");
      const int place = fleet.place(entry.items[0].value);
      if (place < 0) entry.items[0].fail("no exchange '" + entry.items[0].value + "' in the fleet");
      const std::string& state = entry.items[1].value;
      if (state != "ready" && state != "draining" && state != "gone") {
        entry.items[1].fail("ready, draining or gone is expected, not '" + state + "'");
      }
      parsed.emplace_back(static_cast<std::size_t>(place), state == "ready"      ? Readiness::ready
                                                           : state == "draining" ? Readiness::draining
                                                                                 : Readiness::gone);
    }
    for (const auto& [place, state] : parsed) {
      if (states[place] != Readiness::ready && state == Readiness::ready) ++incarnations[place];
      states[place] = state;
      simulator.setState(host.clock().now(), static_cast<int>(place), state, incarnations[place], Span::none());
    }
  };
  loadStates();
  std::function<void()> waitForHangUp = [&] {
    hangUp.async_wait([&](const boost::system::error_code& error, int) {
      if (error) return;
      try {
        loadStates();
        host.runner().wakeUp();
      } catch (const settings::SettingsError& settingsError) {
        std::cerr << settingsError.what() << "; the states stay as they are\n";
      }
      waitForHangUp();
    });
  };
  waitForHangUp();
  run(host, simulator, seconds);
  return 0;
}

/// Dials the running fleet at `rate` sessions a second for `seconds`, or one office of it if `office` is not empty, and
/// prints the outcome as text or JSON. `hold` is the mean duration of sessions in milliseconds; 0 for that of each
/// service. Returns 0 if no session failed and all have ended.
int load(const std::string& fleetPath, const std::string& office, double rate, double seconds, double hold,
         std::uint64_t seed, bool json) {
  day::DayPlan plan;
  plan.fleet = settings::openFleet(fleetPath);
  const int onlyOffice = office.empty() ? -1 : placeOf(plan.fleet, office);
  plan.seed = seed;
  plan.rate = rate;
  plan.length = Span::ms(seconds * 1000);
  plan.swing = 0;
  plan.serviceWeights.assign(plan.fleet.offeredServices.size(), 1);
  if (hold > 0) {
    for (Service& service : plan.fleet.config.services) service.meanHold = Span::ms(hold);
  }
  Host host({0x7f000001, 0});
  CallerBehaviour behaviour;
  behaviour.redials = 0;
  SimulatedCallers callers(plan.fleet, behaviour, seed, host.clock().now());
  std::vector<PlannedCall> calls = day::drawTraffic(plan);
  const Instant begin = host.clock().now() + Span::ms(100);
  callers.begin(begin);
  for (PlannedCall& call : calls) {
    call.at = begin + (call.at - Instant());
    if (onlyOffice < 0) continue;
    if (plan.fleet.destination(call.number) == onlyOffice)
      call.number =
          plan.fleet.places[static_cast<std::size_t>(call.office)].numbers + call.number.substr(call.number.size() - 4);
    call.office = onlyOffice;
    if (plan.fleet.destination(call.number) == onlyOffice) {
      call.number = plan.fleet.places[onlyOffice == 0 ? 1 : 0].numbers + call.number.substr(call.number.size() - 4);
    }
  }
  callers.plan(std::move(calls));
  // Stops once the last session has ended, and at the latest when the longest sessions and all their attempts must
  // have.
  asio::steady_timer pollTimer(host.context());
  const Instant deadline = begin + plan.length + Span::ms(60000) + Span::ms(hold * 5);
  std::function<void()> pollUntilDone = [&] {
    pollTimer.expires_after(std::chrono::milliseconds(50));
    pollTimer.async_wait([&](const boost::system::error_code& error) {
      if (error) return;
      if (callers.activeSessions() == 0 || host.clock().now() > deadline) return host.stop();
      pollUntilDone();
    });
  };
  pollUntilDone();
  run(host, callers, 0);
  std::uint64_t offered = 0, established = 0, late = 0, refused = 0, failed = 0, aborted = 0;
  for (const auto& service : callers.serviceCounts()) {
    offered += service.offered;
    established += service.established;
    late += service.late;
    refused += service.refused;
    failed += service.failed;
    aborted += service.aborted;
  }
  std::vector<float> delays = callers.delays();
  std::sort(delays.begin(), delays.end());
  const auto percentile = [&](double share) {
    return delays.empty()
               ? 0.0
               : static_cast<double>(delays[static_cast<std::size_t>(share * static_cast<double>(delays.size() - 1))]);
  };
  if (json) {
    std::cout << "{\"offered\":" << offered << ",\"stood\":" << established << ",\"late\":" << late
              << ",\"refused\":" << refused << ",\"failed\":" << failed << ",\"cut\":" << aborted
              << ",\"p50_ms\":" << percentile(0.5) << ",\"p99_ms\":" << percentile(0.99)
              << ",\"p999_ms\":" << percentile(0.999) << "}\n";
  } else {
    std::cout << "offered " << offered << ", stood " << established << ", late " << late << ", refused " << refused
              << ", failed " << failed << ", cut " << aborted << "\npost-dial delay p50 " << percentile(0.5)
              << " ms, p99 " << percentile(0.99) << " ms, p99.9 " << percentile(0.999) << " ms\n";
  }
  return failed == 0 && callers.activeSessions() == 0 ? 0 : 1;
}

}  // namespace

void addSimulators(CLI::App& app, int& status) {
  struct Options {
    std::string fleet, name, states;
    double seconds = 0, rate = 10, hold = 0;
    std::uint64_t seed = 1;
    bool cold = false, json = false;
  };
  auto options = std::make_shared<Options>();

  auto* exchangeCommand = app.add_subcommand("exchange", "Run a simulated exchange: a processor with a single queue");
  exchangeCommand->add_option("FLEET", options->fleet, "the fleet file")->required();
  exchangeCommand->add_option("NAME", options->name, "name of the exchange")->required();
  exchangeCommand->add_flag("--cold", options->cold, "as if just restarted: has part of its capacity until it is warm");
  exchangeCommand->add_option("--for", options->seconds, "stop after this many seconds");
  exchangeCommand->callback([=, &status] {
    guarded(status, [&] { return exchange(options->fleet, options->name, options->cold, options->seconds); });
  });

  auto* directoryCommand = app.add_subcommand(
      "directory", "Run a simulated directory, which notifies offices of the state of all exchanges");
  directoryCommand->add_option("FLEET", options->fleet, "the fleet file")->required();
  directoryCommand->add_option("--states", options->states,
                               "a file (states (NAME ready|draining|gone) ...), read again at SIGHUP");
  directoryCommand->add_option("--for", options->seconds, "stop after this many seconds");
  directoryCommand->callback(
      [=, &status] { guarded(status, [&] { return directory(options->fleet, options->states, options->seconds); }); });

  auto* loadCommand = app.add_subcommand("load", "Generate calls to a running fleet and report their outcome");
  loadCommand->add_option("FLEET", options->fleet, "the fleet file")->required();
  loadCommand->add_option("--office", options->name, "call this office only");
  loadCommand->add_option("--rate", options->rate, "sessions per second")
      ->check(CLI::Range(0.1, 20000.0))
      ->capture_default_str();
  loadCommand->add_option("--for", options->seconds, "duration of the load in seconds")
      ->check(CLI::Range(0.1, 3600.0))
      ->required();
  loadCommand
      ->add_option("--hold", options->hold,
                   "mean duration of sessions in milliseconds, instead of that of each service")
      ->check(CLI::Range(0.0, 1e6));
  loadCommand->add_option("--seed", options->seed, "seed of the random traffic")->capture_default_str();
  loadCommand->add_flag("--json", options->json, "print the result as JSON");
  loadCommand->callback([=, &status] {
    guarded(status, [&] {
      return load(options->fleet, options->name, options->rate, options->seconds, options->hold, options->seed,
                  options->json);
    });
  });
}

}  // namespace thistlefold::command
