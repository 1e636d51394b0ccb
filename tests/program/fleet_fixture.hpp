#pragma once

// Helpers of the program tests: a small fleet on the virtual testbed, a phone that is controlled frame by frame, and
// controllers that break the rules.

#include <doctest/doctest.h>
#include <unistd.h>

#include <algorithm>
#include <boost/json.hpp>
#include <deque>
#include <filesystem>
#include <map>

#include "audit/audit.hpp"
#include "audit/session_trace.hpp"
#include "day/play.hpp"
#include "day/testbed.hpp"
#include "iax2/endpoint.hpp"
#include "simulators/directory.hpp"
#include "simulators/exchange.hpp"

namespace thistlefold::test {

/// A fleet in one zone, named "home", with a group of `circuits` circuits between any two of its places. Exchange
/// number i (from 0) is named "e" and i + 1, and called numbers that begin with 20 + i end there.
inline Fleet smallFleet(int places, int circuits) {
  Fleet fleet;
  fleet.offeredServices = {{"call", 1}, {"wide", 4}};
  Service service;
  service.value = 1;
  service.lateValue = 0.25;
  service.postDialTarget = Span::ms(2000);
  service.timerLimit = Span::ms(9000);
  service.meanHold = Span::ms(3000);
  fleet.config.services = {service, service};
  fleet.config.maxInvites = 6;
  fleet.config.honoursRetryAfter = true;
  fleet.config.longestRetryAfter = Span::ms(2000);
  fleet.config.releaseTime = Span::ms(300);
  fleet.config.coldCapacityShare = 0.3;
  fleet.config.warmUpTime = Span::ms(8000);
  fleet.config.overloadFactor = 3;
  fleet.config.overloadWindow = Span::ms(1500);
  for (int i = 0; i < places; ++i) {
    ExchangeSite place;
    place.name = "e" + std::to_string(i + 1);
    place.zone = "home";
    place.numbers = std::to_string(20 + i);
    place.setUpsPerSecond = 100;
    fleet.places.push_back(place);
    for (int j = 0; j < i; ++j) fleet.groups.push_back({j, i, circuits});
  }
  return fleet;
}

/// Opens and answers calls as a test demands, and counts the frames that it receives. Accepts every incoming call, but
/// sends no ACCEPT by itself.
class TestPhone final : public DatagramHandler, private iax2::CallListener, private iax2::CallOwner {
 public:
  /// All random draws of the IAX2 endpoint come from `seed`.
  explicit TestPhone(std::uint64_t seed) : endpoint_(*this, seed) {}

  /// Opens a call to the office at `to`; `limit` is the time left that the NEW carries.
  iax2::Call* dial(Instant now, iax2::Address to, const std::string& number, Span limit = Span::ms(3000),
                   const std::string& service = "call") {
    iax2::Elements e;
    e.calledNumber = number;
    e.calledContext = service;
    e.timeLeftMs = static_cast<std::uint32_t>(limit.ms());
    now_ = now;
    iax2::Call* call = endpoint_.open(now, to, this, e);
    if (call != nullptr) outgoingCalls.push_back(call);
    return call;
  }
  void receive(Instant now, iax2::Address from, std::span<const std::uint8_t> datagram) override {
    now_ = now;
    endpoint_.receive(now, from, datagram);
  }
  void process(Instant now, const DatagramSender& out) override {
    endpoint_.expire(now);
    endpoint_.flush(now, out);
  }
  Instant nextDeadline() const override { return endpoint_.nextDue(); }
  /// The IAX2 endpoint that carries the phone's calls.
  iax2::Endpoint& endpoint() { return endpoint_; }

  /// Frames received of one name, as iax2::name() has it.
  int count(const std::string& name) const {
    const auto it = receivedFrames_.find(name);
    return it == receivedFrames_.end() ? 0 : it->second;
  }
  /// Frames received that answer or end a call.
  int finalResponses() const { return count("ANSWER") + count("REJECT") + count("HANGUP"); }
  std::deque<iax2::Call*> incomingCalls;                   // received and not yet ended
  std::deque<iax2::Call*> outgoingCalls;                   // opened here and not yet ended
  std::uint64_t lastSession = 0;                           // session number of the NEW received last
  std::uint8_t lastCause = 0;                              // cause code received last
  iax2::CallEnd lastCallEnd = iax2::CallEnd::localHangUp;  // how the call that ended last has ended
  int endedCalls = 0;                                      // in both directions

 private:
  void onIncomingCall(iax2::Call& call, const iax2::Frame& frame) override {
    ++receivedFrames_["NEW"];
    lastSession = frame.elements.session.value_or(0);
    call.setOwner(this);
    incomingCalls.push_back(&call);
  }
  void onFrame(iax2::Call&, const iax2::Frame& frame) override {
    ++receivedFrames_[iax2::name(frame)];
    if (frame.elements.causeCode) lastCause = *frame.elements.causeCode;
  }
  void onCallEnded(iax2::Call& call, iax2::CallEnd how) override {
    std::erase(incomingCalls, &call);
    std::erase(outgoingCalls, &call);
    lastCallEnd = how;
    ++endedCalls;
  }
  void onPong(iax2::Address, const iax2::Frame&) override { ++receivedFrames_["PONG"]; }
  iax2::Elements pongElements(iax2::Address) override { return {}; }

  iax2::Endpoint endpoint_;
  Instant now_;
  std::map<std::string, int> receivedFrames_;
};

/// A fleet on the virtual testbed with a directory, simulated exchanges, and a capture of all datagrams, which
/// findings() audits. Datagrams take 5 ms unless `impairment` is set.
class FleetFixture {
 public:
  /// `make` makes the controllers of the offices. The capture is a file in the temporary folder, named after
  /// `captureName` and the process, which the destructor removes.
  explicit FleetFixture(Fleet fleet, ControllerFactory make = makeController, const std::string& captureName = "fleet")
      : path_((std::filesystem::temp_directory_path() /
               ("thistlefold-" + captureName + "-" + std::to_string(::getpid()) + ".pcapng"))
                  .string()),
        testbed_(day::virtualTestbed(std::move(fleet), std::move(make))),
        capture_(path_),
        directory_(offices(), testbed_->fleet().places.size(), testbed_->now()) {
    testbed_->setTap(
        [this](Instant at, iax2::Address from, iax2::Address to, std::span<const std::uint8_t> bytes, bool delivered) {
          capture_.write({at, delivered, from, to, bytes});
        });
    testbed_->setImpairment([this](iax2::Address from, iax2::Address to, std::vector<std::uint8_t>& bytes) {
      return impairment ? impairment(from, to, bytes) : std::vector<Span>{Span::ms(5)};
    });
    for (std::size_t i = 0; i < testbed_->fleet().places.size(); ++i) exchanges_.push_back(nullptr);
  }
  ~FleetFixture() {
    for (std::size_t i = 0; i < exchanges_.size(); ++i) testbed_->detach(day::processorIdentity(static_cast<int>(i)));
    testbed_->detach(day::kDirectoryIdentity);
    testbed_->detach(day::kCallersIdentity);
    testbed_->runUntil(testbed_->now() + Span::ms(20));
    std::filesystem::remove(path_);
  }

  /// Starts the directory, all exchanges (warm) and all offices, and lets 1.5 s pass.
  void start(bool withDirectory = true) {
    if (withDirectory) testbed_->attach(day::kDirectoryIdentity, directory_);
    for (std::size_t i = 0; i < exchanges_.size(); ++i) startExchange(static_cast<int>(i), true);
    for (std::size_t i = 0; i < exchanges_.size(); ++i) testbed_->startOffice(static_cast<int>(i), 7 + i);
    run(1500);
  }
  /// Starts an exchange, or replaces a running one by another processor.
  SimulatedExchange& startExchange(int place, bool warm) {
    auto& at = exchanges_[static_cast<std::size_t>(place)];
    if (at != nullptr) {
      testbed_->detach(day::processorIdentity(place));
      run(5);
      note("processor-started " + testbed_->fleet().places[static_cast<std::size_t>(place)].name);
    }
    ProcessorModel model;
    model.setUpWork = 10;
    model.followUpWork = 3.5;
    model.rejectWork = 2;
    model.coldCapacityShare = 0.3;
    model.warmUpTime = Span::ms(8000);
    at = std::make_unique<SimulatedExchange>(model, 5 + static_cast<std::uint64_t>(place), testbed_->now(), warm);
    testbed_->attach(day::processorIdentity(place), *at);
    return *at;
  }
  /// The exchange that runs at `place` now.
  SimulatedExchange& exchange(int place) { return *exchanges_[static_cast<std::size_t>(place)]; }
  /// The simulated directory, which takes part only if start() has attached it.
  SimulatedDirectory& directory() { return directory_; }
  /// Makes the directory report that the processor with that incarnation has this readiness.
  void setListedReadiness(int place, Readiness readiness, std::uint64_t incarnation) {
    directory_.setState(testbed_->now(), place, readiness, incarnation, Span::none());
    testbed_->wakeUp(day::kDirectoryIdentity);
  }
  /// The virtual testbed that carries the fleet.
  day::Testbed& testbed() { return *testbed_; }
  /// The testbed's virtual clock.
  Instant now() const { return testbed_->now(); }
  /// Lets `ms` milliseconds of virtual time pass.
  void run(double ms) { testbed_->runUntil(testbed_->now() + Span::ms(ms)); }
  /// Records an action in the capture, as a day's script does.
  void note(const std::string& text) { capture_.note(testbed_->now(), text); }
  /// Pauses an office, whose datagrams wait, or lets it run again.
  void freeze(int place, bool frozen) {
    note((frozen ? "freeze " : "thaw ") + testbed_->fleet().places[static_cast<std::size_t>(place)].name);
    testbed_->freezeOffice(place, frozen);
  }
  /// Address of the office at `place`.
  iax2::Address office(int place) const { return testbed_->fleet().places[static_cast<std::size_t>(place)].office; }
  /// A number from an office's status report.
  std::int64_t statusField(int place, const std::string& field) {
    return boost::json::parse(testbed_->query(place, "thistlefold status 1\n").value())
        .at(field)
        .to_number<std::int64_t>();
  }
  /// Free circuits of the group to `other`, as counted by the office at `place`.
  std::int64_t freeCircuits(int place, int other) {
    return boost::json::parse(testbed_->query(place, "thistlefold status 1\n").value())
        .at("exchanges")
        .at(static_cast<std::size_t>(other))
        .at("free")
        .to_number<std::int64_t>();
  }
  /// Closes the capture and audits it. To be called once, at the end.
  audit::Findings findings() {
    capture_.close();
    return audit::audit(testbed_->fleet(), path_, testbed_->tolerance());
  }
  /// Path of the capture file.
  const std::string& path() const { return path_; }

  /// Delays of the copies of each datagram; none: it is lost.
  net::Impairment impairment;
  /// Sets the impairment of frames between offices, by place; all other datagrams take 5 ms.
  void impairBetweenOffices(std::function<std::vector<Span>(int from, int to, const iax2::Frame& frame)> delays) {
    impairment = [this, delays = std::move(delays)](iax2::Address from, iax2::Address to,
                                                    std::vector<std::uint8_t>& bytes) {
      const std::vector<iax2::Address> all = offices();
      const auto a = std::find(all.begin(), all.end(), from), b = std::find(all.begin(), all.end(), to);
      iax2::Frame frame;
      if (a == all.end() || b == all.end() || iax2::decode(bytes, frame) != iax2::DecodeResult::full)
        return std::vector<Span>{Span::ms(5)};
      return delays(static_cast<int>(a - all.begin()), static_cast<int>(b - all.begin()), frame);
    };
  }

 private:
  std::vector<iax2::Address> offices() const {
    std::vector<iax2::Address> all;
    for (const ExchangeSite& place : testbed_->fleet().places) all.push_back(place.office);
    return all;
  }
  std::string path_;
  std::unique_ptr<day::Testbed> testbed_;
  capture::Writer capture_;
  SimulatedDirectory directory_;
  std::vector<std::unique_ptr<SimulatedExchange>> exchanges_;
};

/// Sends every session direct at once, and again whenever an INVITE fails, regardless of lists, capacity and release
/// time. With `sendTwice` it sends two INVITEs at a time; with `neverAnswer` it neither sends nor answers any session.
class RogueController final : public Controller {
 public:
  /// Which rules the controller breaks, in addition to the disregard of lists, capacity and release time.
  struct Faults {
    bool sendTwice = false, neverAnswer = false;
  };
  explicit RogueController(Faults faults) : faults_(faults) {}

  void round(Instant now, RoundEvents& events, DecisionSink& sink) override {
    now_ = now;
    sink_ = &sink;
    events.deliver(*this);
    for (Session* session : std::exchange(undecided_, {})) {
      if (session->finished) continue;
      if (session->destination == nullptr || now_ >= session->timerLimit) {
        session->finished = true;
        if (!faults_.neverAnswer) sink.rejectBusy(*session, Span::none());
        continue;
      }
      if (faults_.neverAnswer) continue;
      sink.invite(*session, *session->destination, Span::ms(400));
      if (faults_.sendTwice) sink.invite(*session, *session->destination, Span::ms(400));
    }
    sink.scheduleWakeUp(Span::ms(100));
  }
  void exchangeListed(Exchange& exchange, Readiness readiness, Instant started) override {
    exchange.readiness = readiness;
    exchange.started = started;
  }
  void listFailed() override {}
  void circuitsChanged(Exchange&, double, double) override {}
  void capacityReported(Exchange&, double) override {}
  void sessionArrived(Session& session) override { undecided_.push_back(&session); }
  void inviteAccepted(Session& session, Span) override { session.established = true; }
  void inviteEnded(Session& session, Exchange&, InviteOutcome outcome, BlockingReason, bool, Span,
                   bool final) override {
    if (final || outcome == InviteOutcome::released) {
      session.finished = true;
    } else {
      undecided_.push_back(&session);
    }
  }
  void sessionAbandoned(Session& session) override { session.finished = true; }

 private:
  Faults faults_;
  Instant now_;
  DecisionSink* sink_ = nullptr;
  std::vector<Session*> undecided_;
};

/// A factory that makes a RogueController for each office.
inline ControllerFactory rogueController(RogueController::Faults faults = {}) {
  return [faults](const OfficeConfig&, std::uint64_t) { return std::make_unique<RogueController>(faults); };
}

}  // namespace thistlefold::test
