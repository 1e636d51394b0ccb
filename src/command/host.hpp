#pragma once

// What commands that serve on a socket have in common: one thread, signals, an orderly end.

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <memory>
#include <string>

#include "net/datagram_runner.hpp"
#include "net/real.hpp"

namespace thistlefold::command {

class Host {
 public:
  explicit Host(iax2::Address listen)
      : clock_(net::makeRealClock(context_.get_executor())), port_(net::bindPort(context_.get_executor(), listen)) {}

  net::Clock& clock() { return *clock_; }
  net::RealPort& port() { return *port_; }
  boost::asio::io_context& context() { return context_; }
  net::DatagramRunner& runner() { return *runner_; }

  /// Attends to the station until stop() or the port fails. Throws std::runtime_error if the station did.
  void run(DatagramHandler& handler) {
    std::string failed;
    runner_ =
        std::make_unique<net::DatagramRunner>(context_.get_executor(), handler, *port_, *clock_, [&](const char* what) {
          failed = what;
          context_.stop();
        });
    context_.run();
    port_->close();
    runner_.reset();
    context_.restart();
    context_.poll();
    if (!failed.empty()) throw std::runtime_error("ended by a fault: " + failed);
  }
  void stop() { context_.stop(); }

 private:
  boost::asio::io_context context_;
  std::unique_ptr<net::Clock> clock_;
  std::unique_ptr<net::RealPort> port_;
  std::unique_ptr<net::DatagramRunner> runner_;
};

}  // namespace thistlefold::command
