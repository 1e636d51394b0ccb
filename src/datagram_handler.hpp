#pragma once

#include <cstdint>
#include <functional>
#include <span>

#include "iax2/address.hpp"
#include "thistlefold/time.hpp"

namespace thistlefold {

/// Sends the datagrams of a handler, in the order of the calls.
using DatagramSender = std::function<void(iax2::Address to, std::span<const std::uint8_t> datagram)>;

/// A network element with an address of its own: an office, an exchange, the directory, a group of callers. Does no I/O
/// and reads no clock of its own, so that the same handler runs on sockets and on a virtual network. Called by one
/// thread at a time.
class DatagramHandler {
 public:
  virtual ~DatagramHandler() = default;
  /// Accepts a received datagram. No decision is made yet: process() follows once all waiting datagrams were received.
  virtual void receive(Instant now, iax2::Address from, std::span<const std::uint8_t> datagram) = 0;
  /// Handles in one round all received datagrams and every deadline that has passed.
  virtual void process(Instant now, const DatagramSender& out) = 0;
  /// The latest instant at which process() has to be called even if nothing is received.
  virtual Instant nextDeadline() const = 0;
};

}  // namespace thistlefold
