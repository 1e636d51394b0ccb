// An exchange is replaced by another at its address shortly after the softswitch was killed and started again. The
// caller names the calls that stood there; they are over, and their caller must be told.

#include "platform.hpp"

using namespace standin;

int main(int count, char** values) {
  const Arguments arguments = readArguments(count, values);
  Record record(arguments.record);
  Loop loop;
  Bulletin bulletin(loop, record, 0x7f000201);
  std::vector<std::unique_ptr<Exchange>> exchanges;
  std::vector<Entry> list;
  for (int place = 0; place < 4; ++place) {
    exchanges.push_back(std::make_unique<Exchange>(loop, record, 0x00c41f00u + static_cast<std::uint32_t>(place), place,
                                                   0x7f000301u + static_cast<std::uint32_t>(place)));
    list.push_back(entryOf(*exchanges.back()));
  }
  bulletin.publish(true, list);
  Softswitch softswitch(loop, record, arguments.folder, arguments.command);
  const Deployment deployment;
  softswitch.start(deployment, bulletin);
  loop.run(1000);

  Callers callers(loop, record, softswitch);
  Exchange& first = *exchanges[1];
  auto connection = callers.connect("c1");
  std::vector<std::string> watched;
  for (int i = 0; i < 5; ++i) watched.push_back(callers.setUp(*connection, first.place)), loop.run(100);
  loop.run(500);
  for (const std::string& id : watched) {
    if (callers.answered(id) && !callers.ended(id)) continue;
    record.line("%s does not stand: the case could not run", id.c_str());
    return kNotRun;
  }

  // The softswitch is killed outright and starts again from nothing. The calls stand on.
  softswitch.kill();
  loop.run(500);
  softswitch.start(deployment, bulletin);
  double end = nowMs();
  std::unique_ptr<Exchange> second;
  if (arguments.trouble) {
    // The exchange is replaced: its process ends, another with a new id comes up at its address.
    const std::uint16_t port = first.port;
    first.die();
    second = std::make_unique<Exchange>(loop, record, 0x00c41f99u, first.place, first.ip, port);
    bulletin.publish(false, {entryOf(first, State::gone), entryOf(*second, State::ready, nowMs())});
  }
  loop.run(1000);
  // The front has taken the softswitch in again: the callers name what stands there.
  connection = callers.connect("c2");
  for (const std::string& id : watched) callers.nameStanding(*connection, id, first);
  const double named = nowMs();
  if (!arguments.trouble) {
    loop.run(2000);
    end = nowMs();
    for (const std::string& id : watched) first.release(id, 16);
  }
  // Traffic goes on, so that the caller's connection stays in use.
  std::function<void()> dial = [&] {
    callers.setUp(*connection, 2);
    loop.after(1000, dial);
  };
  dial();
  const auto allTold = [&] {
    return std::all_of(watched.begin(), watched.end(), [&](const std::string& id) { return callers.ended(id); });
  };
  loop.run(30000, allTold);
  if (!softswitch.runs()) {
    record.line("the softswitch has ended by itself");
    return kBroken;
  }
  // The exchange's release: 1 s. Without one: 8 s, here counted from when the softswitch was told of the calls.
  const double from = arguments.trouble ? named : end, limit = (arguments.trouble ? 8000 : 1000) + 50;
  bool broken = false;
  for (const std::string& id : watched) {
    const CallerCall& call = callers.calls.at(id);
    if (call.endedAt == 0) {
      record.line("%s: its caller was not told within %.0f ms", id.c_str(), nowMs() - from);
    } else {
      record.line("%s: its caller was told after %.0f ms, the limit is %.0f ms", id.c_str(), call.endedAt - from, limit);
    }
    broken = broken || call.endedAt == 0 || call.endedAt - from > limit;
  }
  record.line(broken ? "BROKEN" : "HELD");
  return broken ? kBroken : kHeld;
}
