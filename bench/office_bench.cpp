// What a session costs an office: the real engine and module, no sockets, against the same loop with a controller that
// always goes direct, and the pieces of the signalling by themselves. All peers are simulated here.

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <boost/asio/io_context.hpp>
#include <deque>

#include "net/real.hpp"
#include "office/office.hpp"

using namespace thistlefold;

namespace {

/// Goes direct and answers; decides nothing. The baseline.
class AlwaysDirect final : public Controller {
 public:
  void round(Instant now, RoundEvents& events, DecisionSink& sink) override {
    sink_ = &sink;
    events.deliver(*this);
    for (Session* session : std::exchange(inHand_, {})) {
      if (session->finished) continue;
      if (session->destination != nullptr && now < session->timerLimit && session->invites++ == 0) {
        sink.invite(*session, *session->destination, session->timerLimit - now);
      } else {
        session->finished = true;
        sink.rejectBusy(*session, Span::none());
      }
    }
    sink.scheduleWakeUp(Span::ms(100));
  }
  void exchangeListed(Exchange&, Readiness, Instant) override {}
  void listFailed() override {}
  void circuitsChanged(Exchange&, double, double) override {}
  void capacityReported(Exchange&, double) override {}
  void sessionArrived(Session& session) override { inHand_.push_back(&session); }
  void inviteAccepted(Session&, Span) override {}
  void inviteEnded(Session& session, Exchange&, InviteOutcome, BlockingReason, bool, Span, bool final) override {
    if (final) session.finished = true;
    if (!final) inHand_.push_back(&session);
  }
  void sessionAbandoned(Session& session) override { session.finished = true; }

 private:
  DecisionSink* sink_ = nullptr;
  std::vector<Session*> inHand_;
};

/// With `across`, the measured office is in a zone of its own and every leg crosses.
Fleet fleetOf(int places, bool across, int budget, zones::Dividing dividing) {
  Fleet fleet;
  fleet.offeredServices = {{"call", 1}};
  Service service;
  service.postDialTarget = Span::ms(2000);
  service.timerLimit = Span::ms(9000);
  service.meanHold = Span::ms(1000);
  fleet.config.services = {service};
  fleet.config.maxInvites = 6;
  fleet.config.releaseTime = Span::ms(300);
  fleet.directory = {9, 9};
  for (int i = 0; i < places; ++i) {
    ExchangeSite place;
    place.name = "e" + std::to_string(i);
    place.zone = across && i > 0 ? "away" : "home";
    place.numbers = std::to_string(1000 + i);
    place.office = {100, static_cast<std::uint16_t>(i + 1)};
    place.processor = {200, static_cast<std::uint16_t>(i + 1)};
    fleet.places.push_back(place);
    // Wide enough that every session finds a circuit: this measures work, not blocking.
    for (int j = 0; j < i; ++j) fleet.groups.push_back({j, i, 30000});
  }
  if (budget > 0) {
    zones::Budget one;
    one.to = 1;
    one.circuits = budget;
    one.dividing = dividing;
    fleet.budgets.push_back(one);
  }
  return fleet;
}

/// The far ends: callers and other offices in one, each an endpoint of its own.
struct FarEnd final : iax2::CallListener, iax2::CallOwner {
  explicit FarEnd(std::uint64_t seed) : endpoint(*this, seed, timing()) {}
  static iax2::DialogueTiming timing() {
    iax2::DialogueTiming short_;
    // Sessions follow each other so fast here that numbers that linger for ten seconds would run out.
    short_.linger = Span::ms(500);
    return short_;
  }
  void onIncomingCall(iax2::Call& call, const iax2::Frame&) override {
    call.setOwner(this);
    endpoint.send(now, call, iax2::Iax::ACCEPT);
    endpoint.send(now, call, iax2::Control::answer);
  }
  void onPong(iax2::Address, const iax2::Frame&) override {}
  iax2::Elements pongElements(iax2::Address) override {
    iax2::Elements e;
    e.incarnation = 1u;
    return e;
  }
  void onFrame(iax2::Call& call, const iax2::Frame& frame) override {
    if (frame.is(iax2::Control::answer)) standing.push_back(&call);
  }
  void onCallEnded(iax2::Call&, iax2::CallEnd) override {}

  iax2::Endpoint endpoint;
  Instant now;
  std::deque<iax2::Call*> standing;
};

const iax2::Address kOffice{1, 1}, kCaller{2, 2};

struct Bench {
  Bench(int places, const ControllerFactory& make, bool across = false, int budget = 0,
        zones::Dividing dividing = zones::Dividing::equal)
      : fleet(fleetOf(places, across, budget, dividing)), office(fleet, setting(), now, make) {
    ExchangeList list{1, 1, true, {}, {}};
    for (int i = 0; i < places; ++i) list.entries.push_back({i, Readiness::ready, 1, Span::ms(1e6)});
    const std::string text = encode(list);
    office.receive(now, fleet.directory, {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()});
    // An office that was just started lets nothing across a budget for a moment.
    now = now + Span::ms(1500);
    exchange(4);
  }
  static OfficeOptions setting() {
    OfficeOptions setting;
    setting.maxSessions = 100000;
    setting.timing.maxCalls = 200000;
    setting.timing.linger = Span::ms(500);
    return setting;
  }
  /// Everything that is to go passes to and fro, `times` over.
  void exchange(int times) {
    for (int i = 0; i < times; ++i) {
      now = now + Span::ms(0.2);
      far.now = callers.now = now;
      callers.endpoint.expire(now);
      callers.endpoint.flush(now, [&](iax2::Address, iax2::Bytes bytes) { office.receive(now, kCaller, bytes); });
      far.endpoint.expire(now);
      far.endpoint.flush(now, [&](iax2::Address, iax2::Bytes) {});
      for (auto& [from, bytes] : std::exchange(toOffice, {})) office.receive(now, from, bytes);
      office.process(now, [&](iax2::Address to, iax2::Bytes bytes) {
        if (to == kCaller) return callers.endpoint.receive(now, kOffice, bytes);
        // The far end must see different peers; its endpoint answers each from where it was asked.
        peer = to;
        far.endpoint.receive(now, {to.ip, to.port}, bytes);
        far.endpoint.flush(now, [&](iax2::Address from, iax2::Bytes reply) {
          toOffice.emplace_back(from, std::vector<std::uint8_t>(reply.begin(), reply.end()));
        });
      });
    }
  }
  void dial() {
    iax2::Elements e;
    const std::size_t to = 1 + serial % (fleet.places.size() - 1);
    number = fleet.places[to].numbers + std::to_string(serial++ % 10000);
    e.calledNumber = number;
    e.calledContext = "call";
    e.timeLeftMs = 9000u;
    callers.now = now;
    callers.endpoint.open(now, kOffice, &callers, e);
  }
  void hangUpOldest() {
    if (callers.standing.empty()) return;
    callers.endpoint.hangUp(now, *callers.standing.front(), iax2::Iax::HANGUP, {});
    callers.standing.pop_front();
  }

  Instant now = Instant::ms(1000);
  Fleet fleet;
  FarEnd callers{1}, far{2};
  Office office;
  iax2::Address peer;
  std::vector<std::pair<iax2::Address, std::vector<std::uint8_t>>> toOffice;
  std::string number;
  std::size_t serial = 0;
};

std::unique_ptr<Controller> direct(const OfficeConfig&, std::uint64_t) { return std::make_unique<AlwaysDirect>(); }

/// A session from NEW to the confirmed HANGUP, ten a round.
void session(benchmark::State& state, const ControllerFactory& make, bool across = false, int budget = 0,
             zones::Dividing dividing = zones::Dividing::equal) {
  Bench bench(static_cast<int>(state.range(0)), make, across, budget, dividing);
  constexpr int kAtOnce = 10;
  for (auto _ : state) {
    for (int i = 0; i < kAtOnce; ++i) bench.dial();
    bench.exchange(4);
    for (int i = 0; i < kAtOnce; ++i) bench.hangUpOldest();
    bench.exchange(2);
  }
  state.SetItemsProcessed(state.iterations() * kAtOnce);
  state.counters["stood"] =
      static_cast<double>(bench.office.counters().established) / static_cast<double>(bench.serial);
}

void sessionByModule(benchmark::State& state) { session(state, makeController); }
void sessionDirect(benchmark::State& state) { session(state, direct); }

// The same sessions, with every leg across zones: in the account, and under a budget that never binds.
void sessionAcross(benchmark::State& state) { session(state, makeController, true); }
void sessionBudget(benchmark::State& state) { session(state, makeController, true, 900000); }
void sessionLent(benchmark::State& state) { session(state, makeController, true, 900000, zones::Dividing::lent); }

void memoryStanding(benchmark::State& state) {
  for (auto _ : state) {
    auto bench = std::make_unique<Bench>(6, makeController);
    // Both far ends keep state too; what they keep is measured the same way and taken off by halves.
    const std::size_t before = ::mallinfo2().uordblks;
    const std::size_t callsBefore = bench->callers.endpoint.calls() + bench->far.endpoint.calls();
    for (int i = 0; i < 1000; ++i) {
      for (int k = 0; k < 10; ++k) bench->dial();
      bench->exchange(4);
    }
    const std::size_t after = ::mallinfo2().uordblks;
    const auto standing = static_cast<double>(bench->office.establishedSessions());
    const auto others =
        static_cast<double>(bench->callers.endpoint.calls() + bench->far.endpoint.calls() - callsBefore);
    state.counters["standing"] = standing;
    state.counters["bytes_a_session_with_far_ends"] = static_cast<double>(after - before) / standing;
    state.counters["far_end_calls_a_session"] = others / standing;
  }
}

void decodeNew(benchmark::State& state) {
  iax2::Elements e;
  e.version = std::uint16_t{2};
  e.calledNumber = "10010001";
  e.calledContext = "status-check";
  e.session = 1u;
  e.timeLeftMs = 9000u;
  const auto wire = iax2::encode(iax2::FrameHeader(), e);
  iax2::Frame frame;
  for (auto _ : state) benchmark::DoNotOptimize(iax2::decode(wire, frame));
}

void encodeNew(benchmark::State& state) {
  iax2::Elements e;
  e.calledNumber = "10010001";
  e.calledContext = "status-check";
  e.session = 1u;
  e.timeLeftMs = 9000u;
  for (auto _ : state) benchmark::DoNotOptimize(iax2::encode(iax2::FrameHeader(), e));
}

/// The datagrams of one session by themselves: seven in and seven out of about that size, through two real ports of one
/// thread, so that each is sent and received twice.
void bareEchoes(benchmark::State& state) {
  boost::asio::io_context context;
  const auto here = net::bindPort(context.get_executor(), {0x7f000001, 0});
  const auto there = net::bindPort(context.get_executor(), {0x7f000001, 0});
  const std::vector<std::uint8_t> datagram(60, 7);
  constexpr int kSessions = 10, kEach = 7;
  for (auto _ : state) {
    for (int i = 0; i < kSessions * kEach; ++i) here->send(there->address(), datagram);
    there->drain(1000, [&](iax2::Address from, std::span<const std::uint8_t> bytes) { there->send(from, bytes); });
    std::size_t back = 0;
    here->drain(1000, [&](iax2::Address, std::span<const std::uint8_t>) { ++back; });
    if (back != kSessions * kEach) state.SkipWithError("datagrams were lost");
  }
  state.SetItemsProcessed(state.iterations() * kSessions);
}

}  // namespace

BENCHMARK(bareEchoes);
BENCHMARK(sessionByModule)->Arg(6)->Arg(30)->Arg(90);
BENCHMARK(sessionDirect)->Arg(6)->Arg(30)->Arg(90);
BENCHMARK(sessionAcross)->Arg(6)->Arg(30);
BENCHMARK(sessionBudget)->Arg(6)->Arg(30);
BENCHMARK(sessionLent)->Arg(6)->Arg(30);
BENCHMARK(memoryStanding)->Iterations(1);
BENCHMARK(decodeNew);
BENCHMARK(encodeNew);
BENCHMARK_MAIN();
