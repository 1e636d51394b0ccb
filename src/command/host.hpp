#pragma once

// Runs a datagram handler on a UDP socket, for the commands that serve one.

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <memory>
#include <string>

#include "net/datagram_runner.hpp"
#include "net/real.hpp"

namespace thistlefold::command {

/// A UDP socket, a real-time clock and the event loop that runs a datagram handler on them, all in the calling thread.
/// The command adds its signal handlers to the loop through context().
class Host {
 public:
  /// Binds the socket; port 0 picks a free port. Throws std::runtime_error if the address can't be bound.
  explicit Host(iax2::Address listen)
      : clock_(net::makeRealClock(context_.get_executor())), port_(net::bindPort(context_.get_executor(), listen)) {}

  /// The real-time clock. It and the socket live as long as the host.
  net::Clock& clock() { return *clock_; }
  /// The bound socket.
  net::RealPort& port() { return *port_; }
  /// The event loop, which runs only during run().
  boost::asio::io_context& context() { return context_; }
  /// Runs the handler. Exists only during run().
  net::DatagramRunner& runner() { return *runner_; }

  /// Runs the handler until stop() is called or the socket or the handler fails; then closes the socket and runs the
  /// event handlers that are still pending. Throws std::runtime_error after a failure. To be called once.
  void run(DatagramHandler& handler) {
    std::string failure;
    runner_ = std::make_unique<net::DatagramRunner>(context_.get_executor(), handler, *port_, *clock_,
                                                    [&](const char* message) {
                                                      failure = message;
                                                      context_.stop();
                                                    });
    context_.run();
    port_->close();
    runner_.reset();
    context_.restart();
    context_.poll();
    if (!failure.empty()) throw std::runtime_error("terminated by an exception: " + failure);
  }
  /// Makes run() return.
  void stop() { context_.stop(); }

 private:
  boost::asio::io_context context_;
  std::unique_ptr<net::Clock> clock_;
  std::unique_ptr<net::RealPort> port_;
  std::unique_ptr<net::DatagramRunner> runner_;
};

}  // namespace thistlefold::command
