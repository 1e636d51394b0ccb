#include "net/virtual.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>

namespace thistlefold::net {
namespace {

namespace asio = boost::asio;

/// Something a coroutine waits for that is not of the real world. The timer in it never expires; it is the
/// cheapest thing of Asio that can be woken from the same thread.
class Bell {
 public:
  explicit Bell(asio::io_context& context) : timer_(context, asio::steady_timer::time_point::max()) {}
  asio::awaitable<void> wait() {
    boost::system::error_code ignored;
    co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  void ring() { timer_.cancel(); }

 private:
  asio::steady_timer timer_;
};

}  // namespace

class VirtualTimer final : public Timer {
 public:
  VirtualTimer(VirtualClock& clock, asio::io_context& context, VirtualHost* host)
      : clock_(clock), bell_(context), host_(host) {
    if (host_ != nullptr) host_->timers_.push_back(this);
  }
  ~VirtualTimer() override {
    clear();
    if (host_ != nullptr) std::erase(host_->timers_, this);
  }

  void set(Instant at) override {
    if (closed_ || (entered_ && at == key_.first)) return;
    clear();
    if (at == Instant::never()) return;
    key_ = clock_.enter(at, [this] {
      entered_ = false;
      rang_ = true;
      if (!frozen()) bell_.ring();
    });
    entered_ = true;
  }
  asio::awaitable<void> asyncWait() override {
    while (!closed_ && (!rang_ || frozen())) co_await bell_.wait();
    rang_ = false;
  }
  void close() override {
    closed_ = true;
    clear();
    bell_.ring();
  }
  void thaw() { bell_.ring(); }

 private:
  bool frozen() const { return host_ != nullptr && host_->frozen_; }
  void clear() {
    if (entered_) clock_.due_.erase(key_);
    entered_ = false;
  }
  VirtualClock& clock_;
  Bell bell_;
  VirtualHost* host_;
  VirtualClock::Key key_;
  bool entered_ = false;
  bool rang_ = false;
  bool closed_ = false;
};

VirtualClock::~VirtualClock() = default;

std::unique_ptr<Timer> VirtualClock::makeTimer() { return std::make_unique<VirtualTimer>(*this, context_, nullptr); }

std::unique_ptr<Timer> VirtualHost::makeTimer() {
  return std::make_unique<VirtualTimer>(clock_, clock_.context_, this);
}

void VirtualHost::setFrozen(bool frozen) {
  frozen_ = frozen;
  if (frozen) return;
  for (VirtualTimer* timer : timers_) timer->thaw();
}

VirtualClock::Key VirtualClock::enter(Instant at, std::function<void()> what) {
  const Key key{std::max(at, now_), order_++};
  due_[key] = std::move(what);
  return key;
}

void VirtualClock::callAt(Instant at, std::function<void()> what) { enter(at, std::move(what)); }

void VirtualClock::runUntil(Instant end) {
  for (;;) {
    context_.restart();
    context_.poll();
    if (due_.empty() || due_.begin()->first.first > end) break;
    now_ = std::max(now_, due_.begin()->first.first);
    const auto what = std::move(due_.begin()->second);
    due_.erase(due_.begin());
    what();
  }
  now_ = std::max(now_, end);
}

class MemoryPort final : public Port {
 public:
  MemoryPort(MemoryNetwork& network, asio::io_context& context, iax2::Address at, std::size_t room)
      : network_(network), bell_(context), address_(at), room_(room) {
    network_.ports_[at] = this;
  }
  ~MemoryPort() override { close(); }

  iax2::Address address() const override { return address_; }
  asio::awaitable<void> readable() override {
    while (!closed_ && (queue_.empty() || frozen_)) co_await bell_.wait();
  }
  std::size_t drain(std::size_t most,
                    const std::function<void(iax2::Address, std::span<const std::uint8_t>)>& take) override {
    std::size_t taken = 0;
    for (; taken < most && !queue_.empty() && !frozen_; ++taken) {
      const auto [from, bytes] = std::move(queue_.front());
      queue_.pop_front();
      take(from, bytes);
    }
    return taken;
  }
  void send(iax2::Address to, std::span<const std::uint8_t> datagram) override {
    if (!closed_) network_.carry(address_, to, datagram);
  }
  void close() override {
    if (closed_) return;
    closed_ = true;
    network_.ports_.erase(address_);
    bell_.ring();
  }
  bool closed() const override { return closed_; }

  bool arrive(iax2::Address from, std::vector<std::uint8_t> bytes) {
    if (queue_.size() >= room_) return false;
    queue_.emplace_back(from, std::move(bytes));
    if (!frozen_) bell_.ring();
    return true;
  }
  void setFrozen(bool frozen) {
    frozen_ = frozen;
    if (!frozen) bell_.ring();
  }

 private:
  MemoryNetwork& network_;
  Bell bell_;
  iax2::Address address_;
  std::size_t room_;
  std::deque<std::pair<iax2::Address, std::vector<std::uint8_t>>> queue_;
  bool frozen_ = false;
  bool closed_ = false;
};

std::unique_ptr<Port> MemoryNetwork::openPort(iax2::Address at, std::size_t room) {
  return std::make_unique<MemoryPort>(*this, clock_.context_, at, room);
}

void MemoryNetwork::setFrozen(iax2::Address at, bool frozen) {
  const auto port = ports_.find(at);
  if (port != ports_.end()) port->second->setFrozen(frozen);
}

void MemoryNetwork::carry(iax2::Address from, iax2::Address to, std::span<const std::uint8_t> datagram) {
  std::vector<std::uint8_t> bytes(datagram.begin(), datagram.end());
  if (tap_) tap_(clock_.now(), from, to, datagram, false);
  const std::vector<Span> copies = impairment_ ? impairment_(from, to, bytes) : std::vector<Span>{Span::ms(0.1)};
  for (const Span delay : copies) {
    clock_.callAt(clock_.now() + delay, [this, from, to, bytes] {
      const auto port = ports_.find(to);
      if (port == ports_.end() || !port->second->arrive(from, bytes)) return;
      if (tap_) tap_(clock_.now(), from, to, bytes, true);
    });
  }
}

}  // namespace thistlefold::net
