#include "zones/budget.hpp"

#include <algorithm>
#include <numeric>

namespace thistlefold::zones {

void Part::set(const std::optional<Budget>& budget, int index, int count) {
  bounded_ = budget.has_value();
  circuits_ = 0;
  classes_.assign(widths_.size(), ClassShare());
  if (!budget) return;
  circuits_ = equalPart(budget->circuits, index, count);
  for (std::size_t i = 0; i < classes_.size() && i < budget->classes.size(); ++i) {
    const ClassShare& whole = budget->classes[i];
    classes_[i].guaranteed = equalPart(whole.guaranteed, index, count);
    if (whole.most) classes_[i].most = equalPart(*whole.most, index, count);
  }
}

int Part::held() const { return std::accumulate(held_.begin(), held_.end(), 0); }
int Part::left() const { return std::max(0, circuits_ - held()); }
int Part::over() const { return bounded_ ? std::max(0, held() - circuits_) : 0; }

bool Part::admits(std::size_t service) const {
  if (!bounded_) return true;
  const int width = widths_[service];
  const ClassShare& own = classes_[service];
  if (own.most && held_[service] + width > *own.most) return false;
  int kept = 0;
  for (std::size_t i = 0; i < held_.size(); ++i) {
    if (i != service) kept += std::max(0, classes_[i].guaranteed - held_[i]);
  }
  const int room = circuits_ - held() - kept;
  if (width > room) return false;
  // Within its own guarantee nobody else has a claim.
  if (held_[service] + width <= own.guaranteed) return true;
  // The widest that could still be let in at all; a part below its width is left to the narrow ones.
  int widest = width;
  for (std::size_t i = 0; i < widths_.size(); ++i) {
    const bool ever = widths_[i] <= circuits_ && (!classes_[i].most || widths_[i] <= *classes_[i].most);
    if (ever) widest = std::max(widest, widths_[i]);
  }
  return room >= widest;
}

}  // namespace thistlefold::zones
