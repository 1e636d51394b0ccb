#include "net/stream_runner.hpp"

#include <poll.h>

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

// Size of one read, and the number of reads in a row from one connection before others are served: a few whole
// messages. A set-up must not be decided on before the data behind it was read, which may be its release or the end of
// the stream.
constexpr std::size_t kReadBytes = std::size_t{16} * 1024;
constexpr int kMaxConsecutiveReads = 8;
// What a client sends beyond one buffer is read while no other client's is, and after a rest of this many times as long
// as the reading took, so that clients at full speed leave most of the core to others.
constexpr int kBulkRestFactor = 2;
// A client that filled a whole turn within this time is a bulk sender: its turns are shorter, and others' go first.
constexpr auto kBulkSenderTime = std::chrono::seconds(1);
constexpr int kBulkSenderReads = 2;
// Linger time for the delivery of the last data after close(). Data received meanwhile is read up to a limit; if it
// stayed unread, the system would send a reset, which could overtake the last data.
constexpr auto kLinger = std::chrono::milliseconds(500);
constexpr std::size_t kMaxLateBytes = std::size_t{256} * 1024;

tcp::endpoint endpoint(iax2::Address at) { return {asio::ip::address_v4(at.ip), at.port}; }

}  // namespace

/// Lets one connection at a time read more than one buffer, with a rest after each.
class BulkReadQueue : public std::enable_shared_from_this<BulkReadQueue> {
 public:
  explicit BulkReadQueue(const asio::any_io_executor& executor) : executor_(executor), rest_(executor) {}

  /// Waits for the turn of a connection. Those of bulk senders come after all others.
  asio::awaitable<void> acquire(bool isBulkSender) {
    if (!std::exchange(isTaken_, true)) co_return;
    const auto turn = std::make_shared<asio::steady_timer>(executor_, asio::steady_timer::time_point::max());
    (isBulkSender ? bulkSenders_ : others_).push_back(turn);
    Error ignored;
    co_await turn->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  /// Ends a turn that took `elapsed` of reading.
  void release(std::chrono::steady_clock::duration elapsed) {
    rest_.expires_after(elapsed * kBulkRestFactor);
    rest_.async_wait([self = shared_from_this()](const Error& error) {
      if (!error) self->passOn();
    });
  }
  /// Ends all waiting and resting.
  void close() {
    rest_.cancel();
    for (auto* queue : {&others_, &bulkSenders_}) {
      for (const auto& turn : *queue) turn->cancel();
      queue->clear();
    }
  }

 private:
  void passOn() {
    auto& queue = others_.empty() ? bulkSenders_ : others_;
    if (queue.empty()) {
      isTaken_ = false;
      return;
    }
    const auto turn = queue.front();
    queue.pop_front();
    turn->cancel();
  }

  asio::any_io_executor executor_;
  asio::steady_timer rest_;
  std::deque<std::shared_ptr<asio::steady_timer>> others_, bulkSenders_;  // waiting, each until it is cancelled
  bool isTaken_ = false;
};

/// State shared by the runner, its streams and the coroutines.
struct StreamRunner::State {
  State(asio::any_io_executor ioExecutor, Clock& sourceClock, std::size_t limit)
      : executor(std::move(ioExecutor)),
        clock(&sourceClock),
        timer(sourceClock.makeTimer()),
        acceptor(executor),
        slotFreed(executor),
        bulkReads(std::make_shared<BulkReadQueue>(executor)),
        maxConnections(limit) {}

  /// Calls into the handler. An exception stops the runner and is reported to `onError`.
  void callGuarded(const std::function<void()>& call) {
    if (stopped) return;
    try {
      call();
    } catch (const std::exception& error) {
      stopped = true;
      onError(error.what());
    }
  }
  void runRound() {
    callGuarded([this] {
      handler->process(clock->now());
      timer->set(handler->nextDeadline());
    });
  }
  /// Schedules one round after everything that is ready by now was read, so that no decision is based on a part of it.
  static void scheduleRound(const std::shared_ptr<State>& self) {
    if (self->roundScheduled) return;
    self->roundScheduled = true;
    asio::post(self->executor, [self] {
      self->roundScheduled = false;
      self->runRound();
    });
  }
  /// Aborts the connection that has been closing for longest. Returns false if none is closing.
  bool evictClosing();
  bool isFull() const { return streams.size() >= maxConnections; }

  asio::any_io_executor executor;
  Clock* clock;
  std::unique_ptr<Timer> timer;
  tcp::acceptor acceptor;
  asio::steady_timer slotFreed;  // cancelled, which wakes the acceptor, when a connection was closed
  std::shared_ptr<BulkReadQueue> bulkReads;
  std::size_t maxConnections;
  StreamHandler* handler = nullptr;
  std::function<void(const char*)> onError;
  std::set<std::shared_ptr<TcpStream>> streams;
  std::deque<std::weak_ptr<TcpStream>> closing;  // lingering after close(), oldest first
  std::array<char, kReadBytes> buffer{};
  bool roundScheduled = false;
  bool stopped = false;
};

/// A TCP connection. Its coroutines keep it alive until they have ended.
class TcpStream final : public Stream, public std::enable_shared_from_this<TcpStream> {
 public:
  TcpStream(std::shared_ptr<StreamRunner::State> runner, tcp::socket socket, bool isAccepted)
      : runner_(std::move(runner)), socket_(std::move(socket)), isAccepted_(isAccepted) {}

  void send(std::string_view bytes) override {
    if (closed_ || !socket_.is_open()) return;
    if (!connected_ || !outgoing_.empty()) {
      outgoing_.append(bytes);
      return;
    }
    Error error;
    const std::size_t sent = socket_.write_some(asio::buffer(bytes), error);
    // A broken connection is detected and reported by the reader.
    if (error && error != asio::error::would_block) return;
    if (sent == bytes.size()) return;
    outgoing_.append(bytes.substr(sent));
    asio::co_spawn(runner_->executor, runWriter(shared_from_this()), asio::detached);
  }
  std::size_t unsentBytes() const override { return outgoing_.size(); }
  bool hasUnreadData() const override {
    Error error;
    return socket_.is_open() && socket_.available(error) > 0 && !error;
  }
  bool hasRemoteClosed() override {
    if (!socket_.is_open()) return false;
    pollfd polled{socket_.native_handle(), POLLRDHUP, 0};
    return ::poll(&polled, 1, 0) > 0 && (polled.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }
  bool isOpen() const { return socket_.is_open(); }
  void close() override {
    if (closed_) return;
    closed_ = true;
    if (!connected_ || !socket_.is_open()) return closeSocket();
    // Entries of connections that are gone are removed, as each would keep its memory otherwise.
    while (!runner_->closing.empty() && runner_->closing.front().expired()) runner_->closing.pop_front();
    runner_->closing.push_back(weak_from_this());
    asio::co_spawn(runner_->executor, runLinger(shared_from_this()), asio::detached);
  }
  void closeAndDrain(LateDataHandler onLateData) override {
    if (!closed_) onLateData_ = std::move(onLateData);
    close();
  }
  void abort() override {
    closed_ = true;
    closeSocket();
  }

  /// Connects, then reads until the stream ends.
  static asio::awaitable<void> runConnect(std::shared_ptr<TcpStream> self, std::shared_ptr<StreamRunner::State> runner,
                                          tcp::endpoint to) {
    Error error;
    co_await self->socket_.async_connect(to, asio::redirect_error(asio::use_awaitable, error));
    if (self->closed_ || runner->stopped) co_return;
    if (error) {
      self->reportClosed(error);
      co_return;
    }
    self->start();
    runner->callGuarded([&] { runner->handler->onConnected(runner->clock->now(), *self); });
    StreamRunner::State::scheduleRound(runner);
    if (!self->outgoing_.empty() && !self->closed_) {
      asio::co_spawn(runner->executor, runWriter(self), asio::detached);
    }
    co_await runReader(self, runner);
  }

  /// Passes received bytes to the handler until the stream ends.
  static asio::awaitable<void> runReader(std::shared_ptr<TcpStream> self, std::shared_ptr<StreamRunner::State> runner) {
    while (!self->closed_ && !runner->stopped) {
      Error error;
      co_await self->socket_.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
      if (self->closed_ || runner->stopped) co_return;
      error = self->readOnce();
      if (!error && self->isAccepted_ && !self->closed_ && self->hasUnreadData()) {
        StreamRunner::State::scheduleRound(runner);
        const bool isBulkSender = std::chrono::steady_clock::now() - self->bulkTurnAt_ < kBulkSenderTime;
        co_await runner->bulkReads->acquire(isBulkSender);
        const auto start = std::chrono::steady_clock::now();
        error = self->readRepeatedly(isBulkSender ? kBulkSenderReads : kMaxConsecutiveReads - 1);
        if (!error) self->bulkTurnAt_ = std::chrono::steady_clock::now();
        if (runner->stopped) co_return;
        runner->bulkReads->release(std::chrono::steady_clock::now() - start);
      } else if (!error) {
        error = self->readRepeatedly(kMaxConsecutiveReads - 1);
      }
      if (self->closed_ || runner->stopped) break;
      if (error && error != asio::error::would_block) {
        self->reportClosed(error);
        break;
      }
      StreamRunner::State::scheduleRound(runner);
    }
    if (!runner->stopped) StreamRunner::State::scheduleRound(runner);
  }

  void start() {
    connected_ = true;
    Error ignored;
    socket_.non_blocking(true, ignored);
    socket_.set_option(tcp::no_delay(true), ignored);
  }

 private:
  /// Passes up to one buffer of received bytes to the handler. Returns the error, if one ended that.
  Error readOnce() {
    Error error;
    const std::size_t received = socket_.read_some(asio::buffer(runner_->buffer), error);
    if (!error)
      runner_->callGuarded([&] {
        runner_->handler->onData(runner_->clock->now(), *this, {runner_->buffer.data(), received});
      });
    return error;
  }
  /// Does so until nothing is left, as often as `limit`. Returns the error that ended it, such as would_block.
  Error readRepeatedly(int limit) {
    Error error;
    for (int reads = 0; reads < limit && !error && !closed_ && !runner_->stopped; ++reads) error = readOnce();
    return error;
  }

  /// Sends the queued bytes.
  static asio::awaitable<void> runWriter(std::shared_ptr<TcpStream> self) {
    while (!self->outgoing_.empty() && self->socket_.is_open()) {
      Error error;
      co_await self->socket_.async_wait(tcp::socket::wait_write, asio::redirect_error(asio::use_awaitable, error));
      if (error || !self->socket_.is_open()) co_return;
      const std::size_t sent = self->socket_.write_some(asio::buffer(self->outgoing_), error);
      if (error && error != asio::error::would_block) co_return;
      self->outgoing_.erase(0, sent);
    }
  }

  /// Sends the queued bytes, half-closes, and reads until the remote end closes or the linger time is over. Received
  /// data goes to the late data handler, if there is one, or is discarded.
  static asio::awaitable<void> runLinger(std::shared_ptr<TcpStream> self) {
    asio::steady_timer timer(self->runner_->executor, kLinger);
    timer.async_wait([self](const Error& error) {
      if (!error) self->closeSocket();
    });
    Error error;
    while (!self->outgoing_.empty() && self->socket_.is_open()) {
      co_await self->socket_.async_wait(tcp::socket::wait_write, asio::redirect_error(asio::use_awaitable, error));
      if (error || !self->socket_.is_open()) break;
      const std::size_t sent = self->socket_.write_some(asio::buffer(self->outgoing_), error);
      if (error && error != asio::error::would_block) break;
      self->outgoing_.erase(0, sent);
    }
    self->socket_.shutdown(tcp::socket::shutdown_send, error);
    std::size_t lateBytes = 0;
    while (self->socket_.is_open() && lateBytes < kMaxLateBytes) {
      co_await self->socket_.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
      if (error || !self->socket_.is_open()) break;
      const std::size_t received = self->socket_.read_some(asio::buffer(self->runner_->buffer), error);
      if (error && error != asio::error::would_block) break;
      lateBytes += received;
      self->passLateData(received);
    }
    timer.cancel();
    self->closeSocket();
  }

  /// Passes bytes from the buffer to the late data handler.
  void passLateData(std::size_t received) {
    if (received == 0 || onLateData_ == nullptr) return;
    runner_->callGuarded([&] { onLateData_(runner_->clock->now(), {runner_->buffer.data(), received}); });
    StreamRunner::State::scheduleRound(runner_);
  }

  void reportClosed(const Error& error) {
    if (closed_) return;
    closed_ = true;
    const CloseReason reason = !connected_                 ? CloseReason::refused
                               : error == asio::error::eof ? CloseReason::closed
                                                           : CloseReason::reset;
    const auto keep = shared_from_this();
    runner_->callGuarded([&] { runner_->handler->onClosed(runner_->clock->now(), *this, reason); });
    closeSocket();
    StreamRunner::State::scheduleRound(runner_);
  }

  void closeSocket() {
    Error ignored;
    if (socket_.is_open()) socket_.close(ignored);
    const auto keep = shared_from_this();
    runner_->streams.erase(keep);
    runner_->slotFreed.cancel();
  }

  std::shared_ptr<StreamRunner::State> runner_;
  tcp::socket socket_;
  std::string outgoing_;
  LateDataHandler onLateData_;
  std::chrono::steady_clock::time_point bulkTurnAt_;  // when it last filled a whole turn
  bool isAccepted_;
  bool connected_ = false;
  bool closed_ = false;
};

bool StreamRunner::State::evictClosing() {
  while (!closing.empty()) {
    const auto oldest = closing.front().lock();
    closing.pop_front();
    if (oldest == nullptr || !oldest->isOpen()) continue;
    oldest->abort();
    return true;
  }
  return false;
}

namespace {

template <typename State>
asio::awaitable<void> runAcceptor(std::shared_ptr<State> state) {
  while (!state->stopped && state->acceptor.is_open()) {
    Error error;
    // The last slot is reserved for the handler's own connections. A closing connection makes room for a new one.
    if (state->streams.size() + 1 >= state->maxConnections && !state->evictClosing()) {
      state->slotFreed.expires_after(std::chrono::milliseconds(50));
      co_await state->slotFreed.async_wait(asio::redirect_error(asio::use_awaitable, error));
      continue;
    }
    tcp::socket socket = co_await state->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
    if (state->stopped || !state->acceptor.is_open()) break;
    if (error) {
      // No file descriptor is left, or the caller has closed already: wait and retry.
      state->evictClosing();
      state->slotFreed.expires_after(std::chrono::milliseconds(10));
      co_await state->slotFreed.async_wait(asio::redirect_error(asio::use_awaitable, error));
      continue;
    }
    const auto stream = std::make_shared<TcpStream>(state, std::move(socket), true);
    state->streams.insert(stream);
    stream->start();
    state->callGuarded([&] { state->handler->onAccepted(state->clock->now(), *stream); });
    asio::co_spawn(state->executor, TcpStream::runReader(stream, state), asio::detached);
  }
}

template <typename State>
asio::awaitable<void> runTimer(std::shared_ptr<State> state) {
  while (!state->stopped) {
    co_await state->timer->asyncWait();
    if (state->stopped) break;
    State::scheduleRound(state);
  }
}

}  // namespace

StreamRunner::StreamRunner(asio::any_io_executor executor, Clock& clock, std::size_t maxConnections)
    : state_(std::make_shared<State>(std::move(executor), clock, maxConnections)) {}

// NOLINTNEXTLINE(bugprone-exception-escape): only cancel() of a timer may throw, and it never fails here
StreamRunner::~StreamRunner() {
  state_->stopped = true;
  state_->timer->close();
  state_->bulkReads->close();
  Error ignored;
  state_->acceptor.close(ignored);
  const auto streams = std::move(state_->streams);
  state_->streams.clear();
  for (const auto& stream : streams) stream->abort();
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

void StreamRunner::serve(StreamHandler& handler, std::function<void(const char*)> onError) {
  state_->handler = &handler;
  state_->onError = std::move(onError);
  state_->timer->set(state_->clock->now());
  asio::co_spawn(state_->executor, runTimer(state_), asio::detached);
  if (state_->acceptor.is_open()) asio::co_spawn(state_->executor, runAcceptor(state_), asio::detached);
}

void StreamRunner::wakeUp() { State::scheduleRound(state_); }

void StreamRunner::stopAccepting() {
  Error ignored;
  state_->acceptor.close(ignored);
}

Stream* StreamRunner::connect(iax2::Address to) {
  if (state_->stopped || (state_->isFull() && !state_->evictClosing())) return nullptr;
  tcp::socket socket(state_->executor);
  Error error;
  socket.open(tcp::v4(), error);
  if (error) return nullptr;
  const auto stream = std::make_shared<TcpStream>(state_, std::move(socket), false);
  state_->streams.insert(stream);
  asio::co_spawn(state_->executor, TcpStream::runConnect(stream, state_, endpoint(to)), asio::detached);
  return stream.get();
}

std::size_t StreamRunner::connectionCount() const { return state_->streams.size(); }

std::size_t StreamRunner::closingCount() const { return state_->closing.size(); }

}  // namespace thistlefold::net
