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

constexpr Span kAccountEvery = Span::ms(5000);
// The bulletin's new address is wanted within four seconds of SIGHUP.
constexpr Span kRereadEvery = Span::ms(100);
constexpr int kRereads = 30;
// After the last answer of a planned restart: for what is still to go out, and so that no reset overtakes it.
constexpr Span kPart = Span::ms(200);

platform::Deployment openDeployment(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  file.peek();  // a folder can be opened, but not read
  if (!file.is_open() || file.bad()) throw std::runtime_error(path + ": can't be read, a file is wanted");
  const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  try {
    return platform::readDeployment(text);
  } catch (const wire::ParseError& fault) {
    throw std::runtime_error(path + ": " + fault.what());
  }
}

int node(const std::string& path) {
  auto log = std::make_shared<spdlog::logger>("node", std::make_shared<spdlog::sinks::stderr_sink_st>());
  log->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e%z level=%l %v");
  // First of all, so that none of them ends the program by default; what comes before it serves waits.
  std::signal(SIGPIPE, SIG_IGN);  // a log that nobody reads any more
  asio::io_context context(1);
  asio::signal_set ends(context, SIGTERM, SIGINT), reread(context, SIGHUP);
  const platform::Deployment deployment = openDeployment(path);

  const auto clock = net::makeRealClock(context.get_executor());
  net::StreamRunner streams(context.get_executor(), *clock, static_cast<std::size_t>(deployment.connections));
  platform::Softswitch softswitch(deployment, clock->now(), streams, makeController,
                                  [&](std::string_view what) { log->info("{}", what); });
  std::string failed;
  log->info("office={} listening {}", deployment.name, text(streams.listen(deployment.listen)));
  streams.attend(softswitch, [&](const char* what) {
    failed = what;
    context.stop();
  });

  const auto untilStopped = [&]() -> asio::awaitable<void> {
    const auto timer = clock->makeTimer();
    while (!softswitch.stopped(clock->now())) {
      timer->set(clock->now() + Span::ms(10));
      co_await timer->asyncWait();
    }
    streams.deafen();
    softswitch.part(clock->now());
    for (const Instant end = clock->now() + kPart; streams.held() > 0 && clock->now() < end;) {
      timer->set(clock->now() + Span::ms(10));
      co_await timer->asyncWait();
    }
    context.stop();
  };
  ends.async_wait([&](const boost::system::error_code& error, int) {
    if (error) return;
    log->info("stopping {}", softswitch.account());
    softswitch.stop(clock->now());
    asio::co_spawn(context, untilStopped(), asio::detached);
  });
  // A file that is still being written can't be read now, but may be shortly after.
  int rereading = 0;  // the newest signal's alone goes on
  const auto untilRead = [&](int mine) -> asio::awaitable<void> {
    const auto timer = clock->makeTimer();
    for (int tries = 0; tries < kRereads && mine == rereading; ++tries) {
      try {
        softswitch.reconfigured(clock->now(), openDeployment(path));
        log->info("configuration read anew");
        streams.wakeUp();
        co_return;
      } catch (const std::exception& failure) {
        if (tries == 0) log->error("{}; it stays as it was", failure.what());
      }
      timer->set(clock->now() + kRereadEvery);
      co_await timer->asyncWait();
    }
  };
  std::function<void()> onHup = [&] {
    reread.async_wait([&](const boost::system::error_code& error, int) {
      if (error) return;
      asio::co_spawn(context, untilRead(++rereading), asio::detached);
      onHup();
    });
  };
  onHup();
  const auto accounting = [&]() -> asio::awaitable<void> {
    const auto timer = clock->makeTimer();
    for (;;) {
      timer->set(clock->now() + kAccountEvery);
      co_await timer->asyncWait();
      log->info("{}", softswitch.account());
    }
  };
  asio::co_spawn(context, accounting(), asio::detached);
  context.run();
  log->info("stopped {}", softswitch.account());
  if (!failed.empty()) throw std::runtime_error("ended by a fault: " + failed);
  return 0;
}

}  // namespace

void addNode(CLI::App& app, int& status) {
  auto* command = app.add_subcommand("node", "Run one softswitch on the platform's protocol, by TCP");
  auto path = std::make_shared<std::string>();
  command->add_option("FILE", *path, "the configuration")->envname("PROXY_CONFIG")->required();
  command->footer(
      "SIGTERM: what is open is finished, then it ends. SIGHUP: the configuration is read anew; the bulletin's "
      "address\n"
      "and what is known of it are taken, all else stays.");
  command->callback([=, &status] { status = node(*path); });
}

}  // namespace thistlefold::command
