#pragma once

// The seam for streams, on TCP by Boost.Asio coroutines: one party with its listener and the connections it dials.

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>

#include "net/clock.hpp"
#include "stream_handler.hpp"

namespace thistlefold::net {

class TcpStream;

class StreamRunner final : public Dialler {
 public:
  /// `clock` must outlive it. `most`: connections held at once. At the bound those that are only being closed go first;
  /// then those that come wait in the system's queue, one earlier than the party's own dialling, which gets none.
  StreamRunner(boost::asio::any_io_executor executor, Clock& clock, std::size_t most);
  ~StreamRunner() override;

  /// Port 0 takes a free one. Throws std::runtime_error that names the address if it can't be bound.
  iax2::Address listen(iax2::Address at);
  /// From now on the party is told. `fault` hears of an exception that came out of it.
  void attend(StreamHandler& handler, std::function<void(const char*)> fault);
  /// After something was changed in the party from outside a turn: it gets one now.
  void wakeUp();
  /// Nobody is accepted any more.
  void deafen();

  Stream* dial(iax2::Address to) override;
  std::size_t held() const;
  /// Ended and remembered until they have gone, to make room.
  std::size_t closing() const;

 private:
  friend class TcpStream;
  struct State;
  std::shared_ptr<State> state_;  // kept by the coroutines until they have ended
};

}  // namespace thistlefold::net
