#pragma once

// Virtual clock, which only advances when nothing is left to do, and network in memory. Single-threaded.

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "net/clock.hpp"
#include "net/port.hpp"

namespace thistlefold::net {

/// Virtual time over an io_context, which must outlive the clock. Timers fire in the order of their deadlines; those
/// with equal deadlines, in the order in which they were set.
class VirtualClock final : public Clock {
 public:
  /// The clock starts at 1000 ms.
  explicit VirtualClock(boost::asio::io_context& context) : context_(context) {}
  ~VirtualClock() override;

  Instant now() const override { return now_; }
  std::unique_ptr<Timer> makeTimer() override;
  /// Calls `callback` at `at`, or at the current time if that is past.
  void callAt(Instant at, std::function<void()> callback);
  /// Runs everything that is ready or due until `end`, in order of time. The time is `end` afterwards.
  void runUntil(Instant end);

 private:
  friend class VirtualTimer;
  friend class MemoryNetwork;
  friend class VirtualHost;
  using Key = std::pair<Instant, std::uint64_t>;  // deadline and sequence number
  Key schedule(Instant at, std::function<void()> callback);

  boost::asio::io_context& context_;
  Instant now_ = Instant::ms(1000);
  std::uint64_t nextSequence_ = 0;
  std::map<Key, std::function<void()>> events_;
};

/// The clock of one host, which can be frozen. Timers of a frozen host do not fire; those whose deadline has passed
/// fire when the host is thawed, as after SIGSTOP and SIGCONT.
class VirtualHost final : public Clock {
 public:
  /// `clock` must outlive the host.
  explicit VirtualHost(VirtualClock& clock) : clock_(clock) {}
  Instant now() const override { return clock_.now(); }
  std::unique_ptr<Timer> makeTimer() override;
  /// Freezes or thaws the host. The time that now() gives goes on while it is frozen.
  void setFrozen(bool frozen);

 private:
  friend class VirtualTimer;
  VirtualClock& clock_;
  std::vector<class VirtualTimer*> timers_;
  bool frozen_ = false;
};

/// Network impairment: decides whether and when a datagram is delivered. Returns the delay of each copy to be
/// delivered, none if the datagram is lost. May modify the bytes.
using Impairment =
    std::function<std::vector<Span>(iax2::Address from, iax2::Address to, std::vector<std::uint8_t>& bytes)>;

/// A datagram network in memory. Without an impairment each datagram arrives after 0.1 ms.
class MemoryNetwork {
 public:
  /// `clock` must outlive the network.
  explicit MemoryNetwork(VirtualClock& clock) : clock_(clock) {}
  /// Replaces the impairment; it applies to datagrams sent from now on.
  void setImpairment(Impairment impairment) { impairment_ = std::move(impairment); }
  /// Observes each datagram when it is sent and (`delivered`) when it enters the queue of its port. The addresses are
  /// the source and the destination; the bytes are valid only during the call.
  using Tap = std::function<void(Instant, iax2::Address, iax2::Address, std::span<const std::uint8_t>, bool delivered)>;
  /// Replaces the tap; an empty one observes nothing.
  void setTap(Tap tap) { tap_ = std::move(tap); }
  /// Opens a port with this address. The network must outlive it. A datagram that arrives while `capacity` datagrams
  /// wait is dropped.
  std::unique_ptr<Port> openPort(iax2::Address at, std::size_t capacity = 4096);
  /// Freezes or thaws the owner of a port. While it is frozen, datagrams wait in the queue and the owner is not woken.
  void setFrozen(iax2::Address at, bool frozen);

 private:
  friend class MemoryPort;
  void transmit(iax2::Address from, iax2::Address to, std::span<const std::uint8_t> datagram);

  VirtualClock& clock_;
  Impairment impairment_;
  Tap tap_;
  std::map<iax2::Address, class MemoryPort*> ports_;
};

}  // namespace thistlefold::net
