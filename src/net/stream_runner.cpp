#include "net/stream_runner.hpp"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <deque>
#include <set>

namespace thistlefold::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using Error = boost::system::error_code;

// One read, and how many of one connection before others get theirs: a few whole messages. A caller's set-up is decided
// on only once what lies behind it was read too, be it a release or the end of the stream.
constexpr std::size_t kReadAtOnce = 16 * 1024;
constexpr int kReadsInARow = 8;
// How long what was sent last may take to go out and be taken once a stream is ended, and what is read and thrown
// away meanwhile, so that the system does not answer it with a reset that overtakes the last words.
constexpr auto kLinger = std::chrono::milliseconds(500);
constexpr std::size_t kThrowAway = 256 * 1024;

tcp::endpoint endpoint(iax2::Address at) { return {asio::ip::address_v4(at.ip), at.port}; }

}  // namespace

struct StreamRunner::State {
  State(asio::any_io_executor by, Clock& time, std::size_t bound)
      : executor(std::move(by)),
        clock(&time),
        timer(time.makeTimer()),
        acceptor(executor),
        room(executor),
        most(bound) {}

  void guarded(const std::function<void()>& call) {
    if (over) return;
    try {
      call();
    } catch (const std::exception& failure) {
      over = true;
      fault(failure.what());
    }
  }
  void turn() {
    guarded([this] {
      handler->process(clock->now());
      timer->set(handler->nextDeadline());
    });
  }
  /// One turn after all that is ready to be read by now, so that no decision is made on half of what came.
  static void turnSoon(const std::shared_ptr<State>& self) {
    if (self->turnDue) return;
    self->turnDue = true;
    asio::post(self->executor, [self] {
      self->turnDue = false;
      self->turn();
    });
  }
  /// Cuts the connection that has been closing for longest. False: none is closing.
  bool makeRoom();
  bool full() const { return streams.size() >= most; }

  asio::any_io_executor executor;
  Clock* clock;
  std::unique_ptr<Timer> timer;
  tcp::acceptor acceptor;
  asio::steady_timer room;  // rung when a connection was closed
  std::size_t most;
  StreamHandler* handler = nullptr;
  std::function<void(const char*)> fault;
  std::set<std::shared_ptr<TcpStream>> streams;
  std::deque<std::weak_ptr<TcpStream>> closing;  // ended, in that order
  std::array<char, kReadAtOnce> buffer{};
  bool turnDue = false;
  bool over = false;
};

class TcpStream final : public Stream, public std::enable_shared_from_this<TcpStream> {
 public:
  TcpStream(std::shared_ptr<StreamRunner::State> of, tcp::socket socket)
      : of_(std::move(of)), socket_(std::move(socket)) {}

  void send(std::string_view bytes) override {
    if (ended_ || !socket_.is_open()) return;
    if (!stands_ || !waiting_.empty()) {
      waiting_.append(bytes);
      return;
    }
    Error error;
    const std::size_t sent = socket_.write_some(asio::buffer(bytes), error);
    // A broken connection is told of by the reading side.
    if (error && error != asio::error::would_block) return;
    if (sent == bytes.size()) return;
    waiting_.append(bytes.substr(sent));
    asio::co_spawn(of_->executor, writing(shared_from_this()), asio::detached);
  }
  std::size_t unsent() const override { return waiting_.size(); }
  bool unread() const override {
    Error error;
    return socket_.is_open() && socket_.available(error) > 0 && !error;
  }
  bool open() const { return socket_.is_open(); }
  void end() override {
    if (ended_) return;
    ended_ = true;
    if (!stands_ || !socket_.is_open()) return close();
    // Who has gone is forgotten, or each connection ever ended would keep its memory.
    while (!of_->closing.empty() && of_->closing.front().expired()) of_->closing.pop_front();
    of_->closing.push_back(weak_from_this());
    asio::co_spawn(of_->executor, lingering(shared_from_this()), asio::detached);
  }
  void cut() override {
    ended_ = true;
    close();
  }

  static asio::awaitable<void> dialling(std::shared_ptr<TcpStream> self, std::shared_ptr<StreamRunner::State> of,
                                        tcp::endpoint to) {
    Error error;
    co_await self->socket_.async_connect(to, asio::redirect_error(asio::use_awaitable, error));
    if (self->ended_ || of->over) co_return;
    if (error) {
      self->tellDown(error);
      co_return;
    }
    self->start();
    of->guarded([&] { of->handler->up(of->clock->now(), *self); });
    StreamRunner::State::turnSoon(of);
    if (!self->waiting_.empty() && !self->ended_) {
      asio::co_spawn(of->executor, writing(self), asio::detached);
    }
    co_await reading(self, of);
  }

  static asio::awaitable<void> reading(std::shared_ptr<TcpStream> self, std::shared_ptr<StreamRunner::State> of) {
    while (!self->ended_ && !of->over) {
      Error error;
      co_await self->socket_.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
      if (self->ended_ || of->over) co_return;
      for (int reads = 0; reads < kReadsInARow && !error && !self->ended_ && !of->over; ++reads) {
        const std::size_t got = self->socket_.read_some(asio::buffer(of->buffer), error);
        if (!error) of->guarded([&] { of->handler->read(of->clock->now(), *self, {of->buffer.data(), got}); });
      }
      if (self->ended_ || of->over) break;
      if (error && error != asio::error::would_block) {
        self->tellDown(error);
        break;
      }
      StreamRunner::State::turnSoon(of);
    }
    if (!of->over) StreamRunner::State::turnSoon(of);
  }

  void start() {
    stands_ = true;
    Error ignored;
    socket_.non_blocking(true, ignored);
    socket_.set_option(tcp::no_delay(true), ignored);
  }

 private:
  static asio::awaitable<void> writing(std::shared_ptr<TcpStream> self) {
    while (!self->waiting_.empty() && self->socket_.is_open()) {
      Error error;
      co_await self->socket_.async_wait(tcp::socket::wait_write, asio::redirect_error(asio::use_awaitable, error));
      if (error || !self->socket_.is_open()) co_return;
      const std::size_t sent = self->socket_.write_some(asio::buffer(self->waiting_), error);
      if (error && error != asio::error::would_block) co_return;
      self->waiting_.erase(0, sent);
    }
  }

  static asio::awaitable<void> lingering(std::shared_ptr<TcpStream> self) {
    asio::steady_timer timer(self->of_->executor, kLinger);
    timer.async_wait([self](const Error& error) {
      if (!error) self->close();
    });
    Error error;
    while (!self->waiting_.empty() && self->socket_.is_open()) {
      co_await self->socket_.async_wait(tcp::socket::wait_write, asio::redirect_error(asio::use_awaitable, error));
      if (error || !self->socket_.is_open()) break;
      const std::size_t sent = self->socket_.write_some(asio::buffer(self->waiting_), error);
      if (error && error != asio::error::would_block) break;
      self->waiting_.erase(0, sent);
    }
    self->socket_.shutdown(tcp::socket::shutdown_send, error);
    std::size_t thrown = 0;
    while (self->socket_.is_open() && thrown < kThrowAway) {
      co_await self->socket_.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
      if (error || !self->socket_.is_open()) break;
      const std::size_t got = self->socket_.read_some(asio::buffer(self->of_->buffer), error);
      if (error && error != asio::error::would_block) break;
      thrown += got;
    }
    timer.cancel();
    self->close();
  }

  void tellDown(const Error& error) {
    if (ended_) return;
    ended_ = true;
    const StreamEnd how = !stands_                    ? StreamEnd::refused
                          : error == asio::error::eof ? StreamEnd::closed
                                                      : StreamEnd::reset;
    const auto keep = shared_from_this();
    of_->guarded([&] { of_->handler->down(of_->clock->now(), *this, how); });
    close();
    StreamRunner::State::turnSoon(of_);
  }

  void close() {
    Error ignored;
    if (socket_.is_open()) socket_.close(ignored);
    const auto keep = shared_from_this();
    of_->streams.erase(keep);
    of_->room.cancel();
  }

  std::shared_ptr<StreamRunner::State> of_;
  tcp::socket socket_;
  std::string waiting_;
  bool stands_ = false;
  bool ended_ = false;
};

bool StreamRunner::State::makeRoom() {
  while (!closing.empty()) {
    const auto oldest = closing.front().lock();
    closing.pop_front();
    if (oldest == nullptr || !oldest->open()) continue;
    oldest->cut();
    return true;
  }
  return false;
}

namespace {

template <typename State>
asio::awaitable<void> accepting(std::shared_ptr<State> at) {
  while (!at->over && at->acceptor.is_open()) {
    Error error;
    // The last one is for the party's own dialling. Who is only being closed makes room for who comes.
    if (at->streams.size() + 1 >= at->most && !at->makeRoom()) {
      at->room.expires_after(std::chrono::milliseconds(50));
      co_await at->room.async_wait(asio::redirect_error(asio::use_awaitable, error));
      continue;
    }
    tcp::socket socket = co_await at->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
    if (at->over || !at->acceptor.is_open()) break;
    if (error) {
      // No descriptor left, or the caller is gone again: nothing to do but wait.
      at->makeRoom();
      at->room.expires_after(std::chrono::milliseconds(10));
      co_await at->room.async_wait(asio::redirect_error(asio::use_awaitable, error));
      continue;
    }
    const auto stream = std::make_shared<TcpStream>(at, std::move(socket));
    at->streams.insert(stream);
    stream->start();
    at->guarded([&] { at->handler->came(at->clock->now(), *stream); });
    asio::co_spawn(at->executor, TcpStream::reading(stream, at), asio::detached);
  }
}

template <typename State>
asio::awaitable<void> ticking(std::shared_ptr<State> at) {
  while (!at->over) {
    co_await at->timer->asyncWait();
    if (at->over) break;
    State::turnSoon(at);
  }
}

}  // namespace

StreamRunner::StreamRunner(asio::any_io_executor executor, Clock& clock, std::size_t most)
    : state_(std::make_shared<State>(std::move(executor), clock, most)) {}

StreamRunner::~StreamRunner() {
  state_->over = true;
  state_->timer->close();
  Error ignored;
  state_->acceptor.close(ignored);
  const auto streams = std::move(state_->streams);
  state_->streams.clear();
  for (const auto& stream : streams) stream->cut();
}

iax2::Address StreamRunner::listen(iax2::Address at) {
  try {
    auto& acceptor = state_->acceptor;
    acceptor.open(tcp::v4());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint(at));
    acceptor.listen();
    const auto local = acceptor.local_endpoint();
    return {local.address().to_v4().to_uint(), local.port()};
  } catch (const boost::system::system_error& error) {
    throw std::runtime_error(iax2::text(at) + ": can't listen there: " + error.code().message());
  }
}

void StreamRunner::attend(StreamHandler& handler, std::function<void(const char*)> fault) {
  state_->handler = &handler;
  state_->fault = std::move(fault);
  state_->timer->set(state_->clock->now());
  asio::co_spawn(state_->executor, ticking(state_), asio::detached);
  if (state_->acceptor.is_open()) asio::co_spawn(state_->executor, accepting(state_), asio::detached);
}

void StreamRunner::wakeUp() { State::turnSoon(state_); }

void StreamRunner::deafen() {
  Error ignored;
  state_->acceptor.close(ignored);
}

Stream* StreamRunner::dial(iax2::Address to) {
  if (state_->over || (state_->full() && !state_->makeRoom())) return nullptr;
  tcp::socket socket(state_->executor);
  Error error;
  socket.open(tcp::v4(), error);
  if (error) return nullptr;
  const auto stream = std::make_shared<TcpStream>(state_, std::move(socket));
  state_->streams.insert(stream);
  asio::co_spawn(state_->executor, TcpStream::dialling(stream, state_, endpoint(to)), asio::detached);
  return stream.get();
}

std::size_t StreamRunner::held() const { return state_->streams.size(); }

std::size_t StreamRunner::closing() const { return state_->closing.size(); }

}  // namespace thistlefold::net
