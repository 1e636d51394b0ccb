#pragma once

// The seam for datagrams.

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <span>

#include "iax2/address.hpp"

namespace thistlefold::net {

class Port {
 public:
  virtual ~Port() = default;
  virtual iax2::Address address() const = 0;
  /// Resumes when something may be waiting, or the port was closed.
  virtual boost::asio::awaitable<void> readable() = 0;
  /// Hands over what is waiting, `most` datagrams at most; returns how many.
  virtual std::size_t drain(std::size_t most,
                            const std::function<void(iax2::Address, std::span<const std::uint8_t>)>& take) = 0;
  /// Never blocks: what the system has no room for is lost, as on any network, and counted.
  virtual void send(iax2::Address to, std::span<const std::uint8_t> datagram) = 0;
  virtual void close() = 0;
  virtual bool closed() const = 0;
};

}  // namespace thistlefold::net
