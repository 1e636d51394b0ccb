#include "zones/budget.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace thistlefold::zones {
namespace {

// A wider or higher-value service has circuits reserved for this long after it was last requested. The mean hold time
// of the shortest services is a small multiple of this, and circuits do not stay idle for longer once requests have
// ceased.
constexpr Span kRecentRequestWindow = Span::ms(5000);

// A part of fewer than this many of the widest sessions is too small to reserve circuits for a higher-value service.
constexpr int kMinWidthsForReserve = 4;

// Time constant of the measured request rates: long compared with the time between requests, short compared with a
// period.
constexpr double kRateDecaySeconds = 20;

}  // namespace

std::vector<std::size_t> selectSessionsToEnd(const std::vector<ServiceProfile>& services,
                                             const std::vector<EstablishedSession>& sessions, int circuits) {
  std::vector<std::size_t> order(sessions.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    const double valueA = services[sessions[a].service].value, valueB = services[sessions[b].service].value;
    return valueA != valueB ? valueA < valueB : sessions[a].since > sessions[b].since;
  });
  std::size_t count = 0;
  while (count < order.size() && circuits > 0) circuits -= services[sessions[order[count++]].service].width;
  order.resize(count);
  return order;
}

void BudgetPart::setBounds(const std::optional<Bounds>& bounds) {
  bounds_ = bounds;
  if (bounds_) bounds_->classes.resize(services_.size());
}

int BudgetPart::held() const { return std::accumulate(held_.begin(), held_.end(), 0); }
int BudgetPart::free() const { return std::max(0, circuits() - held()); }
int BudgetPart::excess() const { return bounds_ ? std::max(0, held() - circuits()) : 0; }

int BudgetPart::widestRequested(Instant now) const {
  int widest = 1;
  for (std::size_t i = 0; i < services_.size(); ++i) {
    if (now - requestedAt_[i] < kRecentRequestWindow) widest = std::max(widest, services_[i].width);
  }
  return widest;
}

Span BudgetPart::timeUntilWithinBounds() const {
  // Of n sessions with the same mean hold time, the next one ends after hold / n on average.
  double sessions = 0, hold = 0;
  for (std::size_t i = 0; i < services_.size(); ++i) {
    const double count = static_cast<double>(held_[i]) / services_[i].width;
    sessions += count;
    hold += count * services_[i].meanHold.ms();
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
  const int width = services_[service].width;
  const ClassShare& limits = bounds_->classes[service];
  if (limits.most && held_[service] + width > *limits.most) return false;
  int reserved = 0;
  for (std::size_t i = 0; i < held_.size(); ++i) {
    if (i != service) reserved += std::max(0, bounds_->classes[i].guaranteed - held_[i]);
  }
  const int available = circuits() - held() - reserved;
  if (width > available) return false;
  // No other service has a claim on circuits within this service's guarantee.
  if (held_[service] + width <= limits.guaranteed) return true;
  // Considers services that could be admitted at all; a part smaller than a session's width is left to narrower ones.
  int widest = width, higherValueWidth = 0;
  for (std::size_t i = 0; i < services_.size(); ++i) {
    const std::optional<int>& most = bounds_->classes[i].most;
    if (services_[i].width > circuits() || (most && services_[i].width > *most) ||
        now - requestedAt_[i] >= kRecentRequestWindow)
      continue;
    widest = std::max(widest, services_[i].width);
    if (services_[i].value > services_[service].value)
      higherValueWidth = std::max(higherValueWidth, services_[i].width);
  }
  if (circuits() < kMinWidthsForReserve * widest) higherValueWidth = 0;
  return available >= widest + higherValueWidth;
}

Allowance::Allowance(std::vector<ServiceProfile> services)
    : services_(std::move(services)), held_(services_.size()), requestRates_(services_.size()) {}

void Allowance::setLimit(Instant now, std::optional<double> circuitSeconds, Span period) {
  accrue(now);
  limit_ = circuitSeconds;
  period_ = period;
}

Span Allowance::untilNextPeriod(Instant now) const {
  const double since = std::fmod((now - Instant()).ms(), period_.ms());
  return Span::ms(period_.ms() - since);
}

void Allowance::accrue(Instant now) {
  if (now <= accruedAt_) return;
  double circuits = 0;
  for (const int held : held_) circuits += held;
  const Span elapsed = now - accruedAt_;
  const Span thisPeriod = period_ - untilNextPeriod(now);
  // Use before the start of this period does not count any more.
  if (elapsed >= thisPeriod && elapsed > Span::none()) used_ = 0;
  used_ += circuits * std::min(elapsed, thisPeriod).ms() / 1000;
  accruedAt_ = now;
}

void Allowance::recordRequest(Instant now, std::size_t service) {
  const double seconds = std::max(0.0, (now - ratesDecayedAt_).ms() / 1000);
  const double decay = std::exp(-seconds / kRateDecaySeconds);
  for (double& rate : requestRates_) rate *= decay;
  ratesDecayedAt_ = std::max(now, ratesDecayedAt_);
  requestRates_[service] += 1 / kRateDecaySeconds;
}

double Allowance::cost(Instant now, std::size_t service) const {
  return services_[service].width * std::min(services_[service].meanHold, untilNextPeriod(now)).ms() / 1000;
}

bool Allowance::admits(Instant now, std::size_t service) {
  if (!limit_) return true;
  accrue(now);
  // Established sessions are expected to last for another mean hold time, whatever their age.
  double left = *limit_ - used_;
  for (std::size_t i = 0; i < services_.size(); ++i) {
    left -= held_[i] * std::min(services_[i].meanHold, untilNextPeriod(now)).ms() / 1000;
  }
  left -= cost(now, service);
  if (left < 0) return false;
  const double decay = std::exp(-std::max(0.0, (now - ratesDecayedAt_).ms() / 1000) / kRateDecaySeconds);
  for (std::size_t i = 0; i < services_.size(); ++i) {
    if (services_[i].value <= services_[service].value) continue;
    const double full = services_[i].width * services_[i].meanHold.ms() / 1000;
    left -= requestRates_[i] * decay * full * untilNextPeriod(now).ms() / 1000;
  }
  return left >= 0;
}

void Allowance::seize(Instant now, std::size_t service) {
  accrue(now);
  held_[service] += services_[service].width;
}
void Allowance::release(Instant now, std::size_t service) {
  accrue(now);
  held_[service] -= services_[service].width;
}

double Allowance::used(Instant now) {
  accrue(now);
  return used_;
}

}  // namespace thistlefold::zones
