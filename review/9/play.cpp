// A caller asks once and keeps its connection. Its call stands for 12 s, then the exchange ends it.

#include "standin-2/world.hpp"

int main(int argc, char** argv) {
  return world::runCase(argc, argv, [](const char* path, const std::string& root) {
    world::Small here(path, root);
    here.start();
    world::Front caller(here.loop, here.record, here.node.address, "caller");
    const auto side = caller.newSide();
    side->keep = true;
    const std::string id = caller.call(1, 9000, side);
    here.loop.runUntil(world::now() + 1000);
    if (caller.calls[id].state != world::Front::Call::stands) throw world::CannotRun{"the call does not stand"};
    const double end = world::now() + 12000;
    if (!here.trouble) {
      // The same caller asks again on its connection, every two seconds; each of these calls ends after one.
      for (double at = world::now() + 2000; at < end; at += 2000) {
        here.loop.at(at, [&] {
          const std::string other = caller.call(2, 9000, side);
          here.loop.in(1000, [&, other] { here.second.end(other, 16); });
        });
      }
    }
    here.loop.runUntil(end);
    here.first.end(id, 16);
    const double ended = world::now();
    // The caller's next call comes well after the limit.
    here.loop.runUntil(ended + 10000);
    const auto& call = caller.calls[id];
    const double took = call.state == world::Front::Call::over ? call.overAt - ended : -1;
    const bool held = took >= 0 && took <= 8050;
    caller.call(2);
    here.loop.runUntil(world::now() + 1500);
    here.record.line("the caller was told after %.0f ms, -1: not in 10 s; the limit is 8050", took);
    if (took < 0) here.record.line("after its next call it was %s", call.state == world::Front::Call::over ? "told" : "not told");
    here.record.line(held ? "HELD" : "BROKEN: a call that is over was not released towards its caller");
    here.node.recordLog();
    return held;
  });
}
