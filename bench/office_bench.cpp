// The cost of a session at an office: the real office and controller without sockets, compared with the same loop and a
// controller that always chooses the direct group, and single parts of the signalling. All peers are simulated here.

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <boost/asio/io_context.hpp>
#include <deque>

#include "net/real.hpp"
#include "office/office.hpp"

using namespace thistlefold;

namespace {

/// The baseline: sends every session over the direct group and makes no other decision.
class AlwaysDirect final : public Controller {
 public:
  void round(Instant now, RoundEvents& events, DecisionSink& sink) override {
    sink_ = &sink;
    events.deliver(*this);
    for (Session* session : std::exchange(pending_, {})) {
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
  void sessionArrived(Session& session) override { pending_.push_back(&session); }
  void inviteAccepted(Session&, Span) override {}
  void inviteEnded(Session& session, Exchange&, InviteOutcome, BlockingReason, bool, Span, bool final) override {
    if (final) session.finished = true;
    if (!final) pending_.push_back(&session);
  }
  void sessionAbandoned(Session& session) override { session.finished = true; }

 private:
  DecisionSink* sink_ = nullptr;
  std::vector<Session*> pending_;
};

/// With `acrossZones`, the measured office is in a zone of its own and every leg crosses zones.
Fleet makeFleet(int places, bool acrossZones, int budget, zones::Division division) {
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
    place.zone = acrossZones && i > 0 ? "away" : "home";
    place.numbers = std::to_string(1000 + i);
    place.office = {100, static_cast<std::uint16_t>(i + 1)};
    place.processor = {200, static_cast<std::uint16_t>(i + 1)};
    fleet.places.push_back(place);
    // Large enough that every session finds a circuit: the benchmark measures work, not blocking.
    for (int j = 0; j < i; ++j) fleet.groups.push_back({j, i, 30000});
  }
  if (budget > 0) {
    zones::Budget budgetBetweenZones;
    budgetBetweenZones.to = 1;
    budgetBetweenZones.circuits = budget;
    budgetBetweenZones.division = division;
    fleet.budgets.push_back(budgetBetweenZones);
  }
  return fleet;
}

/// An endpoint that plays the callers or the other offices.
struct FarEnd final : iax2::CallListener, iax2::CallOwner {
  explicit FarEnd(std::uint64_t seed) : endpoint(*this, seed, timing()) {}
  static iax2::DialogueTiming timing() {
    iax2::DialogueTiming shortLinger;
    // Sessions follow each other so fast that call numbers which linger for ten seconds would run out.
    shortLinger.linger = Span::ms(500);
    return shortLinger;
  }
  void onIncomingCall(iax2::Call& call, const iax2::Frame&) override {
    call.setOwner(this);
    endpoint.send(now, call, iax2::Iax::ACCEPT);
    endpoint.send(now, call, iax2::Control::answer);
  }
  void onPong(iax2::Address, const iax2::Frame&) override {}
  iax2::Elements pongElements(iax2::Address) override {
    iax2::Elements elements;
    elements.incarnation = 1u;
    return elements;
  }
  void onFrame(iax2::Call& call, const iax2::Frame& frame) override {
    if (frame.is(iax2::Control::answer)) established.push_back(&call);
  }
  void onCallEnded(iax2::Call&, iax2::CallEnd) override {}

  iax2::Endpoint endpoint;
  Instant now;
  std::deque<iax2::Call*> established;
};

const iax2::Address kOffice{1, 1}, kCaller{2, 2};

struct Bench {
  Bench(int places, const ControllerFactory& factory, bool acrossZones = false, int budget = 0,
        zones::Division division = zones::Division::equal)
      : fleet(makeFleet(places, acrossZones, budget, division)), office(fleet, officeOptions(), now, factory) {
    ExchangeList list{1, 1, true, {}, {}};
    for (int i = 0; i < places; ++i) list.entries.push_back({i, Readiness::ready, 1, Span::ms(1e6)});
    const std::string text = encode(list);
    office.receive(now, fleet.directory, {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()});
    // An office that has just started admits no session over a budget during the startup delay.
    now = now + Span::ms(1500);
    exchangeDatagrams(4);
  }
  static OfficeOptions officeOptions() {
    OfficeOptions options;
    options.maxSessions = 100000;
    options.timing.maxCalls = 200000;
    options.timing.linger = Span::ms(500);
    return options;
  }
  /// Delivers all pending datagrams in both directions, `times` times, 0.2 ms apart.
  void exchangeDatagrams(int times) {
    for (int i = 0; i < times; ++i) {
      now = now + Span::ms(0.2);
      farEnd.now = callers.now = now;
      callers.endpoint.expire(now);
      callers.endpoint.flush(now, [&](iax2::Address, iax2::Bytes bytes) { office.receive(now, kCaller, bytes); });
      farEnd.endpoint.expire(now);
      farEnd.endpoint.flush(now, [&](iax2::Address, iax2::Bytes) {});
      for (auto& [from, bytes] : std::exchange(toOffice, {})) office.receive(now, from, bytes);
      office.process(now, [&](iax2::Address to, iax2::Bytes bytes) {
        if (to == kCaller) return callers.endpoint.receive(now, kOffice, bytes);
        // The far end must see different peers; its endpoint answers each from the address that was called.
        lastPeer = to;
        farEnd.endpoint.receive(now, {to.ip, to.port}, bytes);
        farEnd.endpoint.flush(now, [&](iax2::Address from, iax2::Bytes reply) {
          toOffice.emplace_back(from, std::vector<std::uint8_t>(reply.begin(), reply.end()));
        });
      });
    }
  }
  void dial() {
    iax2::Elements elements;
    const std::size_t to = 1 + dialledCount % (fleet.places.size() - 1);
    number = fleet.places[to].numbers + std::to_string(dialledCount++ % 10000);
    elements.calledNumber = number;
    elements.calledContext = "call";
    elements.timeLeftMs = 9000u;
    callers.now = now;
    callers.endpoint.open(now, kOffice, &callers, elements);
  }
  void hangUpOldest() {
    if (callers.established.empty()) return;
    callers.endpoint.hangUp(now, *callers.established.front(), iax2::Iax::HANGUP, {});
    callers.established.pop_front();
  }

  Instant now = Instant::ms(1000);
  Fleet fleet;
  FarEnd callers{1}, farEnd{2};
  Office office;
  iax2::Address lastPeer;
  std::vector<std::pair<iax2::Address, std::vector<std::uint8_t>>> toOffice;
  std::string number;
  std::size_t dialledCount = 0;
};

std::unique_ptr<Controller> makeAlwaysDirect(const OfficeConfig&, std::uint64_t) {
  return std::make_unique<AlwaysDirect>();
}

/// Sessions from NEW to the confirmed HANGUP, ten per round.
void runSessions(benchmark::State& state, const ControllerFactory& factory, bool acrossZones = false, int budget = 0,
                 zones::Division division = zones::Division::equal) {
  Bench bench(static_cast<int>(state.range(0)), factory, acrossZones, budget, division);
  constexpr int kSessionsPerRound = 10;
  for (auto _ : state) {
    for (int i = 0; i < kSessionsPerRound; ++i) bench.dial();
    bench.exchangeDatagrams(4);
    for (int i = 0; i < kSessionsPerRound; ++i) bench.hangUpOldest();
    bench.exchangeDatagrams(2);
  }
  state.SetItemsProcessed(state.iterations() * kSessionsPerRound);
  state.counters["stood"] =
      static_cast<double>(bench.office.counters().established) / static_cast<double>(bench.dialledCount);
}

void sessionByModule(benchmark::State& state) { runSessions(state, makeController); }
void sessionDirect(benchmark::State& state) { runSessions(state, makeAlwaysDirect); }

// The same sessions with every leg across zones: with usage accounting only, and under a budget that never limits them.
void sessionAcross(benchmark::State& state) { runSessions(state, makeController, true); }
void sessionBudget(benchmark::State& state) { runSessions(state, makeController, true, 900000); }
void sessionLent(benchmark::State& state) {
  runSessions(state, makeController, true, 900000, zones::Division::lending);
}

void memoryStanding(benchmark::State& state) {
  for (auto _ : state) {
    auto bench = std::make_unique<Bench>(6, makeController);
    // Both far ends keep state too, which the measured bytes include. Their calls per session are reported next to it.
    const std::size_t before = ::mallinfo2().uordblks;
    const std::size_t callsBefore = bench->callers.endpoint.calls() + bench->farEnd.endpoint.calls();
    for (int i = 0; i < 1000; ++i) {
      for (int k = 0; k < 10; ++k) bench->dial();
      bench->exchangeDatagrams(4);
    }
    const std::size_t after = ::mallinfo2().uordblks;
    const auto standing = static_cast<double>(bench->office.establishedSessions());
    const auto others =
        static_cast<double>(bench->callers.endpoint.calls() + bench->farEnd.endpoint.calls() - callsBefore);
    state.counters["standing"] = standing;
    state.counters["bytes_a_session_with_far_ends"] = static_cast<double>(after - before) / standing;
    state.counters["far_end_calls_a_session"] = others / standing;
  }
}

void decodeNew(benchmark::State& state) {
  iax2::Elements elements;
  elements.version = std::uint16_t{2};
  elements.calledNumber = "10010001";
  elements.calledContext = "status-check";
  elements.session = 1u;
  elements.timeLeftMs = 9000u;
  const auto wire = iax2::encode(iax2::FrameHeader(), elements);
  iax2::Frame frame;
  for (auto _ : state) benchmark::DoNotOptimize(iax2::decode(wire, frame));
}

void encodeNew(benchmark::State& state) {
  iax2::Elements elements;
  elements.calledNumber = "10010001";
  elements.calledContext = "status-check";
  elements.session = 1u;
  elements.timeLeftMs = 9000u;
  for (auto _ : state) benchmark::DoNotOptimize(iax2::encode(iax2::FrameHeader(), elements));
}

/// Only the datagrams of a session: seven in and seven out of about that size, through two real ports in one thread, so
/// that each is sent and received twice.
void bareEchoes(benchmark::State& state) {
  boost::asio::io_context context;
  const auto localPort = net::bindPort(context.get_executor(), {0x7f000001, 0});
  const auto remotePort = net::bindPort(context.get_executor(), {0x7f000001, 0});
  const std::vector<std::uint8_t> datagram(60, 7);
  constexpr int kSessionsPerRound = 10, kDatagramsPerSession = 7;
  for (auto _ : state) {
    for (int i = 0; i < kSessionsPerRound * kDatagramsPerSession; ++i) localPort->send(remotePort->address(), datagram);
    remotePort->drain(1000,
                      [&](iax2::Address from, std::span<const std::uint8_t> bytes) { remotePort->send(from, bytes); });
    std::size_t returned = 0;
    localPort->drain(1000, [&](iax2::Address, std::span<const std::uint8_t>) { ++returned; });
    if (returned != kSessionsPerRound * kDatagramsPerSession) state.SkipWithError("datagrams were lost");
  }
  state.SetItemsProcessed(state.iterations() * kSessionsPerRound);
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
