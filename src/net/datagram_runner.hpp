#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>

#include "datagram_handler.hpp"
#include "net/clock.hpp"
#include "net/port.hpp"

namespace thistlefold::net {

/// Runs a station on a port and a clock until the port is closed: two coroutines, one for what comes in and one
/// for what is due. The same code on sockets and on the virtual network.
class DatagramRunner {
 public:
  /// All must outlive the attendance. `fault` hears of an exception that ended a coroutine; the port is closed
  /// then.
  DatagramRunner(boost::asio::any_io_executor executor, DatagramHandler& handler, Port& port, Clock& clock,
                 std::function<void(const char*)> fault);
  ~DatagramRunner();
  /// After something was changed in the station from outside a turn: it gets one now.
  void wakeUp();

 private:
  struct State;
  std::shared_ptr<State> state_;  // kept by the coroutines until they have ended
};

}  // namespace thistlefold::net
