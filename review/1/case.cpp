// A machine vanishes while the softswitch holds as many connections to exchanges as it allows itself. Its standing calls
// are over; their caller must be told within 8 s.

#include "platform.hpp"

using namespace standin;

int main(int count, char** values) {
  const Arguments arguments = readArguments(count, values);
  Record record(arguments.record);
  Loop loop;
  Bulletin bulletin(loop, record, 0x7f000201);
  // A fleet of 48, each linked with every other.
  std::vector<std::unique_ptr<Exchange>> exchanges;
  std::vector<Entry> list;
  for (int place = 0; place < 48; ++place) {
    exchanges.push_back(std::make_unique<Exchange>(loop, record, 0x00c41f00u + static_cast<std::uint32_t>(place), place,
                                                   0x7f000301u + static_cast<std::uint32_t>(place)));
    list.push_back(entryOf(*exchanges.back()));
  }
  bulletin.publish(true, list);
  Softswitch softswitch(loop, record, arguments.folder, arguments.command);
  Deployment deployment;
  deployment.sockets = 256;
  deployment.softswitches = 48;
  softswitch.start(deployment, bulletin);
  loop.run(1500);

  // Some tens of set-ups a second, spread over all places, two at a time to each. Every call stands for 25 s.
  constexpr int kPlace = 5;
  Exchange& vanishing = *exchanges[kPlace];
  Callers callers(loop, record, softswitch);
  const auto connection = callers.connect("c1");
  std::vector<std::string> watched;
  for (int place = 1; place < 48; ++place) {
    for (int i = 0; i < 2; ++i) {
      const std::string id = callers.setUp(*connection, place);
      if (place == kPlace) watched.push_back(id);
      loop.after(25000, [&exchanges, place, id] { exchanges[static_cast<std::size_t>(place)]->release(id, 16); });
    }
    loop.run(60);
  }
  loop.run(1000);
  std::size_t held = 0;
  for (const auto& exchange : exchanges) held += exchange->openConnections();
  record.line("the softswitch holds %zu connections to exchanges, %zu of them to %s", held, vanishing.openConnections(),
              vanishing.name().c_str());
  for (const std::string& id : watched) {
    if (!callers.answered(id) || callers.ended(id)) {
      record.line("%s does not stand before the disruption: the case could not run", id.c_str());
      return kNotRun;
    }
  }

  const double end = nowMs();
  if (arguments.trouble) {
    vanishing.vanish();
  } else {
    for (const std::string& id : watched) vanishing.release(id, 16);
  }
  // Thin traffic goes on, spread evenly over all places, the vanished one among them.
  int calls = 0;
  std::function<void()> dial = [&] {
    const int place = 1 + calls++ % 47;
    const std::string id = callers.setUp(*connection, place);
    loop.after(4000, [&exchanges, place, id] { exchanges[static_cast<std::size_t>(place)]->release(id, 16); });
    loop.after(100, dial);
  };
  dial();
  const auto allTold = [&] {
    return std::all_of(watched.begin(), watched.end(), [&](const std::string& id) { return callers.ended(id); });
  };
  loop.run(20000, allTold);
  if (!softswitch.runs()) {
    record.line("the softswitch has ended by itself");
    return kBroken;
  }
  // The exchange's release: 1 s; without one: 8 s from the call's end; each 50 ms longer on sockets.
  const double limit = (arguments.trouble ? 8000 : 1000) + 50;
  bool broken = false;
  for (const std::string& id : watched) {
    const CallerCall& call = callers.calls.at(id);
    const double took = call.endedAt - end;
    if (call.endedAt == 0) {
      record.line("%s: its caller was not told within %.0f ms", id.c_str(), nowMs() - end);
    } else {
      record.line("%s: its caller was told after %.0f ms, the limit is %.0f ms", id.c_str(), took, limit);
    }
    broken = broken || call.endedAt == 0 || took > limit;
  }
  record.line(broken ? "BROKEN" : "HELD");
  return broken ? kBroken : kHeld;
}
