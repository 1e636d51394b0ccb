#include "drill.hpp"

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

namespace thistlefold::drill {
namespace {

using rapidjson::Value;
using Json = rapidjson::Writer<rapidjson::StringBuffer>;

std::string_view text(const Value& value) { return {value.GetString(), value.GetStringLength()}; }

[[noreturn]] void wrong(const char* field, const char* wanted) {
  throw WireFault(std::string("field ") + field + ": " + wanted);
}

const Value* find(const Value& fields, const char* name) {
  const auto it = fields.FindMember(name);
  return it == fields.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}

const Value& need(const Value& fields, const char* name) {
  const Value* value = find(fields, name);
  if (value == nullptr) wrong(name, "missing");
  return *value;
}

double asNumber(const Value& value, const char* name) {
  if (!value.IsNumber() || !std::isfinite(value.GetDouble())) wrong(name, "a number is wanted");
  return value.GetDouble();
}

double number(const Value& fields, const char* name) { return asNumber(need(fields, name), name); }

double number(const Value& fields, const char* name, double absent) {
  const Value* value = find(fields, name);
  return value == nullptr ? absent : asNumber(*value, name);
}

int integer(const Value& fields, const char* name, std::optional<int> absent = std::nullopt) {
  const Value* value = find(fields, name);
  if (value == nullptr && absent) return *absent;
  const double read = value == nullptr ? number(fields, name) : asNumber(*value, name);
  if (std::abs(read) > 2e9 || read != std::floor(read)) wrong(name, "a whole number is wanted");
  return static_cast<int>(read);
}

bool mark(const Value& fields, const char* name) {
  const Value* value = find(fields, name);
  if (value == nullptr) return false;
  if (!value->IsBool()) wrong(name, "true or false is wanted");
  return value->GetBool();
}

std::string_view name(const Value& fields, const char* field) {
  const Value& value = need(fields, field);
  if (!value.IsString()) wrong(field, "text is wanted");
  return text(value);
}

std::string_view name(const Value& fields, const char* field, std::string_view absent) {
  return find(fields, field) == nullptr ? absent : name(fields, field);
}

const Value& object(const Value& fields, const char* field) {
  static const Value empty(rapidjson::kObjectType);
  const Value* value = find(fields, field);
  if (value == nullptr) return empty;
  if (!value->IsObject()) wrong(field, "an object is wanted");
  return *value;
}

const Value& array(const Value& fields, const char* field) {
  static const Value empty(rapidjson::kArrayType);
  const Value* value = find(fields, field);
  if (value == nullptr) return empty;
  if (!value->IsArray()) wrong(field, "an array is wanted");
  return *value;
}

double element(const Value& list, rapidjson::SizeType index, const char* field, double absent) {
  return index < list.Size() ? asNumber(list[index], field) : absent;
}

std::uint32_t exchangeId(const Value& fields) {
  const Value& value = need(fields, "Exchange");
  if (!value.IsUint()) wrong("Exchange", "a number below 2^32 is wanted");
  return value.GetUint();
}

OfficeData decode(const Value& conf) {
  OfficeData data;
  const Value& caps = object(conf, "Caps");
  const Value& family = object(conf, "FamilyInfo");
  const Value& obligations = object(conf, "Obligations");
  const Value& skills = array(family, "ClassCells");
  const Value& holds = array(family, "MeanHold");
  const Value& grades = array(conf, "Grades");
  for (rapidjson::SizeType i = 0; i < grades.Size(); ++i) {
    if (!grades[i].IsObject()) wrong("Grades", "objects are wanted");
    Service service;
    service.value = number(grades[i], "Credit", 1);
    service.lateValue = number(grades[i], "LateValue", 0);
    service.postDialTarget = Span::ms(number(grades[i], "Aim"));
    service.timerLimit = Span::ms(number(grades[i], "GiveUp"));
    service.meanHold = Span::ms(element(holds, i, "MeanHold", 0));
    service.repeatable = name(grades[i], "Semantics", "read_like") == "read_like";
    if (i < skills.Size() && !skills[i].IsNull()) {
      if (!skills[i].IsArray()) wrong("ClassCells", "arrays are wanted");
      for (rapidjson::SizeType k = 0; k < skills[i].Size(); ++k) {
        service.pools.push_back(static_cast<int>(element(skills[i], k, "ClassCells", -1)));
      }
    }
    data.services.push_back(service);
  }
  data.pools = name(family, "Topology", "mesh") == "pools";
  data.maxInvites = integer(caps, "MaxAttempts", 1);
  data.mustSubscribe = name(conf, "Discovery", "pushed") == "on_request";
  data.askWithin = Span::ms(number(obligations, "AskWithin", 0));
  data.takesRetryAfter = mark(caps, "RetryAfter");
  data.longestRetryAfter = Span::ms(number(caps, "MaxRetryAfter", 0));
  data.clearWait = Span::ms(number(family, "ClearWait", 0));
  data.repeatAfter = Span::ms(number(family, "T1", 0));
  data.coldFrom = number(obligations, "ColdFrom", 0);
  data.warmAfter = Span::ms(number(obligations, "WarmAfter", 0));
  data.fallMultiple = number(obligations, "FallMultiple", 0);
  data.tipAfter = Span::ms(number(obligations, "TipAfter", 0));
  return data;
}

struct ListedExchange : Exchange {
  std::uint32_t id = 0;
};

struct TicketedSession : Session {
  std::string ticket;
};

struct Event {
  std::string_view name;
  const Value* fields;
  std::shared_ptr<const rapidjson::Document> list;  // as it stood when a MEMBERS referred to it
};

/// Writes one office's actions into the reply.
class Sender final : public Writer {
 public:
  Sender(Json& json, const std::string& instance) : json_(json), instance_(instance) {}

  void invite(const Session& session, const Exchange& to, Span giveUpAfter) override {
    open("ISSUE");
    ticket(session);
    exchange(to);
    milliseconds("GiveUpAfter", giveUpAfter);
    close();
  }
  void busy(const Session& session, Span retryAfter) override {
    open("BUSY");
    ticket(session);
    milliseconds("RetryAfter", retryAfter);
    close();
  }
  void surrender(const Session& session) override {
    open("SURRENDER");
    ticket(session);
    close();
  }
  void wakeIn(Span delay) override {
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
  void ticket(const Session& session) {
    field("Ticket", static_cast<const TicketedSession&>(session).ticket);
  }
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
class Office final : public Arrivals {
 public:
  explicit Office(const Value& start)
      : data_(decode(object(start, "Conf"))),
        here_(integer(object(object(start, "Conf"), "FamilyInfo"), "ThisNode", -1)) {
    const Value& seed = need(start, "InitSeed");
    if (!seed.IsUint64() && !seed.IsInt64()) wrong("InitSeed", "a whole number is wanted");
    const std::uint64_t from =
        seed.IsUint64() ? seed.GetUint64() : static_cast<std::uint64_t>(seed.GetInt64());
    controller_ = openOffice(data_, from);
  }

  void play(Instant now, const std::vector<Event>& events, Writer& writer) {
    events_ = &events;
    controller_->round(now, *this, writer);
    std::erase_if(sessions_,
                  [](const auto& entry) { return entry.second->over && entry.second->ringingAt == nullptr; });
  }

  void deliver(Controller&) override {
    for (const Event& event : *events_) {
      const Value& fields = *event.fields;
      if (event.name == "INCOMING") {
        incoming(fields);
      } else if (event.name == "ACCEPTED") {
        if (Session* session = ofLastInvite(fields)) controller_->accepted(*session, span(fields, "Lag"));
      } else if (event.name == "ENDED") {
        ended(fields);
      } else if (event.name == "ABANDONED") {
        const auto it = sessions_.find(std::string(name(fields, "Ticket")));
        if (it != sessions_.end()) controller_->abandoned(*it->second);
      } else if (event.name == "ECHO") {
        feedback(exchange(exchangeId(fields)), object(fields, "Feedback"));
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
    std::cerr << "thistlefold_drill: no such session: " << name(fields, "Ticket") << '\n';
    return nullptr;
  }

  // What is told of an INVITE before the last one must not answer or end the one that followed, maybe to the same
  // exchange.
  Session* ofLastInvite(const Value& fields) {
    Session* session = held(fields);
    if (session == nullptr || integer(fields, "Trial", session->invites - 1) == session->invites - 1) return session;
    std::cerr << "thistlefold_drill: not of its last INVITE: " << name(fields, "Ticket") << '\n';
    return nullptr;
  }

  // Circuits may be told of an exchange before the directory names it; until then it counts as gone.
  ListedExchange& exchange(std::uint32_t id) {
    auto& exchange = exchanges_[id];
    if (exchange == nullptr) {
      exchange = std::make_unique<ListedExchange>();
      exchange->id = id;
    }
    return *exchange;
  }

  Exchange* at(double place) const {
    const auto it = places_.find(static_cast<int>(place));
    return it == places_.end() ? nullptr : it->second;
  }

  void feedback(Exchange& exchange, const Value& values) {
    const double size = number(values, "size", -1);
    if (size >= 0) controller_->circuits(exchange, number(values, "free", 0), size);
    const double canTake = number(values, "can_take", -1);
    if (canTake >= 0) controller_->reported(exchange, canTake);
  }

  void incoming(const Value& fields) {
    auto session = std::make_unique<TicketedSession>();
    session->ticket = name(fields, "Ticket");
    const int category = integer(fields, "Category", 0);
    if (category < 0 || category >= static_cast<int>(data_.services.size())) {
      wrong("Category", "no such service");
    }
    session->service = &data_.services[static_cast<std::size_t>(category)];
    session->width = number(fields, "Width", 1);
    session->destination = at(number(fields, "FarEnd", -1));
    const int bits = integer(fields, "Bits", 0);
    session->transit = (bits & 8) != 0;
    session->wasCut = (bits & 16) != 0;
    session->timerLimit = Instant::ms(number(fields, "Deadline"));
    const std::string_view item = name(fields, "Item", "0");
    const auto read = std::from_chars(item.data(), item.data() + item.size(), session->dialledNumber, 16);
    if (read.ec != std::errc()) wrong("Item", "hex digits are wanted");
    TicketedSession& kept = *session;
    if (sessions_.emplace(kept.ticket, std::move(session)).second) return controller_->incoming(kept);
    std::cerr << "thistlefold_drill: told of twice: " << name(fields, "Ticket") << '\n';
  }

  void ended(const Value& fields) {
    const auto listed = exchanges_.find(exchangeId(fields));
    Session* session = ofLastInvite(fields);
    if (session == nullptr) return;
    if (listed == exchanges_.end()) {
      std::cerr << "thistlefold_drill: no such exchange: " << exchangeId(fields) << '\n';
      return;
    }
    ListedExchange& at = *listed->second;
    feedback(at, object(fields, "Feedback"));
    const int note = integer(fields, "Note", 0);
    const int reason = note & 15;
    const int beyond = note >> 4;
    controller_->ended(*session, at, ending(integer(fields, "Ending", 0)),
                       reason <= 4 ? static_cast<Reason>(reason) : Reason::none, reason == 2 && beyond == 1,
                       reason == 3 ? Span::ms(beyond) : Span::none(), mark(fields, "Final"));
  }

  static Ending ending(int code) {
    switch (code) {
      case 0:
        return Ending::ok;
      case 1:
        return Ending::cancelled;
      case 4:
        return Ending::timedOut;
      case 8:
        return Ending::full;
      case 9:
        return Ending::moot;
      case 10:
        return Ending::reset;
      case 13:
        return Ending::fault;
      case 14:
        return Ending::unreachable;
      default:
        wrong("Ending", "no such outcome");
    }
  }

  void members(const Value& fields, const rapidjson::Document* list) {
    const int mode = integer(fields, "Mode");
    if (mode < 0 || mode > 3) wrong("Mode", "no such kind of list");
    if (mode == 3) {
      controller_->listFailed();
      return;
    }
    if (list == nullptr) wrong("Bank", "no such list");
    std::vector<std::uint32_t> named;
    for (const Value& entry : list->GetArray()) {
      const std::uint32_t id = exchangeId(entry);
      named.push_back(id);
      ListedExchange& listed = exchange(id);
      listed.place = integer(entry, "PlaceNo", listed.place);
      listed.own = !data_.pools && listed.place == here_ && here_ >= 0;
      const int readiness = integer(entry, "Readiness");
      if (readiness != 2 && readiness != 0 && readiness != 3) wrong("Readiness", "no such state");
      Exchange*& holder = places_[listed.place];
      if (holder == nullptr || readiness == 2) holder = &listed;
      const double started = number(entry, "LastStart", 0);
      controller_->listed(listed,
                          readiness == 2   ? Readiness::ready
                          : readiness == 0 ? Readiness::draining
                                           : Readiness::gone,
                          started > 0 ? Instant::ms(started) : Instant::longAgo());
    }
    if (mode == 0) return;
    for (auto& [id, known] : exchanges_) {
      if (std::find(named.begin(), named.end(), id) == named.end()) {
        controller_->listed(*known, Readiness::gone, known->started);
      }
    }
  }

  OfficeData data_;
  int here_;
  std::map<std::uint32_t, std::unique_ptr<ListedExchange>> exchanges_;
  std::map<int, Exchange*> places_;
  std::unordered_map<std::string, std::unique_ptr<TicketedSession>> sessions_;
  const std::vector<Event>* events_ = nullptr;  // of the batch that is being answered
  std::unique_ptr<Controller> controller_;
};

}  // namespace

struct Drill::State {
  std::map<std::string, std::unique_ptr<Office>, std::less<>> offices;
  std::map<int, std::shared_ptr<const rapidjson::Document>> lists;
};

Drill::Drill() : state_(std::make_unique<State>()) {}
Drill::~Drill() = default;

std::string Drill::answer(const std::string& line) {
  rapidjson::Document batch;
  batch.Parse<rapidjson::kParseFullPrecisionFlag>(line.data(), line.size());
  if (batch.HasParseError()) {
    throw WireFault(std::string(rapidjson::GetParseError_En(batch.GetParseError())) + " at offset " +
                    std::to_string(batch.GetErrorOffset()));
  }
  if (!batch.IsObject()) throw WireFault("an object is wanted at offset 0");
  const Instant now = Instant::ms(number(batch, "Time"));
  if (find(batch, "arrivals") == nullptr) wrong("arrivals", "missing");

  // By instance, in the order in which they were touched. Gone with the batch, also where a line of it can't be read.
  std::vector<std::pair<std::string, std::vector<Event>>> touched;
  for (const Value& message : array(batch, "arrivals").GetArray()) {
    if (!message.IsObject() || message.MemberCount() != 1 || !message.MemberBegin()->value.IsObject()) {
      wrong("arrivals", "objects of a single message are wanted");
    }
    const std::string_view kind = text(message.MemberBegin()->name);
    const Value& fields = message.MemberBegin()->value;
    if (kind == "POOL") {
      auto copy = std::make_shared<rapidjson::Document>();
      copy->CopyFrom(array(fields, "Members"), copy->GetAllocator());
      for (const Value& entry : copy->GetArray()) {
        if (!entry.IsObject()) wrong("Members", "objects are wanted");
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
      std::cerr << "thistlefold_drill: " << kind << " for " << instance << ", which is not running\n";
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
    } catch (const WireFault&) {
      throw;
    } catch (const std::exception& failure) {
      sender.die(failure.what());
    }
  }
  json.EndArray();
  json.EndObject();
  return {reply.GetString(), reply.GetSize()};
}

}  // namespace thistlefold::drill
