#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>

#include "datagram_handler.hpp"
#include "net/clock.hpp"
#include "net/port.hpp"

namespace thistlefold::net {

/// Runs a datagram handler on a port and a clock until the port is closed, with one coroutine for received datagrams
/// and one for deadlines. The same code runs on sockets and on the virtual network.
class DatagramRunner {
 public:
  /// `handler`, `port` and `clock` must outlive the runner. `onError` receives the text of an exception that ended a
  /// coroutine; the port is closed then.
  DatagramRunner(const boost::asio::any_io_executor& executor, DatagramHandler& handler, Port& port, Clock& clock,
                 std::function<void(const char*)> onError);
  ~DatagramRunner();
  /// Requests a round at once. To be called after the handler was changed from outside a round.
  void wakeUp();

 private:
  struct State;
  std::shared_ptr<State> state_;  // shared with the coroutines, which keep it until they have ended
};

}  // namespace thistlefold::net
