#pragma once

#include <cstddef>
#include <functional>
#include <string_view>

#include "iax2/address.hpp"
#include "thistlefold/time.hpp"

namespace thistlefold {

/// Why a stream ended without having been closed from this side.
enum class CloseReason {
  closed,  ///< the remote end closed its sending direction
  reset,   ///< the established connection was reset or failed
  refused  ///< the connection could not be established, for whatever reason
};

/// One TCP connection. Owned by whatever runs the handler; a handler may use it until it calls close() or abort() on it
/// or until StreamHandler::onClosed() for it has returned.
class Stream {
 public:
  /// Reserved for the handler, which sets it and owns what it points to.
  void* userData = nullptr;

  /// Never blocks: bytes that the socket buffer does not take are queued. Ignored once the connection has ended.
  virtual void send(std::string_view bytes) = 0;
  /// Number of bytes that are queued because the socket buffer did not take them.
  virtual std::size_t unsentBytes() const = 0;
  /// True if received bytes wait that were not yet passed to the handler.
  virtual bool hasUnreadData() const { return false; }
  /// True if the remote end has closed its sending direction or reset the connection, also while unread data lies
  /// before that.
  virtual bool hasRemoteClosed() { return false; }
  /// Closes once the bytes sent so far were delivered, within a bounded linger time. No further callback follows.
  virtual void close() = 0;
  /// Receives bytes that the remote end sent before it noticed that the stream was closed.
  using LateDataHandler = std::function<void(Instant now, std::string_view bytes)>;
  /// Closes like close(). What is unread by then, or arrives within the linger time, is passed to `onLateData`, which
  /// must not use the stream, followed by a round. The total is limited; the rest is discarded.
  virtual void closeAndDrain(LateDataHandler onLateData) = 0;
  /// Closes at once; queued bytes are discarded. No further callback follows.
  virtual void abort() = 0;

 protected:
  virtual ~Stream() = default;
};

/// Opens outgoing connections.
class StreamConnector {
 public:
  virtual ~StreamConnector() = default;
  /// Begins to connect. StreamHandler::onConnected() or StreamHandler::onClosed() follows, never from within this call.
  /// Returns nullptr if no connection can be opened, because of the connection limit or for want of a file descriptor.
  virtual Stream* connect(iax2::Address to) = 0;
};

/// Application logic over streams. Does no I/O and reads no clock of its own, so that tests can drive it directly.
/// Called by one thread at a time.
class StreamHandler {
 public:
  virtual ~StreamHandler() = default;
  /// A connection was accepted.
  virtual void onAccepted(Instant now, Stream& stream) = 0;
  /// A connection opened with StreamConnector::connect() is established.
  virtual void onConnected(Instant now, Stream& stream) = 0;
  /// Bytes were received. They may be any part of one or several messages.
  virtual void onData(Instant now, Stream& stream, std::string_view bytes) = 0;
  /// A connection ended or could not be established. The stream is no longer valid once this returns.
  virtual void onClosed(Instant now, Stream& stream, CloseReason reason) = 0;
  /// Handles in one round all that was received and every deadline that has passed.
  virtual void process(Instant now) = 0;
  /// The latest instant at which process() has to be called even if nothing is received.
  virtual Instant nextDeadline() const = 0;
};

}  // namespace thistlefold
