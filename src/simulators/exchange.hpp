#pragma once

// A stand-in for an exchange: a processor with one line that takes set-ups over IAX2. Simulated work only.

#include <array>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <unordered_map>

#include "datagram_handler.hpp"
#include "iax2/endpoint.hpp"

namespace thistlefold {

/// Work is in milliseconds of the warm processor.
struct ProcessorModel {
  double setUpWork = 2;       // looking at a session and setting it up
  double followUpWork = 0.7;  // the answer, and the release: each
  double rejectWork = 0.4;    // turning a set-up away
  Span longestWait = Span::ms(1500);
  double coldCapacityShare = 0.3;  // share of its speed when just started
  Span warmUpTime = Span::ms(12000);
  double overloadFactor = 3;             // falls over when sent more than this multiple of what it can do ...
  Span overloadWindow = Span::ms(1500);  // ... for so long
  std::map<std::string, int> lines;      // called numbers with few lines, and how many
};

class SimulatedExchange final : public DatagramHandler, private iax2::CallListener {
 public:
  /// `warm`: it has been running for long.
  SimulatedExchange(ProcessorModel model, std::uint64_t seed, Instant now, bool warm);

  ~SimulatedExchange() override;

  void receive(Instant now, iax2::Address from, std::span<const std::uint8_t> datagram) override;
  void process(Instant now, const DatagramSender& out) override;
  Instant nextDeadline() const override;

  // Faults. All last until changed again.
  void setHung(Instant now, bool hung);           // takes set-ups and answers none
  void silent(bool silent) { silent_ = silent; }  // answers nothing at all
  void slow(double times) { slow_ = times; }
  void lose(Instant now, double share);  // cuts that share of its standing sessions

  struct Counters {
    std::uint64_t setUps = 0, established = 0, ended = 0, rejected = 0, linesBusy = 0, abandoned = 0, aborted = 0;
  };
  const Counters& counters() const { return counters_; }
  bool hasCollapsed() const { return fallen_; }
  std::size_t establishedSessions() const { return standing_; }
  std::uint64_t incarnation() const { return mark_; }

 private:
  enum class Work { setUp, turnAway, answer, release };
  struct Taken;
  struct Job {
    Work work;
    std::uint64_t session;  // key into taken_; gone by then: the job is dropped
  };

  void onIncomingCall(iax2::Call& call, const iax2::Frame& frame) override;
  void onPong(iax2::Address, const iax2::Frame&) override {}
  iax2::Elements pongElements(iax2::Address to) override;

  double speed() const;
  double cost(Work work) const;
  void enqueue(Job job);
  void startNext();
  void finishJob(const Job& job);
  void refuse(Taken& taken, iax2::ReleaseReason why, std::uint8_t code, Span wait);
  Span wait() const;
  iax2::Elements told() const;

  ProcessorModel model_;
  Instant now_;
  Instant started_;
  std::uint64_t mark_;
  iax2::Endpoint endpoint_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Taken>> taken_;
  std::uint64_t serial_ = 0;
  std::deque<Job> urgent_, waiting_;  // answers and releases go ahead of set-ups
  bool busy_ = false;
  Job current_{};
  Instant doneAt_ = Instant::never();
  std::deque<Instant> sent_;                       // set-ups within the tip window
  std::deque<std::pair<Instant, double>> worked_;  // ms of work done lately
  std::map<std::string, int> inUse_;
  double slow_ = 1;
  bool hung_ = false, silent_ = false, fallen_ = false;
  std::size_t standing_ = 0;
  Counters counters_;
};

}  // namespace thistlefold
