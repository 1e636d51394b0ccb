// The real clock.

#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cmath>

#include "net/real.hpp"

using namespace thistlefold;

TEST_CASE(
    "the real clock starts at the system time, so that process starts are ordered over a reboot, and timers follow "
    "it") {
  boost::asio::io_context context;
  const auto clock = net::makeRealClock(context.get_executor());
  const double systemTimeMs =
      std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch()).count();
  CHECK(std::abs((clock->now() - Instant()).ms() - systemTimeMs) < 1000);
  const auto timer = clock->makeTimer();
  const Instant startedAt = clock->now();
  Instant firedAt = Instant::distantPast();
  timer->set(startedAt + Span::ms(20));
  boost::asio::co_spawn(
      context,
      [&]() -> boost::asio::awaitable<void> {
        co_await timer->asyncWait();
        firedAt = clock->now();
      },
      boost::asio::detached);
  context.run();
  CHECK(firedAt - startedAt >= Span::ms(20));
  CHECK(firedAt - startedAt < Span::ms(5000));
}
