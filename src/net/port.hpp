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
  /// The address to which the port is bound.
  virtual iax2::Address address() const = 0;
  /// Resumes when a datagram may be waiting or the port was closed.
  virtual boost::asio::awaitable<void> asyncWaitReadable() = 0;
  /// Passes waiting datagrams with their source addresses to `receive`, at most `maxCount` of them, and returns their
  /// number. The bytes are valid only during the call of `receive`. Never blocks.
  virtual std::size_t drain(std::size_t maxCount,
                            const std::function<void(iax2::Address, std::span<const std::uint8_t>)>& receive) = 0;
  /// Sends a datagram. Never blocks: one that the socket buffer does not take is lost, as on any network, and counted.
  /// Does nothing once the port is closed.
  virtual void send(iax2::Address to, std::span<const std::uint8_t> datagram) = 0;
  /// Closes the port and resumes a waiter of asyncWaitReadable().
  virtual void close() = 0;
  /// True once close() was called.
  virtual bool closed() const = 0;
};

}  // namespace thistlefold::net
