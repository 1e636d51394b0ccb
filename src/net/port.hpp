#pragma once

// Interface to datagram transport, for real sockets and for the network in memory.

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <span>

#include "iax2/address.hpp"

namespace thistlefold::net {

/// A datagram socket bound to an address.
class Port {
 public:
  virtual ~Port() = default;
  virtual iax2::Address address() const = 0;
  /// Resumes when a datagram may be waiting or the port was closed.
  virtual boost::asio::awaitable<void> asyncWaitReadable() = 0;
  /// Passes waiting datagrams to `receive`, at most `maxCount` of them, and returns their number. Never blocks.
  virtual std::size_t drain(std::size_t maxCount,
                            const std::function<void(iax2::Address, std::span<const std::uint8_t>)>& receive) = 0;
  /// Never blocks: a datagram that the socket buffer does not take is lost, as on any network, and counted.
  virtual void send(iax2::Address to, std::span<const std::uint8_t> datagram) = 0;
  virtual void close() = 0;
  virtual bool closed() const = 0;
};

}  // namespace thistlefold::net
