#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>

#include "command/commands.hpp"
#include "net/real.hpp"
#include "net/stream_runner.hpp"
#include "platform/softswitch.hpp"

namespace thistlefold::command {
namespace {

namespace asio = boost::asio;

// Interval of the status line in the log.
constexpr Span kStatusInterval = Span::ms(5000);
// Retries of an unreadable configuration. The platform requires the bulletin's new address to be in use within four
// seconds of SIGHUP.
constexpr Span kRereadInterval = Span::ms(100);
constexpr int kMaxRereads = 30;
// Linger time at the end of a planned restart, so that the last answers are delivered and not overtaken by a reset.
constexpr Span kExitLinger = Span::ms(200);

platform::Deployment loadDeployment(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  file.peek();  // detects a folder, which can be opened but not read
  if (!file.is_open() || file.bad()) throw std::runtime_error(path + ": can't be read, a file is wanted");
  const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  try {
    return platform::readDeployment(text);
  } catch (const wire::ParseError& error) {
    throw std::runtime_error(path + ": " + error.what());
  }
}

// Runs a softswitch until SIGTERM or SIGINT. Throws std::runtime_error if the configuration can't be read or the
// softswitch failed.
int runNode(const std::string& path) {
  auto log = std::make_shared<spdlog::logger>("node", std::make_shared<spdlog::sinks::stderr_sink_st>());
  log->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e%z level=%l %v");
  // Signals are handled first, so that none of them terminates the process by default; one that arrives before the
  // softswitch serves is kept.
  std::signal(SIGPIPE, SIG_IGN);  // raised by a write to a log whose reader has gone
  asio::io_context context(1);
  asio::signal_set stopSignals(context, SIGTERM, SIGINT), rereadSignal(context, SIGHUP);
  const platform::Deployment deployment = loadDeployment(path);

  const auto clock = net::makeRealClock(context.get_executor());
  net::StreamRunner streams(context.get_executor(), *clock, static_cast<std::size_t>(deployment.maxConnections));
  platform::Softswitch softswitch(deployment, clock->now(), streams, makeController,
                                  [&](std::string_view line) { log->info("{}", line); });
  std::string failure;
  log->info("office={} listening {}", deployment.name, text(streams.listen(deployment.listenAddress)));
  streams.serve(softswitch, [&](const char* what) {
    failure = what;
    context.stop();
  });

  const auto exitWhenStopped = [&]() -> asio::awaitable<void> {
    const auto timer = clock->makeTimer();
    while (!softswitch.isStopped(clock->now())) {
      timer->set(clock->now() + Span::ms(10));
      co_await timer->asyncWait();
    }
    streams.stopAccepting();
    softswitch.closeConnections(clock->now());
    for (const Instant end = clock->now() + kExitLinger; streams.connectionCount() > 0 && clock->now() < end;) {
      timer->set(clock->now() + Span::ms(10));
      co_await timer->asyncWait();
    }
    context.stop();
  };
  stopSignals.async_wait([&](const boost::system::error_code& error, int) {
    if (error) return;
    log->info("stopping {}", softswitch.statusLine());
    softswitch.stop(clock->now());
    asio::co_spawn(context, exitWhenStopped(), asio::detached);
  });
  // A configuration that is still being written can't be read yet, so reading is retried for a while.
  int latestReread = 0;  // only the retries of the latest SIGHUP go on
  const auto rereadUntilDone = [&](int reread) -> asio::awaitable<void> {
    const auto timer = clock->makeTimer();
    for (int attempt = 0; attempt < kMaxRereads && reread == latestReread; ++attempt) {
      try {
        softswitch.reconfigure(clock->now(), loadDeployment(path));
        log->info("configuration read anew");
        streams.wakeUp();
        co_return;
      } catch (const std::exception& error) {
        if (attempt == 0) log->error("{}; it stays as it was", error.what());
      }
      timer->set(clock->now() + kRereadInterval);
      co_await timer->asyncWait();
    }
  };
  std::function<void()> waitForHangup = [&] {
    rereadSignal.async_wait([&](const boost::system::error_code& error, int) {
      if (error) return;
      asio::co_spawn(context, rereadUntilDone(++latestReread), asio::detached);
      waitForHangup();
    });
  };
  waitForHangup();
  const auto logStatus = [&]() -> asio::awaitable<void> {
    const auto timer = clock->makeTimer();
    for (;;) {
      timer->set(clock->now() + kStatusInterval);
      co_await timer->asyncWait();
      log->info("{}", softswitch.statusLine());
    }
  };
  asio::co_spawn(context, logStatus(), asio::detached);
  context.run();
  log->info("stopped {}", softswitch.statusLine());
  if (!failure.empty()) throw std::runtime_error("terminated by an exception: " + failure);
  return 0;
}

}  // namespace

void addNode(CLI::App& app, int& status) {
  auto* command = app.add_subcommand("node", "Run one softswitch on the platform's protocol, over TCP");
  auto path = std::make_shared<std::string>();
  command->add_option("FILE", *path, "the configuration file")->envname("PROXY_CONFIG")->required();
  command->footer(
      "SIGTERM: completes the pending set-ups, then exits. SIGHUP: reads the configuration again and applies the\n"
      "bulletin's address and its known events; all other settings stay as they were.");
  command->callback([=, &status] { status = runNode(*path); });
}

}  // namespace thistlefold::command
