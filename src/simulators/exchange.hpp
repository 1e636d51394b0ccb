#pragma once

// Simulates an exchange: a processor with one queue that accepts set-ups over IAX2. No real work is done.

#include <array>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <unordered_map>

#include "datagram_handler.hpp"
#include "iax2/endpoint.hpp"

namespace thistlefold {

/// What a processor can do. Work is in milliseconds of the warm processor.
struct ProcessorModel {
  double setUpWork = 2;                  // processing a set-up
  double followUpWork = 0.7;             // the answer, and the release: each
  double rejectWork = 0.4;               // rejecting a set-up
  Span maxQueueDelay = Span::ms(1500);   // set-ups are rejected while the queue is longer
  double coldCapacityShare = 0.3;        // share of its speed when just started; grows evenly to 1 ...
  Span warmUpTime = Span::ms(12000);     // ... over this time
  double overloadFactor = 3;             // a cold processor collapses when sent more than this multiple of its capacity
  Span overloadWindow = Span::ms(1500);  // the time over which that is counted
  std::map<std::string, int> lineCounts;  // called numbers with a limited number of lines
};

/// One exchange, behind the address of its processor.
class SimulatedExchange final : public DatagramHandler, private iax2::CallListener {
 public:
  /// `seed` is that of the random draws of the IAX2 endpoint; together with `now` it determines the incarnation.
  /// `warm`: the processor has been running for at least its warm-up time.
  SimulatedExchange(ProcessorModel model, std::uint64_t seed, Instant now, bool warm);

  ~SimulatedExchange() override;

  void receive(Instant now, iax2::Address from, std::span<const std::uint8_t> datagram) override;
  void process(Instant now, const DatagramSender& out) override;
  Instant nextDeadline() const override;

  // Faults. Those that set a state last until it is changed again.

  /// A hung processor queues set-ups but processes none; work in progress is lost.
  void setHung(Instant now, bool hung);
  /// A silent processor neither receives nor sends anything.
  void setSilent(bool silent) { silent_ = silent; }
  /// All work takes `factor` times as long.
  void setSlowdown(double factor) { slowdown_ = factor; }
  /// Aborts that share of its established sessions.
  void abortEstablished(Instant now, double share);

  /// `setUps`: received. `established`: answered. `ended`: established sessions that have ended. `rejected`: set-ups
  /// rejected because the queue was too long. `linesBusy`: set-ups rejected because the called number had no free line.
  /// `abandoned`: set-ups given up by the office while they were queued. `aborted`: established sessions ended by
  /// abortEstablished().
  struct Counters {
    std::uint64_t setUps = 0, established = 0, ended = 0, rejected = 0, linesBusy = 0, abandoned = 0, aborted = 0;
  };
  /// Counts since this start of the processor.
  const Counters& counters() const { return counters_; }
  /// Whether the processor was overloaded while cold. It then neither receives nor sends anything any more.
  bool hasCollapsed() const { return collapsed_; }
  /// Sessions that are established now.
  std::size_t establishedSessions() const { return established_; }
  /// Identifies this start of the processor.
  std::uint64_t incarnation() const { return incarnation_; }

 private:
  enum class Work { setUp, reject, answer, release };
  struct IncomingSession;
  struct Job {
    Work work;
    std::uint64_t session;  // key into sessions_; the job is dropped if the session is gone by then
  };

  void onIncomingCall(iax2::Call& call, const iax2::Frame& frame) override;
  void onPong(iax2::Address, const iax2::Frame&) override {}
  iax2::Elements pongElements(iax2::Address to) override;

  /// Share of the warm processor's speed.
  double speed() const;
  /// Milliseconds that the work takes at the present speed.
  double cost(Work work) const;
  void enqueue(Job job);
  void startNext();
  void finishJob(const Job& job);
  void refuse(IncomingSession& session, iax2::ReleaseReason reason, std::uint8_t cause, Span retryAfter);
  /// Time until a set-up received now would be processed.
  Span queueDelay() const;
  /// The elements with which the free capacity is reported to the office.
  iax2::Elements capacityElements() const;

  ProcessorModel model_;
  Instant now_;
  Instant started_;
  std::uint64_t incarnation_;
  iax2::Endpoint endpoint_;
  std::unordered_map<std::uint64_t, std::unique_ptr<IncomingSession>> sessions_;
  std::uint64_t lastKey_ = 0;
  std::deque<Job> priorityJobs_, queuedSetUps_;  // rejections, answers and releases go ahead of set-ups
  bool busy_ = false;
  Job currentJob_{};
  Instant doneAt_ = Instant::never();
  std::deque<Instant> recentSetUps_;                   // received within the overload window
  std::deque<std::pair<Instant, double>> recentWork_;  // end and milliseconds of the work of the last second
  std::map<std::string, int> linesInUse_;
  double slowdown_ = 1;
  bool hung_ = false, silent_ = false, collapsed_ = false;
  std::size_t established_ = 0;
  Counters counters_;
};

}  // namespace thistlefold
