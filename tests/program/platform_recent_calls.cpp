// The memory of calls that are over.

#include <doctest/doctest.h>

#include "platform/recent_calls.hpp"

using namespace thistlefold;
using thistlefold::platform::EndedCalls;
using thistlefold::platform::ExecutedSetups;

// Guards against releases of not yet named calls being dropped at a limit, or sooner than a slow front lets callers in.
TEST_CASE("platform: ended calls are remembered for their time, and the oldest is forgotten at the limit") {
  const Instant start = Instant::ms(0);
  EndedCalls calls(2, Span::ms(1000));
  const auto causeOf = [&](const std::string& id) {
    const auto call = calls.find(id);
    return call ? std::optional(call->cause) : std::nullopt;
  };
  calls.add("a", {16, true}, start);
  calls.add("a", {41, false}, start + Span::ms(500));  // a second copy changes nothing
  calls.add("b", {41, false}, start + Span::ms(500));
  CHECK(causeOf("a") == 16);
  CHECK(calls.find("a")->isConfirmed);
  CHECK(!calls.find("b")->isConfirmed);
  calls.add("c", {41, true}, start + Span::ms(600));
  CHECK(!causeOf("a"));
  CHECK(causeOf("b") == 41);
  calls.expire(start + Span::ms(1550));
  CHECK(!causeOf("b"));
  CHECK(causeOf("c") == 41);
}

// Guards against a newer record being forgotten when the time of the one that it replaced is over.
TEST_CASE("platform: a record that was replaced is kept for the time of the newer one") {
  const Instant start = Instant::ms(0);
  ExecutedSetups setups(2, Span::ms(1000));
  setups.replace("a", {start, true}, start);
  setups.replace("a", {start + Span::ms(600), false}, start + Span::ms(600));
  setups.expire(start + Span::ms(1100));
  REQUIRE(setups.find("a"));
  CHECK(!setups.find("a")->repeatable);
  setups.expire(start + Span::ms(1700));
  CHECK(!setups.find("a"));
}
