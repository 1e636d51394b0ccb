// A stranger names calls that no exchange knows. Then a call ends whose connection is closed; its own caller has
// another connection on which calls of its were answered.

#include "standin-2/world.hpp"

int main(int argc, char** argv) {
  return world::runCase(argc, argv, [](const char* path, const std::string& root) {
    world::Small here(path, root);
    here.start();
    world::Exchange& exchange = here.first;
    world::Front callers(here.loop, here.record, here.node.address, "caller");
    // The call stands on a connection on which nothing more is sent; the softswitch closes that after some seconds.
    const auto first = callers.newSide();
    const std::string id = callers.call(1, 9000, first);
    here.loop.runUntil(world::now() + 500);
    if (callers.calls[id].state != world::Front::Call::stands) throw world::CannotRun{"the call does not stand"};
    // The caller's other calls, one every two seconds, on another connection.
    const auto other = callers.newSide();
    const double start = world::now();
    for (int i = 0; i < 12; ++i)
      here.loop.at(start + 2000.0 * i, [&] {
        const std::string brief = callers.call(2, 9000, other->wire->isOpen() ? other : nullptr);
        here.loop.in(1500, [&, brief] { here.second.end(brief, 16); });
      });
    // The stranger.
    world::Front stranger(here.loop, here.record, here.node.address, "stranger");
    if (here.trouble)
      for (int i = 0; i < 60; ++i)
        here.loop.at(start + 8000 + 200.0 * i, [&] {
          if (!stranger.sides.empty()) stranger.nameCall(world::newId(), exchange.name(), 1, stranger.sides.front());
          else stranger.nameCall(world::newId(), exchange.name(), 1);
        });
    here.loop.runUntil(start + 11000);
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
