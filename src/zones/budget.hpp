#pragma once

// How many circuits from one zone to another may be held at once, and one office's part of that. Decides; no I/O, no
// clock. docs/zones.md weighs the ways to divide a budget and proves the bound.

#include <optional>
#include <vector>

namespace thistlefold::zones {

/// What one service has of a budget: `guaranteed` circuits are kept for it, more than `most` it never gets.
struct ClassShare {
  int guaranteed = 0;
  std::optional<int> most;
};

/// A budget of the whole fleet for one direction between two zones.
struct Budget {
  int from = 0, to = 0;             // zones
  int circuits = 0;
  std::vector<ClassShare> classes;  // by service
};

/// The `index`th of `count` equal parts of `whole`, to the unit: the parts of all indexes add up to `whole`.
inline int equalPart(int whole, int index, int count) { return whole / count + (index < whole % count ? 1 : 0); }

/// One office's part of a budget, and what it holds of it.
class Part {
 public:
  /// `widths`: circuits of a session, by service.
  explicit Part(std::vector<int> widths) : widths_(std::move(widths)), held_(widths_.size()) {}

  /// Another budget, or a changed one; what is held stays held, also above it. Nothing: no budget any more.
  void set(const std::optional<Budget>& budget, int index, int count);
  bool bounded() const { return bounded_; }

  /// Whether a session of this service may take its circuits. Not while that would leave less than the guarantees
  /// that others have not reached, nor past its most. And not while fewer are left than the widest service takes, so
  /// that narrow sessions don't nibble away what a wide one needs: all widths are refused in the same states.
  bool admits(std::size_t service) const;
  void take(std::size_t service) { held_[service] += widths_[service]; }
  void release(std::size_t service) { held_[service] -= widths_[service]; }

  int circuits() const { return circuits_; }
  int held() const;
  int heldBy(std::size_t service) const { return held_[service]; }
  int left() const;
  /// Held above a budget that was lowered.
  int over() const;

 private:
  std::vector<int> widths_;
  std::vector<int> held_;
  std::vector<ClassShare> classes_;
  int circuits_ = 0;
  bool bounded_ = false;
};

}  // namespace thistlefold::zones
