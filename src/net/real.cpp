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

// Difference between the system time and the steady clock. The steady clock starts with the host, so after a reboot an
// office would report an earlier start than before, and other offices would take it for the previous process. With the
// difference as it was when this process started added, the time continues over a reboot and still never jumps.
Span systemTimeOffset() {
  using std::chrono::duration;
  return Span::ms(duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch()).count() -
                  duration<double, std::milli>(Steady::now().time_since_epoch()).count());
}

Instant toInstant(Steady::time_point at) {
  return Instant::ms(std::chrono::duration<double, std::milli>(at.time_since_epoch()).count());
}

Steady::time_point toTimePoint(Instant at) {
  // At most 1e12 ms (some thirty years), which is far beyond any session and in nanoseconds still fits the clock's 64
  // bits. Beyond those the wait would end at once and its coroutine would spin.
  const double ms = std::min((at - Instant()).ms(), 1e12);
  return Steady::time_point(
      std::chrono::duration_cast<Steady::duration>(std::chrono::duration<double, std::milli>(std::max(ms, 0.0))));
}

class RealTimer final : public Timer {
 public:
  RealTimer(const asio::any_io_executor& executor, Span offset)
      : timer_(executor, Steady::time_point::max()), offset_(offset) {}

  void set(Instant at) override {
    if (closed_ || at == at_) return;
    at_ = at;
    timer_.expires_at(toTimePoint(at - offset_));  // ends the wait, which asyncWait() then begins again
  }
  asio::awaitable<void> asyncWait() override {
    while (!closed_) {
      boost::system::error_code error;
      co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, error));
      if (!error) {
        at_ = Instant::never();
        timer_.expires_at(toTimePoint(at_));
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
  Span offset_;
  Instant at_ = Instant::never();
  bool closed_ = false;
};

class RealClock final : public Clock {
 public:
  explicit RealClock(asio::any_io_executor executor) : executor_(std::move(executor)) {}
  Instant now() const override { return toInstant(Steady::now()) + offset_; }
  std::unique_ptr<Timer> makeTimer() override { return std::make_unique<RealTimer>(executor_, offset_); }

 private:
  const Span offset_ = systemTimeOffset();
  asio::any_io_executor executor_;
};

// Holds what arrives while the process of a busy office is stopped for two seconds, at some thousand datagrams a second
// of about 800 bytes each as the system counts them. counters() reports the size that the system granted.
constexpr int kReceiveBufferBytes = 4 << 20;

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
    // Exceeds the system's limit if the process may do so, otherwise gets at most that limit.
    if (::setsockopt(fd, SOL_SOCKET, SO_RCVBUFFORCE, &kReceiveBufferBytes, sizeof kReceiveBufferBytes) != 0) {
      ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes, sizeof kReceiveBufferBytes);
    }
    socklen_t length = sizeof counters_.receiveBufferBytes;
    ::getsockopt(fd, SOL_SOCKET, SO_RCVBUF, &counters_.receiveBufferBytes, &length);
    socket_.bind(endpoint);
    socket_.non_blocking(true);
    const auto local = socket_.local_endpoint();
    address_ = {local.address().to_v4().to_uint(), local.port()};
    for (std::size_t i = 0; i < kBatchSize; ++i) {
      parts_[i] = {buffers_[i].data(), buffers_[i].size()};
      headers_[i].msg_hdr = {};
      headers_[i].msg_hdr.msg_iov = &parts_[i];
      headers_[i].msg_hdr.msg_iovlen = 1;
      headers_[i].msg_hdr.msg_name = &senders_[i];
    }
  }

  iax2::Address address() const override { return address_; }
  asio::awaitable<void> asyncWaitReadable() override {
    boost::system::error_code error;
    co_await socket_.async_wait(asio::ip::udp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
  }
  std::size_t drain(std::size_t maxCount,
                    const std::function<void(iax2::Address, std::span<const std::uint8_t>)>& receive) override {
    std::size_t count = 0;
    while (count < maxCount && socket_.is_open()) {
      const auto wanted = static_cast<unsigned>(std::min(maxCount - count, kBatchSize));
      for (unsigned i = 0; i < wanted; ++i) headers_[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
      const int received = ::recvmmsg(socket_.native_handle(), headers_.data(), wanted, MSG_DONTWAIT, nullptr);
      if (received <= 0) break;
      for (int i = 0; i < received; ++i) {
        const auto index = static_cast<std::size_t>(i);
        const iax2::Address from{ntohl(senders_[index].sin_addr.s_addr), ntohs(senders_[index].sin_port)};
        receive(from, {buffers_[index].data(), headers_[index].msg_len});
      }
      counters_.received += static_cast<std::uint64_t>(received);
      count += static_cast<std::size_t>(received);
      if (static_cast<unsigned>(received) < wanted) break;
    }
    return count;
  }
  void send(iax2::Address to, std::span<const std::uint8_t> datagram) override {
    if (!socket_.is_open()) return;
    const sockaddr_in at = socketAddress(to);
    const auto sent = ::sendto(socket_.native_handle(), datagram.data(), datagram.size(), MSG_DONTWAIT,
                               reinterpret_cast<const sockaddr*>(&at), sizeof at);
    ++(sent < 0 ? counters_.dropped : counters_.sent);
  }
  void close() override {
    boost::system::error_code ignored;
    if (socket_.is_open()) socket_.close(ignored);
  }
  bool closed() const override { return !socket_.is_open(); }
  const PortCounters& counters() const override { return counters_; }

 private:
  static constexpr std::size_t kBatchSize = 32;  // datagrams per system call; a larger batch is no faster
  asio::ip::udp::socket socket_;
  iax2::Address address_;
  PortCounters counters_;
  // Room for any datagram: the exchange lists of a large fleet are longer than a signalling frame.
  std::array<std::array<std::uint8_t, 65536>, kBatchSize> buffers_;
  std::array<sockaddr_in, kBatchSize> senders_{};
  std::array<iovec, kBatchSize> parts_{};
  std::array<mmsghdr, kBatchSize> headers_{};
};

}  // namespace

std::unique_ptr<Clock> makeRealClock(asio::any_io_executor executor) {
  return std::make_unique<RealClock>(std::move(executor));
}

std::unique_ptr<RealPort> bindPort(const asio::any_io_executor& executor, iax2::Address at) {
  try {
    return std::make_unique<UdpPort>(executor, at);
  } catch (const boost::system::system_error& error) {
    throw std::runtime_error(iax2::text(at) + ": can't listen there: " + error.code().message());
  }
}

}  // namespace thistlefold::net
