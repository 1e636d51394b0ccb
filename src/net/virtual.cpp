#include "net/virtual.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>

namespace thistlefold::net {
namespace {

namespace asio = boost::asio;

/// Wakes a coroutine without real time passing. The timer in it never expires; waiting is ended by cancelling it, which
/// is the lowest-cost means of Asio to wake a coroutine from the same thread.
class Notifier {
 public:
  explicit Notifier(asio::io_context& context) : timer_(context, asio::steady_timer::time_point::max()) {}
  asio::awaitable<void> wait() {
    boost::system::error_code ignored;
    co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  void notify() { timer_.cancel(); }

 private:
  asio::steady_timer timer_;
};

}  // namespace

class VirtualTimer final : public Timer {
 public:
  VirtualTimer(VirtualClock& clock, asio::io_context& context, VirtualHost* host)
      : clock_(clock), notifier_(context), host_(host) {
    if (host_ != nullptr) host_->timers_.push_back(this);
  }
  ~VirtualTimer() override {
    cancel();
    if (host_ != nullptr) std::erase(host_->timers_, this);
  }

  void set(Instant at) override {
    if (closed_ || (scheduled_ && at == key_.first)) return;
    cancel();
    if (at == Instant::never()) return;
    key_ = clock_.schedule(at, [this] {
      scheduled_ = false;
      fired_ = true;
      if (!isFrozen()) notifier_.notify();
    });
    scheduled_ = true;
  }
  asio::awaitable<void> asyncWait() override {
    while (!closed_ && (!fired_ || isFrozen())) co_await notifier_.wait();
    fired_ = false;
  }
  void close() override {
    closed_ = true;
    cancel();
    notifier_.notify();
  }
  void resume() { notifier_.notify(); }

 private:
  bool isFrozen() const { return host_ != nullptr && host_->frozen_; }
  void cancel() {
    if (scheduled_) clock_.events_.erase(key_);
    scheduled_ = false;
  }
  VirtualClock& clock_;
  Notifier notifier_;
  VirtualHost* host_;
  VirtualClock::Key key_;
  bool scheduled_ = false;
  bool fired_ = false;
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
  for (VirtualTimer* timer : timers_) timer->resume();
}

VirtualClock::Key VirtualClock::schedule(Instant at, std::function<void()> callback) {
  const Key key{std::max(at, now_), nextSequence_++};
  events_[key] = std::move(callback);
  return key;
}

void VirtualClock::callAt(Instant at, std::function<void()> callback) { schedule(at, std::move(callback)); }

void VirtualClock::runUntil(Instant end) {
  for (;;) {
    context_.restart();
    context_.poll();
    if (events_.empty() || events_.begin()->first.first > end) break;
    now_ = std::max(now_, events_.begin()->first.first);
    const auto callback = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    callback();
  }
  now_ = std::max(now_, end);
}

class MemoryPort final : public Port {
 public:
  MemoryPort(MemoryNetwork& network, asio::io_context& context, iax2::Address at, std::size_t capacity)
      : network_(network), notifier_(context), address_(at), capacity_(capacity) {
    network_.ports_[at] = this;
  }
  // NOLINTNEXTLINE(bugprone-exception-escape): only cancel() of a timer may throw, and it never fails here
  ~MemoryPort() override { close(); }

  iax2::Address address() const override { return address_; }
  asio::awaitable<void> asyncWaitReadable() override {
    while (!closed_ && (queue_.empty() || frozen_)) co_await notifier_.wait();
  }
  std::size_t drain(std::size_t maxCount,
                    const std::function<void(iax2::Address, std::span<const std::uint8_t>)>& receive) override {
    std::size_t count = 0;
    for (; count < maxCount && !queue_.empty() && !frozen_; ++count) {
      const auto [from, bytes] = std::move(queue_.front());
      queue_.pop_front();
      receive(from, bytes);
    }
    return count;
  }
  void send(iax2::Address to, std::span<const std::uint8_t> datagram) override {
    if (!closed_) network_.transmit(address_, to, datagram);
  }
  void close() override {
    if (closed_) return;
    closed_ = true;
    network_.ports_.erase(address_);
    notifier_.notify();
  }
  bool closed() const override { return closed_; }

  bool enqueue(iax2::Address from, std::vector<std::uint8_t> bytes) {
    if (queue_.size() >= capacity_) return false;
    queue_.emplace_back(from, std::move(bytes));
    if (!frozen_) notifier_.notify();
    return true;
  }
  void setFrozen(bool frozen) {
    frozen_ = frozen;
    if (!frozen) notifier_.notify();
  }

 private:
  MemoryNetwork& network_;
  Notifier notifier_;
  iax2::Address address_;
  std::size_t capacity_;
  std::deque<std::pair<iax2::Address, std::vector<std::uint8_t>>> queue_;
  bool frozen_ = false;
  bool closed_ = false;
};

std::unique_ptr<Port> MemoryNetwork::openPort(iax2::Address at, std::size_t capacity) {
  return std::make_unique<MemoryPort>(*this, clock_.context_, at, capacity);
}

void MemoryNetwork::setFrozen(iax2::Address at, bool frozen) {
  const auto port = ports_.find(at);
  if (port != ports_.end()) port->second->setFrozen(frozen);
}

void MemoryNetwork::transmit(iax2::Address from, iax2::Address to, std::span<const std::uint8_t> datagram) {
  std::vector<std::uint8_t> bytes(datagram.begin(), datagram.end());
  if (tap_) tap_(clock_.now(), from, to, datagram, false);
  const std::vector<Span> copies = impairment_ ? impairment_(from, to, bytes) : std::vector<Span>{Span::ms(0.1)};
  for (const Span delay : copies) {
    clock_.callAt(clock_.now() + delay, [this, from, to, bytes] {
      const auto port = ports_.find(to);
      if (port == ports_.end() || !port->second->enqueue(from, bytes)) return;
      if (tap_) tap_(clock_.now(), from, to, bytes, true);
    });
  }
}

}  // namespace thistlefold::net
