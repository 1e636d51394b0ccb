// The exchange of a standing call dies. The caller has closed the connection of that call's set-up, as callers do after
// 4 s, and has another one open, on which its further set-ups are refused. It must be told that its call is over.

#include "platform.hpp"

using namespace standin;

int main(int count, char** values) {
  const Arguments arguments = readArguments(count, values);
  Record record(arguments.record);
  Loop loop;
  Bulletin bulletin(loop, record, 0x7f000201);
  std::vector<std::unique_ptr<Exchange>> exchanges;
  std::vector<Entry> list;
  for (int place = 0; place < 3; ++place) {
    exchanges.push_back(std::make_unique<Exchange>(loop, record, 0x00c41f00u + static_cast<std::uint32_t>(place), place,
                                                   0x7f000301u + static_cast<std::uint32_t>(place)));
    list.push_back(entryOf(*exchanges.back()));
  }
  bulletin.publish(true, list);
  Softswitch softswitch(loop, record, arguments.folder, arguments.command);
  softswitch.start(Deployment(), bulletin);
  loop.run(1000);

  Callers callers(loop, record, softswitch);
  Exchange& exchange = *exchanges[1];
  auto first = callers.connect("c1");
  const std::string standing = callers.setUp(*first, exchange.place);
  loop.run(1000);
  if (!callers.answered(standing)) return kNotRun;
  // After 4 s callers close a connection that carries no call; the standing call belongs to no connection.
  loop.run(4000);
  record.line("caller closes connection c1");
  first->close();
  loop.run(1000);

  const double end = nowMs();
  if (arguments.trouble) {
    exchange.die();
    loop.after(3000, [&] { bulletin.publish(false, {entryOf(exchange, State::gone)}); });
  } else {
    exchange.release(standing, 16);
  }
  // The caller goes on dialling that place, on one connection that stays open.
  const auto second = callers.connect("c2");
  std::function<void()> dial = [&] {
    callers.setUp(*second, exchange.place, 1500);
    loop.after(1500, dial);
  };
  dial();
  loop.run(20000, [&] { return callers.ended(standing); });
  if (!softswitch.runs()) {
    record.line("the softswitch has ended by itself");
    return kBroken;
  }
  const double limit = (arguments.trouble ? 8000 : 1000) + 50;
  const CallerCall& call = callers.calls.at(standing);
  bool broken = true;
  if (call.endedAt == 0) {
    record.line("%s: its caller was not told within %.0f ms", standing.c_str(), nowMs() - end);
  } else {
    record.line("%s: its caller was told after %.0f ms, the limit is %.0f ms", standing.c_str(), call.endedAt - end,
                limit);
    broken = call.endedAt - end > limit;
  }
  record.line(broken ? "BROKEN" : "HELD");
  return broken ? kBroken : kHeld;
}
