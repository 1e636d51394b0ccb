#include "net/real.hpp"

#include <sys/socket.h>

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>

namespace thistlefold::net {
namespace {

namespace asio = boost::asio;
using Steady = std::chrono::steady_clock;

// The steady clock begins with the host, so what an office says of its start would go back when a host is started anew,
// and another office would take it for the earlier one. Counted from the day's time as it was when this process began,
// it goes on, and still never jumps.
Span ofDay() {
  using std::chrono::duration;
  return Span::ms(duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch()).count() -
                  duration<double, std::milli>(Steady::now().time_since_epoch()).count());
}

Instant instant(Steady::time_point at) {
  return Instant::ms(std::chrono::duration<double, std::milli>(at.time_since_epoch()).count());
}

Steady::time_point timePoint(Instant at) {
  // Thirty years: far beyond any session, and in nanoseconds still within the clock's 64 bits. Past them the wait
  // would be over at once and its coroutine spin.
  const double ms = std::min((at - Instant()).ms(), 1e12);
  return Steady::time_point(
      std::chrono::duration_cast<Steady::duration>(std::chrono::duration<double, std::milli>(std::max(ms, 0.0))));
}

class RealTimer final : public Timer {
 public:
  RealTimer(const asio::any_io_executor& executor, Span ofDay)
      : timer_(executor, Steady::time_point::max()), ofDay_(ofDay) {}

  void set(Instant at) override {
    if (closed_ || at == at_) return;
    at_ = at;
    timer_.expires_at(timePoint(at - ofDay_));  // ends the wait, which then begins anew
  }
  asio::awaitable<void> asyncWait() override {
    while (!closed_) {
      boost::system::error_code error;
      co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, error));
      if (!error) {
        at_ = Instant::never();
        timer_.expires_at(timePoint(at_));
        co_return;
      }
    }
  }
  void close() override {
    closed_ = true;
    timer_.cancel();
  }

 private:
  asio::steady_timer timer_;
  Span ofDay_;
  Instant at_ = Instant::never();
  bool closed_ = false;
};

class RealClock final : public Clock {
 public:
  explicit RealClock(asio::any_io_executor executor) : executor_(std::move(executor)) {}
  Instant now() const override { return instant(Steady::now()) + ofDay_; }
  std::unique_ptr<Timer> makeTimer() override { return std::make_unique<RealTimer>(executor_, ofDay_); }

 private:
  const Span ofDay_ = ofDay();
  asio::any_io_executor executor_;
};

// Two seconds' stop of a busy office's process, at some thousand datagrams a second of about 800 bytes each as the
// system counts them. What the system does not grant is told in counts().
constexpr int kReceiveBuffer = 4 << 20;

sockaddr_in socketAddress(iax2::Address at) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_addr.s_addr = htonl(at.ip);
  out.sin_port = htons(at.port);
  return out;
}

class UdpPort final : public RealPort {
 public:
  UdpPort(const asio::any_io_executor& executor, iax2::Address at) : socket_(executor) {
    const asio::ip::udp::endpoint endpoint(asio::ip::address_v4(at.ip), at.port);
    socket_.open(endpoint.protocol());
    const int fd = socket_.native_handle();
    // More than the system's usual bound where that is allowed, the bound where it is not.
    if (::setsockopt(fd, SOL_SOCKET, SO_RCVBUFFORCE, &kReceiveBuffer, sizeof kReceiveBuffer) != 0) {
      ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer, sizeof kReceiveBuffer);
    }
    socklen_t length = sizeof counters_.receiveBufferBytes;
    ::getsockopt(fd, SOL_SOCKET, SO_RCVBUF, &counters_.receiveBufferBytes, &length);
    socket_.bind(endpoint);
    socket_.non_blocking(true);
    const auto local = socket_.local_endpoint();
    address_ = {local.address().to_v4().to_uint(), local.port()};
    for (std::size_t i = 0; i < kAtOnce; ++i) {
      parts_[i] = {buffers_[i].data(), buffers_[i].size()};
      heads_[i].msg_hdr = {};
      heads_[i].msg_hdr.msg_iov = &parts_[i];
      heads_[i].msg_hdr.msg_iovlen = 1;
      heads_[i].msg_hdr.msg_name = &senders_[i];
    }
  }

  iax2::Address address() const override { return address_; }
  asio::awaitable<void> readable() override {
    boost::system::error_code error;
    co_await socket_.async_wait(asio::ip::udp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
  }
  std::size_t drain(std::size_t most,
                    const std::function<void(iax2::Address, std::span<const std::uint8_t>)>& take) override {
    std::size_t taken = 0;
    while (taken < most && socket_.is_open()) {
      const auto wanted = static_cast<unsigned>(std::min(most - taken, kAtOnce));
      for (unsigned i = 0; i < wanted; ++i) heads_[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
      const int got = ::recvmmsg(socket_.native_handle(), heads_.data(), wanted, MSG_DONTWAIT, nullptr);
      if (got <= 0) break;
      for (int i = 0; i < got; ++i) {
        const auto k = static_cast<std::size_t>(i);
        const iax2::Address from{ntohl(senders_[k].sin_addr.s_addr), ntohs(senders_[k].sin_port)};
        take(from, {buffers_[k].data(), heads_[k].msg_len});
      }
      counters_.in += static_cast<std::uint64_t>(got);
      taken += static_cast<std::size_t>(got);
      if (static_cast<unsigned>(got) < wanted) break;
    }
    return taken;
  }
  void send(iax2::Address to, std::span<const std::uint8_t> datagram) override {
    if (!socket_.is_open()) return;
    const sockaddr_in at = socketAddress(to);
    const auto sent = ::sendto(socket_.native_handle(), datagram.data(), datagram.size(), MSG_DONTWAIT,
                               reinterpret_cast<const sockaddr*>(&at), sizeof at);
    ++(sent < 0 ? counters_.lost : counters_.out);
  }
  void close() override {
    boost::system::error_code ignored;
    if (socket_.is_open()) socket_.close(ignored);
  }
  bool closed() const override { return !socket_.is_open(); }
  const PortCounters& counters() const override { return counters_; }

 private:
  static constexpr std::size_t kAtOnce = 32;  // a system call each; more measured no faster
  asio::ip::udp::socket socket_;
  iax2::Address address_;
  PortCounters counters_;
  // Lists of a large fleet are longer than a signalling frame.
  std::array<std::array<std::uint8_t, 65536>, kAtOnce> buffers_;
  std::array<sockaddr_in, kAtOnce> senders_{};
  std::array<iovec, kAtOnce> parts_{};
  std::array<mmsghdr, kAtOnce> heads_{};
};

}  // namespace

std::unique_ptr<Clock> makeRealClock(asio::any_io_executor executor) {
  return std::make_unique<RealClock>(std::move(executor));
}

std::unique_ptr<RealPort> bindPort(asio::any_io_executor executor, iax2::Address at) {
  try {
    return std::make_unique<UdpPort>(executor, at);
  } catch (const boost::system::system_error& error) {
    throw std::runtime_error(iax2::text(at) + ": can't listen there: " + error.code().message());
  }
}

}  // namespace thistlefold::net
