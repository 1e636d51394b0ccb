// A softswitch was started again and a caller has named its call, on a connection that it closes when that has carried
// no call for four seconds. A stranger names calls that no exchange knows. Then the first call ends; its caller has
// another connection open, on which its other calls are answered.

#include "standin-2/world.hpp"

int main(int argc, char** argv) {
  return world::runCase(argc, argv, [](const char* path, const std::string& root) {
    world::Small here(path, root);
    here.start();
    world::Exchange& exchange = here.first;
    world::Front callers(here.loop, here.record, here.node.address, "caller");
    const std::string id = callers.call(1);
    here.loop.runUntil(world::now() + 500);
    if (callers.calls[id].state != world::Front::Call::stands) throw world::CannotRun{"the call does not stand"};
    // The restart is part of both runs.
    here.node.signal(SIGKILL);
    while (here.node.isRunning()) ::usleep(1000);
    here.loop.runUntil(world::now() + 300);
    here.node.configure(here.bulletin);
    here.node.start();
    here.node.waitReady();
    here.loop.runUntil(world::now() + 2000);
    const double start = world::now();
    callers.nameCall(id, exchange.name(), 1, callers.newSide());
    // The caller's other calls, one every two seconds, on another connection.
    const auto other = callers.newSide();
    for (int i = 0; i < 10; ++i)
      here.loop.at(start + 100 + 2000.0 * i, [&] {
        const std::string brief = callers.call(2, 9000, other->wire->isOpen() ? other : nullptr);
        here.loop.in(1500, [&, brief] { here.second.end(brief, 16); });
      });
    world::Front stranger(here.loop, here.record, here.node.address, "stranger");
    if (here.trouble)
      for (int i = 0; i < 30; ++i)
        here.loop.at(start + 4000 + 200.0 * i,
                     [&] { stranger.nameCall(world::newId(), exchange.name(), 1, stranger.freeSide()); });
    here.loop.runUntil(start + 8000);
    exchange.end(id, 16);
    const double ended = world::now();
    here.loop.runUntil(ended + 9000);
    const auto& call = callers.calls[id];
    const double took = call.state == world::Front::Call::over ? call.overAt - ended : -1;
    const bool held = took >= 0 && took <= 8050;
    here.record.line("the caller was told after %.0f ms, -1: not at all; the limit is 8050", took);
    here.record.line(held ? "HELD" : "BROKEN: a call that is over was not released towards its caller");
    here.node.recordLog();
    return held;
  });
}
