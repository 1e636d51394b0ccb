#pragma once

// The seams on a clock that only advances when nothing is left to do, and on a network in memory. One thread.

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

/// Virtual time over an io_context. Alarms ring in order of instant, then of the order in which they were set.
class VirtualClock final : public Clock {
 public:
  explicit VirtualClock(boost::asio::io_context& context) : context_(context) {}
  ~VirtualClock() override;

  Instant now() const override { return now_; }
  std::unique_ptr<Timer> makeTimer() override;
  /// Calls `what` at `at`, or now if that is past.
  void callAt(Instant at, std::function<void()> what);
  /// Runs all that is ready and due, in order of time, until `end`.
  void runUntil(Instant end);

 private:
  friend class VirtualTimer;
  friend class MemoryNetwork;
  friend class VirtualHost;
  using Key = std::pair<Instant, std::uint64_t>;
  Key enter(Instant at, std::function<void()> what);

  boost::asio::io_context& context_;
  Instant now_ = Instant::ms(1000);
  std::uint64_t order_ = 0;
  std::map<Key, std::function<void()>> due_;
};

/// The clock as one host sees it: while the host is frozen its alarms ring for nobody, and all of them that fell
/// due ring when it is thawed, as after SIGSTOP and SIGCONT.
class VirtualHost final : public Clock {
 public:
  explicit VirtualHost(VirtualClock& clock) : clock_(clock) {}
  Instant now() const override { return clock_.now(); }
  std::unique_ptr<Timer> makeTimer() override;
  void setFrozen(bool frozen);

 private:
  friend class VirtualTimer;
  VirtualClock& clock_;
  std::vector<class VirtualTimer*> timers_;
  bool frozen_ = false;
};

/// What becomes of one datagram: a delay for each copy that is delivered, none if it is lost. May change the bytes.
using Impairment =
    std::function<std::vector<Span>(iax2::Address from, iax2::Address to, std::vector<std::uint8_t>& bytes)>;

class MemoryNetwork {
 public:
  explicit MemoryNetwork(VirtualClock& clock) : clock_(clock) {}
  void setImpairment(Impairment impairment) { impairment_ = std::move(impairment); }
  /// Sees each datagram when it is sent and (`delivered`) when a port takes it into its queue.
  using Tap = std::function<void(Instant, iax2::Address, iax2::Address, std::span<const std::uint8_t>, bool delivered)>;
  void setTap(Tap tap) { tap_ = std::move(tap); }
  /// A port of this address; the network must outlive it. At most `room` datagrams wait in it.
  std::unique_ptr<Port> openPort(iax2::Address at, std::size_t room = 4096);
  /// While held, a port's owner is frozen: datagrams wait in its queue, but nobody is woken.
  void setFrozen(iax2::Address at, bool frozen);

 private:
  friend class MemoryPort;
  void carry(iax2::Address from, iax2::Address to, std::span<const std::uint8_t> datagram);

  VirtualClock& clock_;
  Impairment impairment_;
  Tap tap_;
  std::map<iax2::Address, class MemoryPort*> ports_;
};

}  // namespace thistlefold::net
