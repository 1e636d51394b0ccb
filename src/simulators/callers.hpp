#pragma once

// Stand-ins for callers: dial, wait, talk, give up, dial again.

#include <deque>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "datagram_handler.hpp"
#include "fleet/fleet.hpp"
#include "iax2/endpoint.hpp"

namespace thistlefold {

/// One session that a caller wants. Redials belong to it.
struct PlannedCall {
  Instant at;
  int office = 0;
  int service = 0;
  std::string number;
  Span hold;
};

struct CallerBehaviour {
  int redials = 2;
  Span backoff = Span::ms(800);
  double honour = 0.7;                  // share of callers that wait as long as they are told
  double tryShare = 0.35;               // a try is given up after this share of the service's timer limit
  Span returnsWithin = Span::ms(1500);  // a caller who was cut dials again within this
};

class SimulatedCallers final : public DatagramHandler, private iax2::CallListener {
 public:
  SimulatedCallers(const Fleet& fleet, CallerBehaviour behaviour, std::uint64_t seed, Instant now);
  ~SimulatedCallers() override;

  /// Seconds of the day are counted from here.
  void begin(Instant at) { begin_ = at; }
  /// Dials must come in order of time.
  void plan(std::vector<PlannedCall> dials);
  void plan(PlannedCall dial);

  void receive(Instant now, iax2::Address from, std::span<const std::uint8_t> datagram) override;
  void process(Instant now, const DatagramSender& out) override;
  Instant nextDeadline() const override;

  /// Sessions of one service, by how they went; each is in exactly one of stood, late, refused, failed once it is
  /// over. Of those that stood, cut ones are counted again in `cut`.
  struct Served {
    std::uint64_t offered = 0, stood = 0, late = 0, refused = 0, failed = 0, cut = 0, tries = 0, answers = 0;
    double value = 0, earned = 0;
  };
  const std::vector<Served>& served() const { return served_; }
  /// By second of the day since `begin`, all services.
  struct Second {
    double value = 0, earned = 0;
    std::uint64_t offered = 0, stood = 0;
  };
  const std::vector<Second>& seconds() const { return seconds_; }
  /// Refusals by cause code.
  const std::map<int, std::uint64_t>& refusals() const { return refusals_; }
  /// Post-dial delays of sessions that stood, in ms.
  const std::vector<float>& delays() const { return delays_; }
  std::size_t active() const { return wants_.size() + planned_.size(); }
  const iax2::EndpointCounters& wire() const { return endpoint_.counts(); }

 private:
  struct Want;
  enum class Act { dial, giveUp, hangUp };

  void onIncomingCall(iax2::Call&, const iax2::Frame&) override {}  // nobody calls callers
  void onPong(iax2::Address, const iax2::Frame&) override {}
  iax2::Elements pongElements(iax2::Address) override { return {}; }

  void start(PlannedCall dial);
  void dial(Want& want);
  void tried(Want& want, bool refused, int cause, Span told);
  void finish(Want& want);
  void later(Instant at, Want& want, Act act);
  void cancel(Want& want);
  double lot();

  const Fleet& fleet_;
  CallerBehaviour behaviour_;
  Instant now_;
  Instant begin_;
  iax2::Endpoint endpoint_;
  std::minstd_rand chance_;
  std::deque<PlannedCall> planned_;
  std::list<Want> wants_;
  std::multimap<Instant, std::pair<Want*, Act>> acts_;
  std::vector<Served> served_;
  std::vector<Second> seconds_;
  std::map<int, std::uint64_t> refusals_;
  std::vector<float> delays_;
};

}  // namespace thistlefold
