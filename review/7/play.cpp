// An exchange's answer stops short on a connection that stays open. A call that was set up on that connection earlier
// comes to its end. Traffic to the exchange goes on, on its other connections.

#include "standin-2/world.hpp"

int main(int argc, char** argv) {
  return world::runCase(argc, argv, [](const char* path, const std::string& root) {
    world::Small here(path, root);
    here.start();
    world::Exchange& exchange = here.first;
    exchange.answerMs = 60;
    world::Front callers(here.loop, here.record, here.node.address, "caller");
    for (int i = 0; i < 6; ++i) callers.call(1);
    here.loop.runUntil(world::now() + 1000);
    // The call that was set up on the connection opened last. State goes out on the four opened first.
    world::Exchange::SidePtr side;
    std::string old;
    for (const auto& [id, call] : exchange.calls)
      if (call.stands && call.side->wire->isOpen() && (side == nullptr || call.side->order > side->order))
        side = call.side, old = id;
    if (side == nullptr || side->order < 5) throw world::CannotRun{"the softswitch has not opened five connections"};
    here.record.line("the call that will end is %s, on connection %d", old.c_str(), side->order);
    std::string spoilt;
    // Two short calls a second.
    const double start = world::now();
    for (int i = 0; i < 28; ++i)
      here.loop.at(start + 500.0 * i, [&] {
        const std::string id = callers.call(1);
        here.loop.in(1700, [&, id] {
          if (id != spoilt) exchange.end(id, 16);
        });
      });
    exchange.onSetup = [&](const world::Exchange::SidePtr& on, const std::string& id) {
      if (here.trouble && spoilt.empty() && on == side) {
        spoilt = id;
        here.loop.in(exchange.answerMs, [&, id, on] {
          const std::string line = exchange.answerLine(id);
          exchange.stand(id);
          here.record.line("the answer to %s stops short on connection %d, which stays open", id.c_str(), on->order);
          on->wire->send(line.substr(0, line.size() / 2));
        });
        return;
      }
      here.loop.in(exchange.answerMs, [&, id] { exchange.answer(id); });
    };
    here.loop.runUntil(start + 800);
    if (here.trouble && spoilt.empty()) throw world::CannotRun{"no set-up came on that connection"};
    const bool wasOpen = side->wire->isOpen();
    here.record.line("the connection of the call that ends is %s", wasOpen ? "open" : "closed");
    exchange.end(old, 16);
    const double ended = world::now();
    here.loop.runUntil(ended + 8500);
    const auto& call = callers.calls[old];
    const double took = call.state == world::Front::Call::over ? call.overAt - ended : -1;
    const bool held = took >= 0 && took <= 8050;
    here.record.line("the caller was told after %.0f ms, -1: not at all; the limit is 8050", took);
    here.record.line(held ? "HELD" : "BROKEN: a call that is over was not released towards its caller");
    here.node.recordLog();
    return held;
  });
}
