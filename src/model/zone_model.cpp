#include "model/zone_model.hpp"

#include <algorithm>
#include <cmath>
#include <memory>
#include <queue>
#include <random>

namespace thistlefold::model {
namespace {

using zones::LeasedBudget;
using zones::LeaseMessage;

// The far ends of a killed office's sessions cut them within a poke and a way, once it is back or silent.
constexpr Span kFarEndsCut = Span::ms(1100);
// ... of one that stays away, or stands still: six signs of life missed.
constexpr Span kFarEndsSilent = Span::ms(6000);

struct Session {
  std::size_t service;
  std::uint64_t id;
  Instant since;
};

struct Office {
  std::unique_ptr<LeasedBudget> pool;
  std::vector<Session> standing;
  std::uint64_t life = 0;  // changes with each start
  bool alive = true, frozen = false, parted = false;
  double clockOffset = 0, clockRate = 1;
  double share = 1;                   // of the load
  std::vector<LeaseMessage> waiting;  // came in while it stood still
  int loweredOver = 0;                // what stood above its part when the budget was lowered, and still does
  std::vector<int> heardHeld;
  Instant refusingSince = Instant::never();
  Instant wakeAt = Instant::never();
};

class Zone {
 public:
  explicit Zone(const ZoneDay& day) : day_(day), chance_(day.seed), budget_(day.circuits) {
    result_.offeredBy.resize(day.kinds.size());
    result_.refusedBy.resize(day.kinds.size());
  }

  ZoneResult run() {
    for (int i = 0; i < day_.offices; ++i) mates_.push_back(i);
    offices_.resize(static_cast<std::size_t>(day_.offices));
    for (Office& one : offices_) {
      one.clockOffset = lot() * 1e7;
      one.clockRate = 1 + day_.drift * (2 * lot() - 1);
      one.heardHeld.assign(offices_.size(), 0);
    }
    for (int i = 0; i < day_.offices; ++i) start(i);
    drawShares();
    double circuitSeconds = 0, all = 0;  // of a session, on average
    for (std::size_t s = 0; s < day_.kinds.size(); ++s) {
      circuitSeconds += day_.shares[s] * day_.kinds[s].width * day_.kinds[s].meanHold.ms() / 1000;
      all += day_.shares[s];
    }
    rate_ = day_.load * day_.circuits * all / circuitSeconds;
    at(Span::ms(2000), [this] { arrival(); });
    for (const ZoneTrouble& one : day_.faults) at(one.at, [this, &one] { strike(one); });
    if (day_.moves > Span::none()) at(day_.moves, [this] { move(); });
    while (!events_.empty() && events_.top().when <= Instant() + day_.length) {
      const Event event = events_.top();
      events_.pop();
      past(event.when);
      event.what();
      seen();
    }
    result_.overShare = over_ / day_.length.ms();
    if (refusals_ > 0) result_.idleShare = idle_ / static_cast<double>(refusals_);
    result_.wordsASecond = static_cast<double>(result_.words) / day_.offices / (day_.length.ms() / 1000);
    return result_;
  }

 private:
  struct Event {
    Instant when;
    std::uint64_t order;
    std::function<void()> what;
    bool operator<(const Event& other) const { return when != other.when ? when > other.when : order > other.order; }
  };

  double lot() { return std::generate_canonical<double, 53>(chance_); }
  double exponential(double mean) { return -mean * std::log(1 - lot()); }
  void at(Span in, std::function<void()> what) { events_.push({now_ + in, ++order_, std::move(what)}); }
  Office& office(int i) { return offices_[static_cast<std::size_t>(i)]; }
  /// An office's own clock, which agrees with no other.
  Instant clock(const Office& one) const {
    return Instant::ms(one.clockOffset + (now_ - Instant()).ms() * one.clockRate);
  }

  zones::Budget budget() const {
    zones::Budget budget;
    budget.to = 1;
    budget.circuits = budget_;
    budget.classes = day_.classes;
    budget.dividing = day_.way == Way::lent ? zones::Dividing::lent : zones::Dividing::equal;
    budget.overrun = day_.overrun;
    return budget;
  }

  void start(int i) {
    Office& one = office(i);
    one.alive = true;
    one.life = ++lives_;
    one.pool = std::make_unique<LeasedBudget>(day_.kinds, i, mates_, 1, clock(one), day_.spans);
    if (day_.way != Way::chance) {
      one.pool->set(clock(one), budget());
      one.pool->wait(clock(one));
    }
    turn(i);
    if (day_.way == Way::chance) at(Span::ms(1000 * lot()), [this, i, life = one.life] { tellHeld(i, life); });
  }

  // ---- Words

  void turn(int i) {
    Office& one = office(i);
    if (!one.alive || one.frozen) return;
    for (auto& [to, word] : one.pool->speak(clock(one))) {
      ++result_.words;
      carry(i, to, word);
    }
    endWhatMust(i);
    const Instant due = one.pool->nextDue();
    if (due >= Instant::never()) return;
    const double wait = std::max(0.05, (due - clock(one)).ms() / one.clockRate);
    const Instant when = now_ + Span::ms(wait);
    if (one.wakeAt > now_ && one.wakeAt <= when) return;
    one.wakeAt = when;
    at(Span::ms(wait), [this, i, life = one.life] {
      if (office(i).life == life) turn(i);
    });
  }

  bool cutOff(int a, int b) { return office(a).parted != office(b).parted; }

  void carry(int from, int to, const LeaseMessage& word) {
    if (cutOff(from, to)) return;
    if (lot() < day_.loss) return;
    const int copies = lot() < day_.twice ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      Span delay = day_.delay * (0.5 + lot());
      if (lot() < day_.late) delay = delay + day_.lateBy * lot();
      at(delay, [this, to, word] { deliver(to, word); });
    }
  }

  void deliver(int to, const LeaseMessage& word) {
    Office& one = office(to);
    if (!one.alive) return;
    if (one.frozen) {
      // A socket's buffer holds what comes in, up to its size.
      if (one.waiting.size() < 1000) one.waiting.push_back(word);
      return;
    }
    one.pool->hear(clock(one), word);
    turn(to);
  }

  void tellHeld(int i, std::uint64_t life) {
    Office& one = office(i);
    if (one.life != life || !one.alive) return;
    if (!one.frozen) {
      const int held = one.pool->part().held();
      for (int to : mates_) {
        if (to == i || cutOff(i, to) || lot() < day_.loss) continue;
        ++result_.words;
        at(day_.delay, [this, i, to, held] { office(to).heardHeld[static_cast<std::size_t>(i)] = held; });
      }
    }
    at(Span::ms(1000), [this, i, life] { tellHeld(i, life); });
  }

  // ---- Sessions

  void drawShares() {
    std::normal_distribution<double> normal(0, day_.uneven);
    double all = 0;
    for (Office& one : offices_) all += one.share = std::exp(normal(chance_));
    for (Office& one : offices_) one.share /= all;
  }
  void move() {
    drawShares();
    at(day_.moves, [this] { move(); });
  }

  bool admits(Office& one, std::size_t service) {
    if (day_.way != Way::chance) return one.pool->admits(clock(one), service);
    int sum = one.pool->part().held();
    for (const int held : one.heardHeld) sum += held;
    const double room = budget_ - sum;
    // All offices see the same room; each lets in so many that together they fill it within the second that words
    // take, at the rate that is offered.
    const double asked = rate_ * 1.3;
    return room >= day_.kinds[service].width && lot() < std::min(1.0, room / std::max(1.0, asked));
  }

  void arrival() {
    at(Span::ms(exponential(1000 / rate_)), [this] { arrival(); });
    double pick = lot();
    int i = 0;
    while (i + 1 < day_.offices && (pick -= office(i).share) > 0) ++i;
    double service = lot();
    std::size_t s = 0;
    while (s + 1 < day_.kinds.size() && (service -= day_.shares[s]) > 0) ++s;
    Office& one = office(i);
    // A killed office's callers get nothing, whatever the budget.
    if (!one.alive || one.frozen) return;
    ++result_.offered;
    ++result_.offeredBy[s];
    if (!admits(one, s)) {
      ++result_.refused;
      ++result_.refusedBy[s];
      one.pool->refused(clock(one), s);
      const int room = budget_ - out();
      if (getenv("TRACE") && now_ > Instant::ms(30000)) {
        printf("%.1f refused at %d width %d room %d:", (now_ - Instant()).ms() / 1000, i, day_.kinds[s].width, room);
        for (Office& o : offices_)
          printf(" [%d cap %d held %d lent %d borrowed %d sh %.2f]", o.pool->owned(), o.pool->part().circuits(),
                 o.pool->part().held(), o.pool->lent(), o.pool->borrowed(clock(o)), o.share);
        puts("");
      }
      if (room >= day_.kinds[s].width * 2) {
        ++refusals_;
        idle_ += static_cast<double>(room) / std::max(1, budget_);
        if (one.refusingSince == Instant::never()) one.refusingSince = now_;
        result_.longestIdle = std::max(result_.longestIdle, now_ - one.refusingSince);
      } else {
        ++refusals_;
        one.refusingSince = Instant::never();
      }
      turn(i);
      return;
    }
    one.refusingSince = Instant::never();
    one.pool->take(clock(one), s);
    one.standing.push_back({s, ++sessions_, now_});
    at(Span::ms(exponential(day_.kinds[s].meanHold.ms())),
       [this, i, id = sessions_, life = one.life] { end(i, id, life); });
  }

  void end(int i, std::uint64_t id, std::uint64_t life) {
    Office& one = office(i);
    if (one.life != life || !one.alive) return;
    const auto it =
        std::find_if(one.standing.begin(), one.standing.end(), [&](const Session& s) { return s.id == id; });
    if (it == one.standing.end()) return;
    if (one.frozen) {
      // It hears of the end when it runs again.
      at(Span::ms(100), [this, i, id, life] { end(i, id, life); });
      return;
    }
    one.pool->release(clock(one), it->service);
    one.standing.erase(it);
    turn(i);
  }

  void endWhatMust(int i) {
    Office& one = office(i);
    std::vector<zones::Standing> standing;
    for (const Session& session : one.standing) standing.push_back({session.service, session.since});
    auto ending = zones::whoMakesWay(day_.kinds, standing, one.pool->mustEnd(clock(one)));
    std::sort(ending.rbegin(), ending.rend());
    for (const std::size_t which : ending) {
      one.pool->release(clock(one), one.standing[which].service);
      one.standing.erase(one.standing.begin() + static_cast<std::ptrdiff_t>(which));
      ++result_.ended;
    }
  }

  // ---- Trouble

  void strike(const ZoneTrouble& one) {
    switch (one.kind) {
      case ZoneTrouble::Kind::kill:
        for (const int i : one.offices) {
          Office& dead = office(i);
          const int held = dead.pool->part().held();
          dead.alive = false;
          dead.standing.clear();
          dead.pool = std::make_unique<LeasedBudget>(day_.kinds, i, mates_, 1, clock(dead), day_.spans);
          ghosts_ += held;
          const Span cut = std::min(kFarEndsSilent, one.lasts + kFarEndsCut);
          at(cut, [this, held] { ghosts_ -= held; });
          at(one.lasts, [this, i] { start(i); });
        }
        break;
      case ZoneTrouble::Kind::freeze:
        for (const int i : one.offices) {
          office(i).frozen = true;
          at(one.lasts, [this, i] {
            Office& woken = office(i);
            woken.frozen = false;
            for (const LeaseMessage& word : std::exchange(woken.waiting, {})) woken.pool->hear(clock(woken), word);
            turn(i);
          });
        }
        break;
      case ZoneTrouble::Kind::part:
        for (const int i : one.offices) office(i).parted = true;
        at(one.lasts, [this, &one] {
          for (const int i : one.offices) office(i).parted = false;
        });
        break;
      case ZoneTrouble::Kind::budget:
        budget_ = one.circuits;
        lowered_ = true;
        for (int i = 0; i < day_.offices; ++i) {
          at(one.lasts * (static_cast<double>(i) / day_.offices), [this, i] {
            Office& told = office(i);
            if (day_.way == Way::chance || !told.alive) return;
            told.pool->set(clock(told), budget());
            told.loweredOver = told.pool->part().over();
            turn(i);
          });
        }
        // Until all know, what those let in that do not is not held against the division.
        settling_ = now_ + one.lasts + Span::ms(1);
        break;
    }
  }

  // ---- What is measured

  int out() const {
    int sum = ghosts_;
    for (const Office& one : offices_) sum += one.pool->part().held();
    return sum;
  }
  void past(Instant when) {
    if (lastOver_ > 0) over_ += (when - now_).ms();
    now_ = when;
  }
  void seen() {
    const int now = out();
    result_.mostOut = std::max(result_.mostOut, now);
    const int over = std::max(0, now - budget_);
    // What stood above the parts when the budget was lowered, or stands on what was lent above them, is let be; so is
    // what offices let in that do not know of it yet.
    int letBe = now_ <= settling_ ? over : 0, lent = 0;
    for (Office& one : offices_) {
      one.loweredOver = std::min(one.loweredOver, one.pool->part().over());
      letBe += one.loweredOver;
      lent += one.pool->lent();
      if (lowered_) letBe += std::max(0, one.pool->lent() - one.pool->owned());
    }
    lastOver_ = std::max(0, over - letBe);
    result_.mostLent = std::max(result_.mostLent, lent);
    result_.mostOver = std::max(result_.mostOver, lastOver_);
  }

  const ZoneDay& day_;
  std::mt19937_64 chance_;
  int budget_;
  ZoneResult result_;
  std::vector<Office> offices_;
  std::vector<int> mates_;
  std::priority_queue<Event> events_;
  Instant now_;
  Instant settling_ = Instant::distantPast();
  std::uint64_t order_ = 0, lives_ = 0, sessions_ = 0, refusals_ = 0;
  double rate_ = 1, over_ = 0, idle_ = 0;
  int ghosts_ = 0, lastOver_ = 0;
  bool lowered_ = false;
};

}  // namespace

ZoneResult play(const ZoneDay& day) { return Zone(day).run(); }

}  // namespace thistlefold::model
