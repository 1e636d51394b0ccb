#pragma once

#include <cstddef>
#include <string_view>

#include "iax2/address.hpp"
#include "thistlefold/time.hpp"

namespace thistlefold {

/// How a stream came to its end.
enum class StreamEnd { closed, reset, refused };

/// One TCP connection, owned by whoever runs the party. Valid until end() or cut() was called on it, or until the
/// party was told that it is down.
class Stream {
 public:
  /// What the party keeps of it; the party's to set and to free.
  void* kept = nullptr;

  /// Never blocks; what the system has no room for waits. Ignored once the connection is down.
  virtual void send(std::string_view bytes) = 0;
  /// Bytes that wait.
  virtual std::size_t unsent() const = 0;
  /// Something came that the party was not told of yet.
  virtual bool unread() const { return false; }
  /// Closes once what was sent has gone out and been taken, within bounds. Nothing more is told of it.
  virtual void end() = 0;
  /// Closes at once. Nothing more is told of it.
  virtual void cut() = 0;

 protected:
  virtual ~Stream() = default;
};

/// Opens streams.
class Dialler {
 public:
  virtual ~Dialler() = default;
  /// StreamHandler::up() or StreamHandler::down() follows, never from within; nullptr if no descriptor is left.
  virtual Stream* dial(iax2::Address to) = 0;
};

/// Whoever speaks over streams. Free of I/O and clock, one thread at a time.
class StreamHandler {
 public:
  virtual ~StreamHandler() = default;
  /// Someone connected.
  virtual void came(Instant now, Stream& stream) = 0;
  /// A stream that was dialled stands.
  virtual void up(Instant now, Stream& stream) = 0;
  virtual void read(Instant now, Stream& stream, std::string_view bytes) = 0;
  virtual void down(Instant now, Stream& stream, StreamEnd how) = 0;
  /// One round over all that came in and all that is due.
  virtual void process(Instant now) = 0;
  /// When process() is wanted at the latest though nothing comes in.
  virtual Instant nextDeadline() const = 0;
};

}  // namespace thistlefold
