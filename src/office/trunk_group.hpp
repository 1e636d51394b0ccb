#pragma once

#include <algorithm>

namespace thistlefold {

/// One end's count of the circuits of a trunk group. Both ends count every session that crosses the group, each for
/// itself; the two counts differ only while a frame is on its way. Resolves glare. Does no I/O.
class TrunkGroup {
 public:
  /// `controlling`: whether this end keeps its own session when both ends seize the last circuits at the same time.
  /// Exactly one end of a group is the controlling one, that of the lower place.
  TrunkGroup(int size, bool controlling) : size_(size), controlling_(controlling) {}

  /// Circuits of the group, free or in use.
  int size() const { return size_; }
  /// Circuits in use in both directions.
  int circuitsInUse() const { return inUse_; }
  /// Circuits free at present.
  int free() const { return std::max(0, size_ - inUse_); }

  /// Seizes `width` circuits for an outgoing session. Returns false and seizes nothing if there are too few.
  bool seizeOutgoing(int width) {
    if (width > size_ - inUse_) return false;
    inUse_ += width;
    unconfirmed_ += width;
    return true;
  }
  /// To be called once per outgoing session when the far end has accepted it or turned it back, or when it is over:
  /// glare on its circuits is then no longer possible.
  void confirmOutgoing(int width) { unconfirmed_ -= width; }

  /// Seizes `width` circuits for an incoming session. Returns false if it is to be turned back for want of circuits.
  bool seizeIncoming(int width) {
    const int freeCircuits = size_ - inUse_;
    if (width > freeCircuits) {
      // Glare: the far end did not know yet of a session that was sent from here. The controlling end turns the
      // incoming session back. The other end accepts it beyond the size of the group, since its own session is certain
      // to be turned back, but never for more circuits than its unconfirmed sessions hold.
      if (controlling_ || width > freeCircuits + unconfirmed_) return false;
      ++glares_;
    }
    inUse_ += width;
    return true;
  }
  /// Frees the circuits of a session that has ended, outgoing or incoming.
  void release(int width) { inUse_ -= width; }
  /// Sets the number of circuits after some were lost or restored. Sessions keep theirs; see excess().
  void resize(int size) { size_ = size; }
  /// Circuits counted as in use beyond the size of the group, after a loss of circuits or while glare is being
  /// resolved.
  int excess() const { return std::max(0, inUse_ - size_); }
  /// Whether this end keeps its own session under glare.
  bool controlling() const { return controlling_; }
  /// Incoming sessions accepted under glare since the start.
  int glares() const { return glares_; }

 private:
  int size_;
  bool controlling_;
  int inUse_ = 0;        // in both directions; above size_ while glare is being resolved or after a loss of circuits
  int unconfirmed_ = 0;  // of those, seized for outgoing sessions that the far end has not answered
  int glares_ = 0;
};

}  // namespace thistlefold
