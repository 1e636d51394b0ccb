// The memory of calls that are over.

#include <doctest/doctest.h>

#include "platform/ended_calls.hpp"

using namespace thistlefold;
using thistlefold::platform::EndedCalls;

// Guards against releases of not yet named calls being dropped at a limit, or sooner than a slow front lets callers in.
TEST_CASE("platform: ended calls are remembered for their time, and the oldest is forgotten at the limit") {
  const Instant start = Instant::ms(0);
  EndedCalls calls(2, Span::ms(1000));
  calls.add("a", 16, start);
  calls.add("a", 41, start + Span::ms(500));  // a second copy changes nothing
  calls.add("b", 41, start + Span::ms(500));
  CHECK(calls.causeOf("a") == 16);
  calls.add("c", 41, start + Span::ms(600));
  CHECK(!calls.causeOf("a"));
  CHECK(calls.causeOf("b") == 41);
  calls.expire(start + Span::ms(1550));
  CHECK(!calls.causeOf("b"));
  CHECK(calls.causeOf("c") == 41);
}
