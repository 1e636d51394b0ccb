#include "zones/budget.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace thistlefold::zones {
namespace {

// A wider or dearer service is reckoned with so long after it was last asked for: some of these make up a mean hold of
// the shortest services, and what is kept for one that has gone lies idle no longer.
constexpr Span kOfLate = Span::ms(5000);

// Below this many widths a part is too small to keep one free for the dearer.
constexpr int kKeepsFrom = 4;

// Asks a second are measured over about this: long against single asks, short against a period.
constexpr double kFadeSeconds = 20;

}  // namespace

std::vector<std::size_t> selectSessionsToEnd(const std::vector<ServiceProfile>& kinds,
                                             const std::vector<EstablishedSession>& standing, int circuits) {
  std::vector<std::size_t> order(standing.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    const double x = kinds[standing[a].service].value, y = kinds[standing[b].service].value;
    return x != y ? x < y : standing[a].since > standing[b].since;
  });
  std::size_t count = 0;
  while (count < order.size() && circuits > 0) circuits -= kinds[standing[order[count++]].service].width;
  order.resize(count);
  return order;
}

void BudgetPart::set(const std::optional<Bounds>& bounds) {
  bounds_ = bounds;
  if (bounds_) bounds_->classes.resize(kinds_.size());
}

int BudgetPart::held() const { return std::accumulate(held_.begin(), held_.end(), 0); }
int BudgetPart::free() const { return std::max(0, circuits() - held()); }
int BudgetPart::excess() const { return bounds_ ? std::max(0, held() - circuits()) : 0; }

int BudgetPart::widest(Instant now) const {
  int widest = 1;
  for (std::size_t i = 0; i < kinds_.size(); ++i) {
    if (now - askedAt_[i] < kOfLate) widest = std::max(widest, kinds_[i].width);
  }
  return widest;
}

Span BudgetPart::timeUntilWithinBounds() const {
  // Of h sessions that each end after a mean hold, the next ends after hold / h on average.
  double sessions = 0, hold = 0;
  for (std::size_t i = 0; i < kinds_.size(); ++i) {
    const double of = static_cast<double>(held_[i]) / kinds_[i].width;
    sessions += of;
    hold += of * kinds_[i].meanHold.ms();
  }
  if (excess() == 0 || sessions <= 0) return Span::none();
  hold /= sessions;
  const double width = held() / sessions;
  double span = 0;
  for (double toEnd = excess() / width; toEnd > 0 && sessions >= 1; --toEnd, --sessions)
    span += std::min(1.0, toEnd) * hold / sessions;
  return Span::ms(span);
}

bool BudgetPart::admits(Instant now, std::size_t service) const {
  if (!bounds_) return true;
  const int width = kinds_[service].width;
  const ClassShare& own = bounds_->classes[service];
  if (own.most && held_[service] + width > *own.most) return false;
  int kept = 0;
  for (std::size_t i = 0; i < held_.size(); ++i) {
    if (i != service) kept += std::max(0, bounds_->classes[i].guaranteed - held_[i]);
  }
  const int room = circuits() - held() - kept;
  if (width > room) return false;
  // Within its own guarantee nobody else has a claim.
  if (held_[service] + width <= own.guaranteed) return true;
  // The widest that could still be let in at all; a part below its width is left to the narrow ones.
  int widest = width, dearer = 0;
  for (std::size_t i = 0; i < kinds_.size(); ++i) {
    const std::optional<int>& most = bounds_->classes[i].most;
    if (kinds_[i].width > circuits() || (most && kinds_[i].width > *most) || now - askedAt_[i] >= kOfLate) continue;
    widest = std::max(widest, kinds_[i].width);
    if (kinds_[i].value > kinds_[service].value) dearer = std::max(dearer, kinds_[i].width);
  }
  if (circuits() < kKeepsFrom * widest) dearer = 0;
  return room >= widest + dearer;
}

Allowance::Allowance(std::vector<ServiceProfile> kinds)
    : kinds_(std::move(kinds)), held_(kinds_.size()), asks_(kinds_.size()) {}

void Allowance::set(Instant now, std::optional<double> circuitSeconds, Span period) {
  accrue(now);
  whole_ = circuitSeconds;
  period_ = period;
}

Span Allowance::untilNextPeriod(Instant now) const {
  const double since = std::fmod((now - Instant()).ms(), period_.ms());
  return Span::ms(period_.ms() - since);
}

void Allowance::accrue(Instant now) {
  if (now <= settledAt_) return;
  double circuits = 0;
  for (const int held : held_) circuits += held;
  const Span past = now - settledAt_;
  const Span thisPeriod = period_ - untilNextPeriod(now);
  // What was used before this period began counts no longer.
  if (past >= thisPeriod && past > Span::none()) used_ = 0;
  used_ += circuits * std::min(past, thisPeriod).ms() / 1000;
  settledAt_ = now;
}

void Allowance::asked(Instant now, std::size_t service) {
  const double seconds = std::max(0.0, (now - fadedAt_).ms() / 1000);
  const double keep = std::exp(-seconds / kFadeSeconds);
  for (double& asks : asks_) asks *= keep;
  fadedAt_ = std::max(now, fadedAt_);
  asks_[service] += 1 / kFadeSeconds;
}

double Allowance::cost(Instant now, std::size_t service) const {
  return kinds_[service].width * std::min(kinds_[service].meanHold, untilNextPeriod(now)).ms() / 1000;
}

bool Allowance::admits(Instant now, std::size_t service) {
  if (!whole_) return true;
  accrue(now);
  // Those that stand go on for a mean hold, however long they have stood.
  double left = *whole_ - used_;
  for (std::size_t i = 0; i < kinds_.size(); ++i) {
    left -= held_[i] * std::min(kinds_[i].meanHold, untilNextPeriod(now)).ms() / 1000;
  }
  left -= cost(now, service);
  if (left < 0) return false;
  const double keep = std::exp(-std::max(0.0, (now - fadedAt_).ms() / 1000) / kFadeSeconds);
  for (std::size_t i = 0; i < kinds_.size(); ++i) {
    if (kinds_[i].value <= kinds_[service].value) continue;
    const double full = kinds_[i].width * kinds_[i].meanHold.ms() / 1000;
    left -= asks_[i] * keep * full * untilNextPeriod(now).ms() / 1000;
  }
  return left >= 0;
}

void Allowance::seize(Instant now, std::size_t service) {
  accrue(now);
  held_[service] += kinds_[service].width;
}
void Allowance::release(Instant now, std::size_t service) {
  accrue(now);
  held_[service] -= kinds_[service].width;
}

double Allowance::used(Instant now) {
  accrue(now);
  return used_;
}

}  // namespace thistlefold::zones
