#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "platform/deployment.hpp"
#include "platform/message.hpp"
#include "stream_handler.hpp"
#include "thistlefold/controller.hpp"
#include "thistlefold/decision_sink.hpp"

namespace thistlefold::platform {

struct Call;
struct Peer;
struct Side;
struct CallerSide;
struct TrunkSide;

using ControllerFactory = std::function<std::unique_ptr<Controller>(const OfficeConfig&, std::uint64_t seed)>;

/// What passed since the start.
struct Counts {
  std::uint64_t taken = 0, answered = 0, refused = 0, failed = 0, abandoned = 0, invites = 0, cut = 0;
  std::uint64_t unusable = 0;  // messages or streams from callers that can't be used
  std::uint64_t spoilt = 0;    // streams from exchanges that can't be read any more
  std::uint64_t dialled = 0, notUp = 0;
  std::uint64_t overBound = 0;  // set-ups turned away at a bound of this office
  std::uint64_t takenBack =
      0;                    // INVITEs that waited for a connection until their exchange was told of as leaving or anew
  std::uint64_t asked = 0;  // connections to the bulletin
};

/// One softswitch on the platform's protocol: connections, set-ups and standing calls between messages and the
/// module. Free of I/O and clock. All routes, waits, repeats and judgements of health are the module's.
class Softswitch final : public StreamHandler, private RoundEvents, private DecisionSink {
 public:
  /// `dialler` must outlive it. `tell` hears of what an operator should know, in one line each.
  Softswitch(Deployment deployment, Instant now, Dialler& dialler, const ControllerFactory& open,
             std::function<void(std::string_view)> tell);
  ~Softswitch() override;

  void came(Instant now, Stream& stream) override;
  void up(Instant now, Stream& stream) override;
  void read(Instant now, Stream& stream, std::string_view bytes) override;
  void down(Instant now, Stream& stream, StreamEnd how) override;
  void process(Instant now) override;
  Instant nextDeadline() const override;

  /// The configuration was replaced: the bulletin may be elsewhere and more events known.
  void reconfigured(Instant now, const Deployment& deployment);
  /// A planned restart: what is open is finished, what comes soon is still taken.
  void stop(Instant now);
  /// Nothing is open any more and nothing usual comes any more.
  bool stopped(Instant now) const;
  /// After that: each connection is closed, once what was sent last has gone out.
  void part(Instant now);

  const Counts& counts() const { return counts_; }
  /// What this softswitch believes of itself and of each exchange, in one line.
  std::string account() const;

 private:
  void deliver(Controller& controller) override;
  void invite(const Session& session, const Exchange& to, Span giveUpAfter) override;
  void rejectBusy(const Session& session, Span retryAfter) override;
  void failUncertain(const Session& session) override;
  void scheduleWakeUp(Span delay) override;
  void subscribe() override {}

  void fromCaller(CallerSide& side, std::string_view line);
  void setup(CallerSide& side, const Message& message);
  void standsAlready(CallerSide& side, const Message& message, std::string_view at);
  void unusable(CallerSide& side, std::string_view id);
  void overFull(CallerSide& side, std::string_view id);
  void releasedByCaller(Call& call, int cause);
  void dropDescription(Call& call);
  void closeCaller(CallerSide& side, bool atOnce = false);
  CallerSide* callerFor(const Call& call);

  void fromExchange(TrunkSide& side, std::string_view line);
  void feedback(Peer& peer, const Message& message);
  void answeredBy(TrunkSide& side, Call& call, const std::string& description);
  void releasedBy(TrunkSide& side, Call& call, const Message& message);
  void over(Call& call, InviteOutcome ending, int cause);
  void ended(Call& call, InviteOutcome ending, BlockingReason reason = BlockingReason::none, bool farProcessor = false,
             Span toldWait = Span::none());
  void lose(TrunkSide& side, InviteOutcome unsent);
  void release(Peer& peer, TrunkSide* side, const std::string& id, int cause);
  TrunkSide* sideFor(Peer& peer);
  TrunkSide* dial(Peer& peer);
  bool makeRoomFor(const Peer& peer);
  void writeTo(TrunkSide& side, const std::string& id, int cause);
  void takeBack(TrunkSide& side);
  void write(TrunkSide& side, Call& call);
  void leave(Peer& peer);
  void notUp(Peer& peer, bool refused);
  void cutStanding(Peer& peer, Instant before);
  void finish(Call& call, Kind kind, const Fields& fields, int cause, std::string_view description = {});
  void tellCaller(Call& call, int cause);

  void apply(const std::vector<BulletinEvent>& events);
  void fromBulletin(std::string_view bytes);
  void askBulletin();
  void askBulletinWithin(Span most);
  double chance();
  void keepSides();
  void keepCallers();
  void round();

  Deployment deployment_;
  Dialler* dialler_;
  std::function<void(std::string_view)> tell_;
  std::unique_ptr<Controller> controller_;
  wire::ExchangeRegistry registry_;
  std::unordered_map<std::string, std::unique_ptr<Call>> calls_;
  std::vector<Call*> ringing_;
  std::vector<std::string> finished_;
  std::vector<std::unique_ptr<CallerSide>> callers_;
  std::vector<std::unique_ptr<Side>> dead_;  // kept until the round is over
  struct Bulletin;
  std::unique_ptr<Bulletin> bulletin_;
  std::vector<std::function<void(Controller&)>> events_, delivered_;
  struct Over {
    std::string id;
    Instant at;
    int cause;
  };
  std::vector<Over> overUnknown_;  // released by an exchange before a caller named them
  std::vector<Over> owedToCallers_;
  Counts counts_;
  std::ranlux24_base chance_;
  std::size_t openCalls_ = 0;
  std::size_t descriptions_ = 0;  // bytes of those of open set-ups
  std::size_t trunkCount_ = 0;
  Instant now_;
  Instant wakeAt_ = Instant::distantPast();
  Instant keptAt_ = Instant::distantPast();
  bool parted_ = false;
  Instant stoppingSince_ = Instant::never(), leaveAt_ = Instant::never();
};

}  // namespace thistlefold::platform
