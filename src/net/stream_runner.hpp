#pragma once

// TCP streams by Boost.Asio coroutines: one handler with its listening socket and the connections it opens.

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>

#include "net/clock.hpp"
#include "stream_handler.hpp"

namespace thistlefold::net {

class TcpStream;

/// Runs a stream handler. Accepts and opens connections within a limit.
class StreamRunner final : public StreamConnector {
 public:
  /// `clock` must outlive the runner. `maxConnections` is the number of connections held at once. At the limit, closing
  /// connections are aborted first, the oldest before others. If none is closing, new callers wait in the listen
  /// backlog, already from one connection below the limit, and connect() returns nullptr.
  StreamRunner(boost::asio::any_io_executor executor, Clock& clock, std::size_t maxConnections);
  // NOLINTNEXTLINE(bugprone-exception-escape): only cancel() of a timer may throw, and it never fails here
  ~StreamRunner() override;

  /// Binds the listening socket; port 0 selects a free one. Returns the bound address. Throws std::runtime_error, which
  /// names the address, on failure.
  iax2::Address listen(iax2::Address at);
  /// Starts to accept connections and to call the handler, which must stay valid while the executor runs. If a callback
  /// throws, `onError` receives the text of the exception and no further callback follows.
  void serve(StreamHandler& handler, std::function<void(const char*)> onError);
  /// Requests a round at once. To be called after the handler was changed from outside a round.
  void wakeUp();
  /// Closes the listening socket. Existing connections stay.
  void stopAccepting();

  Stream* connect(iax2::Address to) override;
  /// Number of connections, including those that are closing.
  std::size_t connectionCount() const;
  /// Number of closing connections that are remembered as candidates for eviction.
  std::size_t closingCount() const;

 private:
  friend class TcpStream;
  struct State;
  std::shared_ptr<State> state_;  // shared with the coroutines, which keep it until they have ended
};

}  // namespace thistlefold::net
