#include "bench_adapter.hpp"

#include <rapidjson/document.h>
#include <rapidjson/error/en.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <iostream>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "thistlefold/controller.hpp"
#include "wire/exchange_registry.hpp"
#include "wire/fields.hpp"
#include "wire/office_config.hpp"

namespace thistlefold::bench_adapter {
namespace {

using namespace wire;
using rapidjson::Value;
using Json = rapidjson::Writer<rapidjson::StringBuffer>;

/// A session with the ticket that identifies it in the bench protocol.
struct TicketedSession : Session {
  std::string ticket;
};

/// A message of the batch that is being processed; `name` and `fields` point into the batch.
struct Event {
  std::string_view name;
  const Value* fields;
  std::shared_ptr<const rapidjson::Document> list;  // of a MEMBERS: the list that it refers to, as of that message
};

/// Writes the actions of one office into the reply.
class ActionWriter final : public DecisionSink {
 public:
  ActionWriter(Json& json, const std::string& instance) : json_(json), instance_(instance) {}

  void invite(const Session& session, const Exchange& to, Span answerTimeout) override {
    beginAction("ISSUE");
    writeTicket(session);
    writeExchange(to);
    writeMilliseconds("GiveUpAfter", answerTimeout);
    endAction();
  }
  void rejectBusy(const Session& session, Span retryAfter) override {
    beginAction("BUSY");
    writeTicket(session);
    writeMilliseconds("RetryAfter", retryAfter);
    endAction();
  }
  void failUncertain(const Session& session) override {
    beginAction("SURRENDER");
    writeTicket(session);
    endAction();
  }
  void scheduleWakeUp(Span delay) override {
    beginAction("SET_ALARM");
    writeMilliseconds("In", delay);
    writeField("Nonce", "wake");
    endAction();
  }
  void subscribe() override {
    beginAction("KEEP_INFORMED");
    json_.Key("Enable");
    json_.Bool(true);
    endAction();
  }
  void writeDie(std::string_view reason) {
    beginAction("DIE");
    writeField("ReasonText", reason);
    endAction();
  }

 private:
  void beginAction(const char* verb) {
    json_.StartObject();
    json_.Key(verb);
    json_.StartObject();
    writeField("I", instance_);
  }
  void endAction() {
    json_.EndObject();
    json_.EndObject();
  }
  void writeField(const char* key, std::string_view value) {
    json_.Key(key);
    json_.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  }
  void writeTicket(const Session& session) {
    writeField("Ticket", static_cast<const TicketedSession&>(session).ticket);
  }
  void writeExchange(const Exchange& to) {
    json_.Key("Exchange");
    json_.Uint(static_cast<const ListedExchange&>(to).id);
  }
  void writeMilliseconds(const char* key, Span span) {
    json_.Key(key);
    json_.Double(span.ms());
  }

  Json& json_;
  const std::string& instance_;
};

/// One simulated office: its controller, and the sessions and exchanges that the ids of the protocol refer to.
class Office final : public RoundEvents {
 public:
  explicit Office(const Value& start)
      : config_(readOfficeConfig(object(start, "Conf"))),
        registry_(config_.usesPools ? -1 : ownPlace(object(start, "Conf"))) {
    const Value& seed = requireField(start, "InitSeed");
    if (!seed.IsUint64() && !seed.IsInt64()) failField("InitSeed", "a whole number is wanted");
    const std::uint64_t seedValue = seed.IsUint64() ? seed.GetUint64() : static_cast<std::uint64_t>(seed.GetInt64());
    controller_ = makeController(config_, seedValue);
  }

  void runRound(Instant now, const std::vector<Event>& events, DecisionSink& sink) {
    events_ = &events;
    controller_->round(now, *this, sink);
    std::erase_if(sessions_,
                  [](const auto& entry) { return entry.second->finished && entry.second->pendingAt == nullptr; });
  }

  void deliver(Controller&) override {
    for (const Event& event : *events_) {
      const Value& fields = *event.fields;
      if (event.name == "INCOMING") {
        onIncoming(fields);
      } else if (event.name == "ACCEPTED") {
        if (Session* session = findSessionOfLastInvite(fields))
          controller_->inviteAccepted(*session, readSpan(fields, "Lag"));
      } else if (event.name == "ENDED") {
        onEnded(fields);
      } else if (event.name == "ABANDONED") {
        const auto it = sessions_.find(std::string(name(fields, "Ticket")));
        if (it != sessions_.end()) controller_->sessionAbandoned(*it->second);
      } else if (event.name == "ECHO") {
        applyFeedback(registry_.findOrCreate(exchangeId(fields)), object(fields, "Feedback"));
      } else if (event.name == "MEMBERS") {
        onMembers(fields, event.list.get());
      }  // TICK_DUE only requests the round itself. MESSAGE is ignored, since offices exchange no messages here.
    }
  }

 private:
  static Span readSpan(const Value& fields, const char* field) { return Span::ms(number(fields, field, 0)); }

  Session* findSession(const Value& fields) {
    const auto it = sessions_.find(std::string(name(fields, "Ticket")));
    if (it != sessions_.end()) return it->second.get();
    std::cerr << "thistlefold_bench_adapter: no such session: " << name(fields, "Ticket") << '\n';
    return nullptr;
  }

  // The session that an event refers to, or null if the event is about an INVITE before the last one. Such an event
  // must not answer or end the INVITE that followed, which may have gone to the same exchange.
  Session* findSessionOfLastInvite(const Value& fields) {
    Session* session = findSession(fields);
    if (session == nullptr || integer(fields, "Trial", session->invites - 1) == session->invites - 1) return session;
    std::cerr << "thistlefold_bench_adapter: event is not for the last INVITE of session: " << name(fields, "Ticket")
              << '\n';
    return nullptr;
  }

  void applyFeedback(Exchange& exchange, const Value& values) {
    const double circuits = number(values, "size", -1);
    if (circuits >= 0) controller_->circuitsChanged(exchange, number(values, "free", 0), circuits);
    const double setUpsPerSecond = number(values, "can_take", -1);
    if (setUpsPerSecond >= 0) controller_->capacityReported(exchange, setUpsPerSecond);
  }

  void onIncoming(const Value& fields) {
    auto session = std::make_unique<TicketedSession>();
    session->ticket = name(fields, "Ticket");
    const int category = integer(fields, "Category", 0);
    if (category < 0 || category >= static_cast<int>(config_.services.size())) {
      failField("Category", "no such service");
    }
    session->service = &config_.services[static_cast<std::size_t>(category)];
    session->width = number(fields, "Width", 1);
    session->destination = registry_.atPlace(number(fields, "FarEnd", -1));
    const int bits = integer(fields, "Bits", 0);
    session->transit = (bits & 8) != 0;
    session->isReconnect = (bits & 16) != 0;
    session->timerLimit = Instant::ms(number(fields, "Deadline"));
    const std::string_view item = name(fields, "Item", "0");
    const auto parsed = std::from_chars(item.data(), item.data() + item.size(), session->dialledNumber, 16);
    if (parsed.ec != std::errc()) failField("Item", "hex digits are wanted");
    TicketedSession& stored = *session;
    if (sessions_.emplace(stored.ticket, std::move(session)).second) return controller_->sessionArrived(stored);
    std::cerr << "thistlefold_bench_adapter: duplicate session: " << name(fields, "Ticket") << '\n';
  }

  void onEnded(const Value& fields) {
    ListedExchange* exchange = registry_.find(exchangeId(fields));
    Session* session = findSessionOfLastInvite(fields);
    if (session == nullptr) return;
    if (exchange == nullptr) {
      std::cerr << "thistlefold_bench_adapter: no such exchange: " << exchangeId(fields) << '\n';
      return;
    }
    applyFeedback(*exchange, object(fields, "Feedback"));
    // Lower four bits of the note: the reason, a BlockingReason. The bits above: for a turn-back, 1 if the processor of
    // the destination is overloaded; for a full processor, the wait that it names, in ms.
    const int note = integer(fields, "Note", 0);
    const int reason = note & 15;
    const int detail = note >> 4;
    controller_->inviteEnded(*session, *exchange, readOutcome(integer(fields, "Ending", 0)),
                             reason <= 4 ? static_cast<BlockingReason>(reason) : BlockingReason::none,
                             reason == 2 && detail == 1, reason == 3 ? Span::ms(detail) : Span::none(),
                             flag(fields, "Final"));
  }

  static InviteOutcome readOutcome(int code) {
    switch (code) {
      case 0:
        return InviteOutcome::released;
      case 1:
        return InviteOutcome::cancelled;
      case 4:
        return InviteOutcome::timedOut;
      case 8:
        return InviteOutcome::overloaded;
      case 9:
        return InviteOutcome::notSent;
      case 10:
        return InviteOutcome::reset;
      case 13:
        return InviteOutcome::failed;
      case 14:
        return InviteOutcome::unreachable;
      default:
        failField("Ending", "no such outcome");
    }
  }

  void onMembers(const Value& fields, const rapidjson::Document* list) {
    // 0: a list of changes; 1 and 2: the complete list; 3: the directory did not give a list.
    const int mode = integer(fields, "Mode");
    if (mode < 0 || mode > 3) failField("Mode", "no such kind of list");
    if (mode == 3) {
      controller_->listFailed();
      return;
    }
    if (list == nullptr) failField("Bank", "no such list");
    std::vector<ListEntry> entries;
    for (const Value& item : list->GetArray()) {
      ListEntry entry;
      entry.id = exchangeId(item);
      entry.hasPlace = find(item, "PlaceNo") != nullptr;
      entry.place = integer(item, "PlaceNo", -1);
      const int readiness = integer(item, "Readiness");
      if (readiness != 2 && readiness != 0 && readiness != 3) failField("Readiness", "no such state");
      entry.readiness = readiness == 2 ? Readiness::ready : readiness == 0 ? Readiness::draining : Readiness::gone;
      const double started = number(item, "LastStart", 0);
      if (started > 0) entry.started = Instant::ms(started);
      entries.push_back(entry);
    }
    registry_.applyList(*controller_, entries, mode != 0);
  }

  OfficeConfig config_;
  ExchangeRegistry registry_;
  std::unordered_map<std::string, std::unique_ptr<TicketedSession>> sessions_;
  const std::vector<Event>* events_ = nullptr;  // of the batch that is being processed
  std::unique_ptr<Controller> controller_;
};

}  // namespace

struct BenchAdapter::State {
  std::map<std::string, std::unique_ptr<Office>, std::less<>> offices;  // by instance name
  std::map<int, std::shared_ptr<const rapidjson::Document>> lists;      // by bank number
};

BenchAdapter::BenchAdapter() : state_(std::make_unique<State>()) {}
BenchAdapter::~BenchAdapter() = default;

std::string BenchAdapter::processBatch(const std::string& line) {
  rapidjson::Document batch;
  batch.Parse<rapidjson::kParseFullPrecisionFlag>(line.data(), line.size());
  if (batch.HasParseError()) {
    throw ParseError(std::string(rapidjson::GetParseError_En(batch.GetParseError())) + " at offset " +
                     std::to_string(batch.GetErrorOffset()));
  }
  if (!batch.IsObject()) throw ParseError("an object is wanted at offset 0");
  const Instant now = Instant::ms(number(batch, "Time"));
  if (find(batch, "arrivals") == nullptr) failField("arrivals", "missing");

  // The events of each office that the batch addresses, in the order in which the offices first occur. Discarded with
  // the batch, also if one of its messages cannot be parsed.
  std::vector<std::pair<std::string, std::vector<Event>>> eventsByOffice;
  for (const Value& message : array(batch, "arrivals").GetArray()) {
    if (!message.IsObject() || message.MemberCount() != 1 || !message.MemberBegin()->value.IsObject()) {
      failField("arrivals", "objects of a single message are wanted");
    }
    const std::string_view kind = text(message.MemberBegin()->name);
    const Value& fields = message.MemberBegin()->value;
    if (kind == "POOL") {
      auto copy = std::make_shared<rapidjson::Document>();
      copy->CopyFrom(array(fields, "Members"), copy->GetAllocator());
      for (const Value& item : copy->GetArray()) {
        if (!item.IsObject()) failField("Members", "objects are wanted");
      }
      state_->lists[integer(fields, "Bank")] = std::move(copy);
      continue;
    }
    const std::string instance(name(fields, "I"));
    if (kind == "START") {
      state_->offices[instance] = std::make_unique<Office>(fields);
    } else if (kind == "DOWN") {
      state_->offices.erase(instance);
      continue;
    }
    const auto office = state_->offices.find(instance);
    if (office == state_->offices.end()) {
      std::cerr << "thistlefold_bench_adapter: " << kind << " for " << instance << ", which is not running\n";
      continue;
    }
    Event event{kind, &fields, nullptr};
    if (kind == "MEMBERS") {
      const auto list = state_->lists.find(integer(fields, "Bank", -1));
      if (list != state_->lists.end()) event.list = list->second;
    }
    auto entry = std::find_if(eventsByOffice.begin(), eventsByOffice.end(),
                              [&](const auto& candidate) { return candidate.first == instance; });
    if (entry == eventsByOffice.end()) entry = eventsByOffice.insert(eventsByOffice.end(), {instance, {}});
    // A START replaces the office: events for the one before are void.
    if (kind == "START") entry->second.clear();
    entry->second.push_back(std::move(event));
  }

  rapidjson::StringBuffer reply;
  Json json(reply);
  json.SetMaxDecimalPlaces(3);
  json.StartObject();
  json.Key("actions");
  json.StartArray();
  for (const auto& [instance, events] : eventsByOffice) {
    const auto office = state_->offices.find(instance);
    if (office == state_->offices.end()) continue;
    ActionWriter writer(json, instance);
    try {
      office->second->runRound(now, events, writer);
    } catch (const ParseError&) {
      throw;
    } catch (const std::exception& error) {
      writer.writeDie(error.what());
    }
  }
  json.EndArray();
  json.EndObject();
  return {reply.GetString(), reply.GetSize()};
}

}  // namespace thistlefold::bench_adapter
