#include "net/datagram_runner.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace thistlefold::net {
namespace {

namespace asio = boost::asio;

// Maximum number of datagrams received before a round. A large number saves rounds in a surge; a small one keeps a
// flood from delaying deadlines. A round over 256 datagrams takes about a millisecond.
constexpr std::size_t kMaxDatagramsPerRound = 256;

}  // namespace

struct DatagramRunner::State {
  State(DatagramHandler& theHandler, Port& thePort, Clock& theClock, std::function<void(const char*)> reportError)
      : handler(&theHandler),
        port(&thePort),
        clock(&theClock),
        timer(theClock.makeTimer()),
        onError(std::move(reportError)) {}

  void runRound() {
    const Instant now = clock->now();
    handler->process(now,
                     [this](iax2::Address to, std::span<const std::uint8_t> datagram) { port->send(to, datagram); });
    timer->set(handler->nextDeadline());
  }

  /// Stops both coroutines when one ends; reports its exception, if any.
  void onCoroutineEnd(const std::exception_ptr& error) {
    if (!stopped && error) {
      try {
        std::rethrow_exception(error);
      } catch (const std::exception& failure) {
        onError(failure.what());
      } catch (...) {
        onError("unknown exception");
      }
      port->close();
    }
    stopped = true;
    timer->close();
  }

  DatagramHandler* handler;
  Port* port;
  Clock* clock;
  std::unique_ptr<Timer> timer;
  std::function<void(const char*)> onError;
  bool stopped = false;
};

namespace {

template <typename State>
asio::awaitable<void> runReceiver(std::shared_ptr<State> state) {
  while (!state->stopped && !state->port->closed()) {
    co_await state->port->asyncWaitReadable();
    if (state->stopped || state->port->closed()) break;
    const Instant now = state->clock->now();
    state->port->drain(kMaxDatagramsPerRound, [&](iax2::Address from, std::span<const std::uint8_t> datagram) {
      state->handler->receive(now, from, datagram);
    });
    state->runRound();
  }
}

template <typename State>
asio::awaitable<void> runTimer(std::shared_ptr<State> state) {
  while (!state->stopped) {
    co_await state->timer->asyncWait();
    if (state->stopped) break;
    // Datagrams that wait already belong to this round too.
    const Instant now = state->clock->now();
    state->port->drain(kMaxDatagramsPerRound, [&](iax2::Address from, std::span<const std::uint8_t> datagram) {
      state->handler->receive(now, from, datagram);
    });
    state->runRound();
  }
}

}  // namespace

DatagramRunner::DatagramRunner(const asio::any_io_executor& executor, DatagramHandler& handler, Port& port,
                               Clock& clock, std::function<void(const char*)> onError)
    : state_(std::make_shared<State>(handler, port, clock, std::move(onError))) {
  state_->timer->set(clock.now());
  asio::co_spawn(executor, runReceiver(state_),
                 [state = state_](const std::exception_ptr& error) { state->onCoroutineEnd(error); });
  asio::co_spawn(executor, runTimer(state_),
                 [state = state_](const std::exception_ptr& error) { state->onCoroutineEnd(error); });
}

DatagramRunner::~DatagramRunner() {
  state_->stopped = true;
  state_->timer->close();
}

void DatagramRunner::wakeUp() { state_->timer->set(state_->clock->now()); }

}  // namespace thistlefold::net
