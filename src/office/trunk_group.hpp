#pragma once

#include <algorithm>

namespace thistlefold {

/// One end's count of the circuits of a trunk group. Both ends count every session that crosses, each for
/// itself; the two counts differ only while a frame is on its way. Decides glare; no I/O.
class TrunkGroup {
 public:
  /// `controlling`: of the two ends, the one that keeps its own session when both seize the last circuits at
  /// once. Exactly one end of a group is (the one of the lower place).
  TrunkGroup(int size, bool controlling) : size_(size), controlling_(controlling) {}

  int size() const { return size_; }
  int circuitsInUse() const { return held_; }
  int free() const { return std::max(0, size_ - held_); }

  /// For a session that goes out. False: no circuit, nothing taken.
  bool seize(int width) {
    if (width > size_ - held_) return false;
    held_ += width;
    unanswered_ += width;
    return true;
  }
  /// The far end has taken, or turned back, a session that went out: it is no longer in doubt.
  void answered(int width) { unanswered_ -= width; }

  /// For a session that comes in. False: it is to be turned back for want of circuits.
  bool admit(int width) {
    const int room = size_ - held_;
    if (width > room) {
      // Glare: the far end did not know of what went out from here. The controlling end turns back; the other
      // lets it in on top, since its own session is sure to be turned back. Never more than is in doubt.
      if (controlling_ || width > room + unanswered_) return false;
      ++glares_;
    }
    held_ += width;
    return true;
  }
  void release(int width) { held_ -= width; }
  /// Circuits were lost or came back. What is held stays held; `over()` says how much of it has none any more.
  void resize(int size) { size_ = size; }
  int over() const { return std::max(0, held_ - size_); }
  bool controlling() const { return controlling_; }
  int glares() const { return glares_; }

 private:
  int size_;
  bool controlling_;
  int held_ = 0;        // in both directions; above size_ only while glare is being settled
  int unanswered_ = 0;  // of those, gone out and not answered by the far end
  int glares_ = 0;
};

}  // namespace thistlefold
