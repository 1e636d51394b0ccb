#pragma once

// Real clock and UDP sockets, by Boost.Asio.

#include <boost/asio/any_io_executor.hpp>
#include <memory>

#include "net/clock.hpp"
#include "net/port.hpp"

namespace thistlefold::net {

/// A monotonic clock. Counts from the Unix epoch, by the system time at which the process started, so that the
/// processes of a host agree and starts stay ordered over a reboot. The executor is needed for timers only.
std::unique_ptr<Clock> makeRealClock(boost::asio::any_io_executor executor);

/// Datagrams of a port since it was bound.
struct PortCounters {
  /// `dropped`: datagrams to be sent that the system did not take.
  std::uint64_t received = 0, sent = 0, dropped = 0;
  int receiveBufferBytes = 0;  ///< size of the receive buffer as granted by the system
};

/// A UDP socket.
class RealPort : public Port {
 public:
  /// Counts since the port was bound; the reference is valid as long as the port.
  virtual const PortCounters& counters() const = 0;
};

/// Binds a UDP socket; port 0 selects a free one. Throws std::runtime_error, which names the address, on failure.
std::unique_ptr<RealPort> bindPort(const boost::asio::any_io_executor& executor, iax2::Address at);

}  // namespace thistlefold::net
