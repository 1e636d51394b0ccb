#pragma once

// The seams on the real world: UDP sockets and the steady clock, by Boost.Asio.

#include <boost/asio/any_io_executor.hpp>
#include <memory>

#include "net/clock.hpp"
#include "net/port.hpp"

namespace thistlefold::net {

/// Counts from the start of the host, so that processes of one host agree. Needs no executor for now().
std::unique_ptr<Clock> makeRealClock(boost::asio::any_io_executor executor);

struct PortCounters {
  std::uint64_t in = 0, out = 0, lost = 0;
  int receiveBufferBytes = 0;  // bytes, as granted by the system
};

class RealPort : public Port {
 public:
  virtual const PortCounters& counters() const = 0;
};

/// Port 0 takes a free one. Throws std::runtime_error that names the address if it can't be bound.
std::unique_ptr<RealPort> bindPort(boost::asio::any_io_executor executor, iax2::Address at);

}  // namespace thistlefold::net
