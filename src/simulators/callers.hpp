#pragma once

// Simulates callers: they dial, wait for an answer, talk, give up and redial.

#include <deque>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "datagram_handler.hpp"
#include "fleet/fleet.hpp"
#include "iax2/endpoint.hpp"

namespace thistlefold {

/// One session that a caller is going to ask for. Its redials belong to the same session.
struct PlannedCall {
  Instant at;       // first dialled
  int office = 0;   // place of the office that is dialled
  int service = 0;  // index into Fleet::offeredServices
  std::string number;
  Span hold;  // from the answer to the caller's HANGUP
};

/// How callers react when a session is not answered.
struct CallerBehaviour {
  int redials = 2;                    // call attempts after the first
  Span backoff = Span::ms(800);       // mean delay before a redial; drawn from half to one and a half times this
  double retryAfterCompliance = 0.7;  // share of refused callers that wait for as long as the office asks
  double attemptTimeoutShare = 0.35;  // a call attempt is given up after this share of the service's time limit
  Span maxRedialDelayAfterAbort = Span::ms(1500);  // an aborted session is dialled again within this
};

/// All callers of a run, behind one address.
class SimulatedCallers final : public DatagramHandler, private iax2::CallListener {
 public:
  /// `fleet` must outlive the callers. All random draws come from `seed`.
  SimulatedCallers(const Fleet& fleet, CallerBehaviour behaviour, std::uint64_t seed, Instant now);
  ~SimulatedCallers() override;

  /// Sets the instant from which the seconds of seconds() are counted.
  void begin(Instant at) { begin_ = at; }
  /// Adds calls; they must be in order of time and not before those already planned.
  void plan(std::vector<PlannedCall> calls);
  /// Adds one call, under the same condition.
  void plan(PlannedCall call);

  void receive(Instant now, iax2::Address from, std::span<const std::uint8_t> datagram) override;
  void process(Instant now, const DatagramSender& out) override;
  Instant nextDeadline() const override;

  /// Sessions of one service by outcome. Once it is over, a session is in exactly one of `established` (answered within
  /// the post-dial target), `late` (answered after it), `refused` and `failed`. `aborted` counts how often an
  /// established session was ended by the far end; the session is then dialled again. `attempts` counts call attempts,
  /// redials included, and `answers` the answers to them.
  struct ServiceCounts {
    std::uint64_t offered = 0, established = 0, late = 0, refused = 0, failed = 0, aborted = 0, attempts = 0,
                  answers = 0;
    double value = 0, earned = 0;  // of the offered sessions, and the part of it that was earned
  };
  /// By index of the service.
  const std::vector<ServiceCounts>& serviceCounts() const { return serviceCounts_; }
  /// Sessions of all services first dialled in one second.
  struct SecondCounts {
    double value = 0, earned = 0;
    std::uint64_t offered = 0, established = 0;  // `established`: late ones included
  };
  /// By second since `begin`.
  const std::vector<SecondCounts>& seconds() const { return seconds_; }
  /// Refusals by cause code.
  const std::map<int, std::uint64_t>& refusals() const { return refusals_; }
  /// Post-dial delays of established sessions in milliseconds, in order of their answers.
  const std::vector<float>& delays() const { return delays_; }
  /// Sessions that are planned or not over yet.
  std::size_t activeSessions() const { return sessions_.size() + planned_.size(); }
  /// Counters of the IAX2 endpoint that all callers share.
  const iax2::EndpointCounters& endpointCounts() const { return endpoint_.counts(); }

 private:
  struct CallerSession;
  enum class Action { dial, giveUp, hangUp };

  void onIncomingCall(iax2::Call&, const iax2::Frame&) override {}  // callers are never called
  void onPong(iax2::Address, const iax2::Frame&) override {}
  iax2::Elements pongElements(iax2::Address) override { return {}; }

  void startSession(PlannedCall call);
  void dial(CallerSession& session);
  /// After an attempt that was not answered: schedules a redial or finishes the session.
  void attemptFailed(CallerSession& session, bool refused, int cause, Span retryAfter);
  void finish(CallerSession& session);
  /// A session has at most one action scheduled.
  void scheduleAction(Instant at, CallerSession& session, Action action);
  void cancelAction(CallerSession& session);
  /// From 0 to below 1.
  double drawUniform();

  const Fleet& fleet_;
  CallerBehaviour behaviour_;
  Instant now_;
  Instant begin_;
  iax2::Endpoint endpoint_;
  std::minstd_rand generator_;
  std::deque<PlannedCall> planned_;
  std::list<CallerSession> sessions_;
  std::multimap<Instant, std::pair<CallerSession*, Action>> actions_;
  std::vector<ServiceCounts> serviceCounts_;
  std::vector<SecondCounts> seconds_;
  std::map<int, std::uint64_t> refusals_;
  std::vector<float> delays_;
};

}  // namespace thistlefold
