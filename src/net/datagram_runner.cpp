#include "net/datagram_runner.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace thistlefold::net {
namespace {

namespace asio = boost::asio;

// Taken before each round: the more, the fewer rounds in a rush; so few, that what is due does not wait for a
// flood to end. A round over 256 takes about a millisecond.
constexpr std::size_t kBatch = 256;

}  // namespace

struct DatagramRunner::State {
  State(DatagramHandler& of, Port& at, Clock& by, std::function<void(const char*)> tell)
      : handler(&of), port(&at), clock(&by), timer(by.makeTimer()), fault(std::move(tell)) {}

  void turn() {
    const Instant now = clock->now();
    handler->process(now,
                     [this](iax2::Address to, std::span<const std::uint8_t> datagram) { port->send(to, datagram); });
    timer->set(handler->nextDeadline());
  }

  void end(std::exception_ptr why) {
    if (!over && why) {
      try {
        std::rethrow_exception(why);
      } catch (const std::exception& failure) {
        fault(failure.what());
      } catch (...) {
        fault("unknown");
      }
      port->close();
    }
    over = true;
    timer->close();
  }

  DatagramHandler* handler;
  Port* port;
  Clock* clock;
  std::unique_ptr<Timer> timer;
  std::function<void(const char*)> fault;
  bool over = false;
};

namespace {

template <typename State>
asio::awaitable<void> receiving(std::shared_ptr<State> at) {
  while (!at->over && !at->port->closed()) {
    co_await at->port->readable();
    if (at->over || at->port->closed()) break;
    const Instant now = at->clock->now();
    at->port->drain(kBatch, [&](iax2::Address from, std::span<const std::uint8_t> datagram) {
      at->handler->receive(now, from, datagram);
    });
    at->turn();
  }
}

template <typename State>
asio::awaitable<void> ticking(std::shared_ptr<State> at) {
  while (!at->over) {
    co_await at->timer->asyncWait();
    if (at->over) break;
    // What has come in belongs to this round too.
    const Instant now = at->clock->now();
    at->port->drain(kBatch, [&](iax2::Address from, std::span<const std::uint8_t> datagram) {
      at->handler->receive(now, from, datagram);
    });
    at->turn();
  }
}

}  // namespace

DatagramRunner::DatagramRunner(asio::any_io_executor executor, DatagramHandler& handler, Port& port, Clock& clock,
                               std::function<void(const char*)> fault)
    : state_(std::make_shared<State>(handler, port, clock, std::move(fault))) {
  state_->timer->set(clock.now());
  asio::co_spawn(executor, receiving(state_), [at = state_](std::exception_ptr why) { at->end(why); });
  asio::co_spawn(executor, ticking(state_), [at = state_](std::exception_ptr why) { at->end(why); });
}

DatagramRunner::~DatagramRunner() {
  state_->over = true;
  state_->timer->close();
}

void DatagramRunner::wakeUp() { state_->timer->set(state_->clock->now()); }

}  // namespace thistlefold::net
