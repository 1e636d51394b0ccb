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

struct TicketedSession : Session {
  std::string ticket;
};

struct Event {
  std::string_view name;
  const Value* fields;
  std::shared_ptr<const rapidjson::Document> list;  // as it stood when a MEMBERS referred to it
};

/// Writes one office's actions into the reply.
class Sender final : public DecisionSink {
 public:
  Sender(Json& json, const std::string& instance) : json_(json), instance_(instance) {}

  void invite(const Session& session, const Exchange& to, Span giveUpAfter) override {
    open("ISSUE");
    ticket(session);
    exchange(to);
    milliseconds("GiveUpAfter", giveUpAfter);
    close();
  }
  void rejectBusy(const Session& session, Span retryAfter) override {
    open("BUSY");
    ticket(session);
    milliseconds("RetryAfter", retryAfter);
    close();
  }
  void failUncertain(const Session& session) override {
    open("SURRENDER");
    ticket(session);
    close();
  }
  void scheduleWakeUp(Span delay) override {
    open("SET_ALARM");
    milliseconds("In", delay);
    field("Nonce", "wake");
    close();
  }
  void subscribe() override {
    open("KEEP_INFORMED");
    json_.Key("Enable");
    json_.Bool(true);
    close();
  }
  void die(std::string_view reason) {
    open("DIE");
    field("ReasonText", reason);
    close();
  }

 private:
  void open(const char* verb) {
    json_.StartObject();
    json_.Key(verb);
    json_.StartObject();
    field("I", instance_);
  }
  void close() {
    json_.EndObject();
    json_.EndObject();
  }
  void field(const char* key, std::string_view value) {
    json_.Key(key);
    json_.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  }
  void ticket(const Session& session) { field("Ticket", static_cast<const TicketedSession&>(session).ticket); }
  void exchange(const Exchange& to) {
    json_.Key("Exchange");
    json_.Uint(static_cast<const ListedExchange&>(to).id);
  }
  void milliseconds(const char* key, Span span) {
    json_.Key(key);
    json_.Double(span.ms());
  }

  Json& json_;
  const std::string& instance_;
};

/// One office: its controller, and what its ids stand for.
class Office final : public RoundEvents {
 public:
  explicit Office(const Value& start)
      : data_(readOfficeConfig(object(start, "Conf"))),
        registry_(data_.usesPools ? -1 : ownPlace(object(start, "Conf"))) {
    const Value& seed = requireField(start, "InitSeed");
    if (!seed.IsUint64() && !seed.IsInt64()) failField("InitSeed", "a whole number is wanted");
    const std::uint64_t from = seed.IsUint64() ? seed.GetUint64() : static_cast<std::uint64_t>(seed.GetInt64());
    controller_ = makeController(data_, from);
  }

  void play(Instant now, const std::vector<Event>& events, DecisionSink& sink) {
    events_ = &events;
    controller_->round(now, *this, sink);
    std::erase_if(sessions_,
                  [](const auto& entry) { return entry.second->finished && entry.second->pendingAt == nullptr; });
  }

  void deliver(Controller&) override {
    for (const Event& event : *events_) {
      const Value& fields = *event.fields;
      if (event.name == "INCOMING") {
        incoming(fields);
      } else if (event.name == "ACCEPTED") {
        if (Session* session = ofLastInvite(fields)) controller_->inviteAccepted(*session, span(fields, "Lag"));
      } else if (event.name == "ENDED") {
        ended(fields);
      } else if (event.name == "ABANDONED") {
        const auto it = sessions_.find(std::string(name(fields, "Ticket")));
        if (it != sessions_.end()) controller_->sessionAbandoned(*it->second);
      } else if (event.name == "ECHO") {
        feedback(registry_.findOrCreate(exchangeId(fields)), object(fields, "Feedback"));
      } else if (event.name == "MEMBERS") {
        members(fields, event.list.get());
      }  // TICK_DUE: the round itself is what was asked for. MESSAGE: offices tell each other nothing.
    }
  }

 private:
  static Span span(const Value& fields, const char* field) { return Span::ms(number(fields, field, 0)); }

  Session* held(const Value& fields) {
    const auto it = sessions_.find(std::string(name(fields, "Ticket")));
    if (it != sessions_.end()) return it->second.get();
    std::cerr << "thistlefold_bench_adapter: no such session: " << name(fields, "Ticket") << '\n';
    return nullptr;
  }

  // What is told of an INVITE before the last one must not answer or end the one that followed, maybe to the same
  // exchange.
  Session* ofLastInvite(const Value& fields) {
    Session* session = held(fields);
    if (session == nullptr || integer(fields, "Trial", session->invites - 1) == session->invites - 1) return session;
    std::cerr << "thistlefold_bench_adapter: not of its last INVITE: " << name(fields, "Ticket") << '\n';
    return nullptr;
  }

  void feedback(Exchange& exchange, const Value& values) {
    const double size = number(values, "size", -1);
    if (size >= 0) controller_->circuitsChanged(exchange, number(values, "free", 0), size);
    const double canTake = number(values, "can_take", -1);
    if (canTake >= 0) controller_->capacityReported(exchange, canTake);
  }

  void incoming(const Value& fields) {
    auto session = std::make_unique<TicketedSession>();
    session->ticket = name(fields, "Ticket");
    const int category = integer(fields, "Category", 0);
    if (category < 0 || category >= static_cast<int>(data_.services.size())) {
      failField("Category", "no such service");
    }
    session->service = &data_.services[static_cast<std::size_t>(category)];
    session->width = number(fields, "Width", 1);
    session->destination = registry_.atPlace(number(fields, "FarEnd", -1));
    const int bits = integer(fields, "Bits", 0);
    session->transit = (bits & 8) != 0;
    session->isReconnect = (bits & 16) != 0;
    session->timerLimit = Instant::ms(number(fields, "Deadline"));
    const std::string_view item = name(fields, "Item", "0");
    const auto read = std::from_chars(item.data(), item.data() + item.size(), session->dialledNumber, 16);
    if (read.ec != std::errc()) failField("Item", "hex digits are wanted");
    TicketedSession& kept = *session;
    if (sessions_.emplace(kept.ticket, std::move(session)).second) return controller_->sessionArrived(kept);
    std::cerr << "thistlefold_bench_adapter: told of twice: " << name(fields, "Ticket") << '\n';
  }

  void ended(const Value& fields) {
    ListedExchange* at = registry_.find(exchangeId(fields));
    Session* session = ofLastInvite(fields);
    if (session == nullptr) return;
    if (at == nullptr) {
      std::cerr << "thistlefold_bench_adapter: no such exchange: " << exchangeId(fields) << '\n';
      return;
    }
    feedback(*at, object(fields, "Feedback"));
    const int note = integer(fields, "Note", 0);
    const int reason = note & 15;
    const int beyond = note >> 4;
    controller_->inviteEnded(*session, *at, ending(integer(fields, "Ending", 0)),
                             reason <= 4 ? static_cast<BlockingReason>(reason) : BlockingReason::none,
                             reason == 2 && beyond == 1, reason == 3 ? Span::ms(beyond) : Span::none(),
                             flag(fields, "Final"));
  }

  static InviteOutcome ending(int code) {
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

  void members(const Value& fields, const rapidjson::Document* list) {
    const int mode = integer(fields, "Mode");
    if (mode < 0 || mode > 3) failField("Mode", "no such kind of list");
    if (mode == 3) {
      controller_->listFailed();
      return;
    }
    if (list == nullptr) failField("Bank", "no such list");
    std::vector<ListEntry> lines;
    for (const Value& entry : list->GetArray()) {
      ListEntry line;
      line.id = exchangeId(entry);
      line.hasPlace = find(entry, "PlaceNo") != nullptr;
      line.place = integer(entry, "PlaceNo", -1);
      const int readiness = integer(entry, "Readiness");
      if (readiness != 2 && readiness != 0 && readiness != 3) failField("Readiness", "no such state");
      line.readiness = readiness == 2 ? Readiness::ready : readiness == 0 ? Readiness::draining : Readiness::gone;
      const double started = number(entry, "LastStart", 0);
      if (started > 0) line.started = Instant::ms(started);
      lines.push_back(line);
    }
    registry_.applyList(*controller_, lines, mode != 0);
  }

  OfficeConfig data_;
  ExchangeRegistry registry_;
  std::unordered_map<std::string, std::unique_ptr<TicketedSession>> sessions_;
  const std::vector<Event>* events_ = nullptr;  // of the batch that is being answered
  std::unique_ptr<Controller> controller_;
};

}  // namespace

struct BenchAdapter::State {
  std::map<std::string, std::unique_ptr<Office>, std::less<>> offices;
  std::map<int, std::shared_ptr<const rapidjson::Document>> lists;
};

BenchAdapter::BenchAdapter() : state_(std::make_unique<State>()) {}
BenchAdapter::~BenchAdapter() = default;

std::string BenchAdapter::answer(const std::string& line) {
  rapidjson::Document batch;
  batch.Parse<rapidjson::kParseFullPrecisionFlag>(line.data(), line.size());
  if (batch.HasParseError()) {
    throw ParseError(std::string(rapidjson::GetParseError_En(batch.GetParseError())) + " at offset " +
                     std::to_string(batch.GetErrorOffset()));
  }
  if (!batch.IsObject()) throw ParseError("an object is wanted at offset 0");
  const Instant now = Instant::ms(number(batch, "Time"));
  if (find(batch, "arrivals") == nullptr) failField("arrivals", "missing");

  // By instance, in the order in which they were touched. Gone with the batch, also where a line of it can't be read.
  std::vector<std::pair<std::string, std::vector<Event>>> touched;
  for (const Value& message : array(batch, "arrivals").GetArray()) {
    if (!message.IsObject() || message.MemberCount() != 1 || !message.MemberBegin()->value.IsObject()) {
      failField("arrivals", "objects of a single message are wanted");
    }
    const std::string_view kind = text(message.MemberBegin()->name);
    const Value& fields = message.MemberBegin()->value;
    if (kind == "POOL") {
      auto copy = std::make_shared<rapidjson::Document>();
      copy->CopyFrom(array(fields, "Members"), copy->GetAllocator());
      for (const Value& entry : copy->GetArray()) {
        if (!entry.IsObject()) failField("Members", "objects are wanted");
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
    auto events = std::find_if(touched.begin(), touched.end(), [&](const auto& one) { return one.first == instance; });
    if (events == touched.end()) events = touched.insert(touched.end(), {instance, {}});
    // A start is another life: what came for the one before is void.
    if (kind == "START") events->second.clear();
    events->second.push_back(std::move(event));
  }

  rapidjson::StringBuffer reply;
  Json json(reply);
  json.SetMaxDecimalPlaces(3);
  json.StartObject();
  json.Key("actions");
  json.StartArray();
  for (const auto& [instance, events] : touched) {
    const auto office = state_->offices.find(instance);
    if (office == state_->offices.end()) continue;
    Sender sender(json, instance);
    try {
      office->second->play(now, events, sender);
    } catch (const ParseError&) {
      throw;
    } catch (const std::exception& failure) {
      sender.die(failure.what());
    }
  }
  json.EndArray();
  json.EndObject();
  return {reply.GetString(), reply.GetSize()};
}

}  // namespace thistlefold::bench_adapter
