#include "day/bench_day.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace thistlefold::day {
namespace {

namespace json = boost::json;

Span microseconds(const json::value& value) { return Span::ms(value.to_number<double>() / 1000); }

std::vector<int> indexes(const json::value& list) {
  std::vector<int> out;
  for (const json::value& item : list.as_array()) out.push_back(item.to_number<int>());
  return out;
}

/// Converts one bench day. Throws if a field is missing or of another type.
class Converter {
 public:
  Converter(const json::object& day, double scale) : day_(day), scale_(scale) {}

  BenchDay convert() {
    const json::object& trunkFields = day_.at("fam").as_object();
    if (day_.at("family").as_string() != "trunks" || trunkFields.at("pools").as_bool()) {
      throw std::runtime_error("a day of a mesh of exchanges is expected, not of pools or another family");
    }
    count_ = trunkFields.at("n").to_number<int>();
    DayPlan& plan = out_.plan;
    plan.name = std::string(day_.at("site").as_string()) + "/" + std::string(day_.at("kind").as_string());
    std::replace(plan.name.begin(), plan.name.end(), '/', '-');
    plan.seed = day_.at("noise").to_number<std::uint64_t>() % 1000000;
    plan.length = microseconds(day_.at("length"));
    convertServices(trunkFields);
    convertRules(trunkFields);
    convertPlaces(trunkFields);
    convertTraffic(trunkFields);
    convertNetwork();
    for (const json::value& fault : day_.at("troubles").as_array()) convertFault(fault.as_object());
    addUnsupported("the bench lets destinations drift over the day; here each pair of offices keeps its share");
    addUnsupported(
        "outgoing and tandem calls do not load the local processor here, because the office sits in front of it");
    addUnsupported("capacity reports of a processor come with every answer here, and without noise");
    if (trunkFields.at("advice").to_number<int>() != 0) addUnsupported("the centre's advice on tandems");
    return std::move(out_);
  }

 private:
  void addUnsupported(const std::string& description) { out_.unsupported.push_back(description); }

  void convertServices(const json::object& trunkFields) {
    DayPlan& plan = out_.plan;
    const auto& classes = day_.at("classes").as_array();
    for (std::size_t i = 0; i < classes.size(); ++i) {
      const json::object& source = classes[i].as_object();
      plan.fleet.offeredServices.push_back(
          {std::string(source.at("name").as_string()), trunkFields.at("width").at(i).to_number<int>()});
      Service service;
      service.value = source.at("worth").to_number<double>();
      service.lateValue = source.at("late_worth").to_number<double>();
      service.postDialTarget = microseconds(source.at("aim"));
      service.timerLimit = microseconds(source.at("deadline"));
      service.meanHold = microseconds(trunkFields.at("hold").at(i));
      service.repeatable = source.at("effect").as_string() == "safe";
      plan.fleet.config.services.push_back(service);
      plan.serviceWeights.push_back(source.at("share").to_number<double>());
    }
  }

  void convertRules(const json::object& trunkFields) {
    OfficeConfig& data = out_.plan.fleet.config;
    const json::object& tier = day_.at("tiers").at(0).as_object();
    const json::object& tierKind = tier.at("kinds").at(0).as_object();
    const json::object& allow = day_.at("allow").as_object();
    data.maxInvites = allow.at("max_attempts").to_number<int>();
    data.honoursRetryAfter = allow.at("retry_after").as_bool();
    data.longestRetryAfter = microseconds(day_.at("clients").at("max_retry_after"));
    data.releaseTime = microseconds(trunkFields.at("release"));
    if (trunkFields.at("resend").to_number<double>() > 0) {
      addUnsupported("the bench repeats set-ups that wait; here the exchange's office acknowledges them at once");
    }
    data.coldCapacityShare = tier.at("stated_cold_from").to_number<double>();
    data.warmUpTime = microseconds(tier.at("stated_cold"));
    data.overloadFactor = day_.at("fall_multiple").to_number<double>();
    data.overloadWindow = microseconds(day_.at("fall_for"));
    data.mustSubscribe = day_.at("discovery").at("ask").as_bool();
    data.listStaleAfter = Span::ms(5000);
    out_.plan.fleet.drainGrace = microseconds(day_.at("drain_grace"));
    ProcessorModel& model = out_.plan.processor;
    model.coldCapacityShare = tierKind.at("cold_from").to_number<double>();
    model.warmUpTime = microseconds(tierKind.at("cold"));
    model.overloadFactor = data.overloadFactor;
    model.overloadWindow = data.overloadWindow;
    model.followUpWork = trunkFields.at("follow").to_number<double>();
    model.rejectWork = trunkFields.at("reject").to_number<double>();
    model.maxQueueDelay = microseconds(trunkFields.at("queue"));
    out_.plan.massCallLines = trunkFields.at("hot_lines").to_number<int>();
  }

  void convertPlaces(const json::object& trunkFields) {
    Fleet& fleet = out_.plan.fleet;
    const auto& zones = day_.at("zones").as_array();
    const double work = day_.at("classes").at(0).at("work").to_number<double>();
    for (int i = 0; i < count_; ++i) {
      const json::object& server = day_.at("servers").at(static_cast<std::size_t>(i)).as_object();
      ExchangeSite place;
      place.name = "x" + std::to_string(i);
      place.zone = std::string(zones.at(server.at("zone").to_number<std::size_t>()).as_string());
      place.numbers = std::to_string(1000 + i);
      place.setUpsPerSecond = scale_ * server.at("speed").to_number<double>() * 1e6 / work;
      fleet.places.push_back(place);
    }
    for (int a = 0; a < count_; ++a) {
      for (int b = a + 1; b < count_; ++b) {
        const auto index = static_cast<std::size_t>(a) * static_cast<std::size_t>(count_) + static_cast<std::size_t>(b);
        const int size = trunkFields.at("size").at(index).to_number<int>();
        // At least as many as the widest service needs, or a scaled-down group could not carry it at all.
        if (size > 0)
          fleet.groups.push_back({a, b, std::max(widestService(), static_cast<int>(std::lround(scale_ * size)))});
      }
    }
  }
  int widestService() const {
    int widest = 1;
    for (const OfferedService& offer : out_.plan.fleet.offeredServices) widest = std::max(widest, offer.width);
    return widest;
  }

  void convertTraffic(const json::object& trunkFields) {
    DayPlan& plan = out_.plan;
    const auto size = static_cast<std::size_t>(count_);
    double erlangs = 0;
    plan.pairWeights.assign(size * size, 0);
    for (std::size_t i = 0; i < size * size; ++i) {
      plan.pairWeights[i] = trunkFields.at("erl").at(i).to_number<double>();
      erlangs += plan.pairWeights[i];
    }
    // Circuit-seconds that a session takes on average: circuitSeconds / weights.
    double weights = 0, circuitSeconds = 0;
    for (std::size_t i = 0; i < plan.serviceWeights.size(); ++i) {
      weights += plan.serviceWeights[i];
      circuitSeconds += plan.serviceWeights[i] * plan.fleet.offeredServices[i].width *
                        plan.fleet.config.services[i].meanHold.ms() / 1000;
    }
    const double load = day_.at("traffic").at("load").to_number<double>();
    plan.rate = scale_ * load * erlangs / (circuitSeconds / weights);
    plan.shape = "given";
    for (const json::value& point : day_.at("traffic").at("shape").as_array()) {
      plan.shapePoints.emplace_back(Span::ms(point.at(0).to_number<double>() * 1000), point.at(1).to_number<double>());
    }
    const json::object& clients = day_.at("clients").as_object();
    plan.behaviour.redials = clients.at("retries").to_number<int>();
    plan.behaviour.backoff = microseconds(clients.at("backoff_us"));
    plan.behaviour.retryAfterCompliance = clients.at("honour").to_number<double>();
    plan.behaviour.attemptTimeoutShare = clients.at("try_share").to_number<double>();
    if (clients.at("backoff").as_string() != "fixed")
      addUnsupported("callers' backoff of kind " + std::string(clients.at("backoff").as_string()));
    plan.directoryDelay = microseconds(day_.at("discovery").at("notice"));
  }

  void convertNetwork() {
    const json::object& net = day_.at("net").as_object();
    out_.plan.network.sameZone = microseconds(net.at("same"));
    out_.plan.network.crossZone = microseconds(net.at("cross"));
    out_.plan.network.jitter = net.at("jitter").to_number<double>();
  }

  void convertFault(const json::object& source) {
    const std::string kind(source.at("kind").as_string());
    const double size = source.at("size").to_number<double>();
    Fault fault{};
    fault.at = microseconds(source.at("at"));
    fault.duration = microseconds(source.at("len"));
    fault.magnitude = size;
    fault.text = "(" + kind + ")";
    for (const int place : indexes(source.at("on"))) {
      if (place < count_) fault.places.push_back(place);
    }
    const auto addFault = [&](Fault::Kind faultKind) {
      fault.kind = faultKind;
      out_.plan.faults.push_back(fault);
    };
    if (kind == "crash" || kind == "mass_restart") {
      addFault(Fault::Kind::crash);
    } else if (kind == "vanish") {
      addFault(Fault::Kind::vanish);
    } else if (kind == "hang") {
      addFault(Fault::Kind::hang);
    } else if (kind == "slow" || kind == "shared_slow") {
      addFault(Fault::Kind::slow);
    } else if (kind == "ageing") {
      // In the bench a slowdown grows to `size` over the duration; here the work doubles every `magnitude` ms, which
      // gives the same slowdown at the end.
      fault.magnitude = fault.duration.ms() / std::max(1.0, std::log2(std::max(2.0, size)));
      addFault(Fault::Kind::age);
    } else if (kind == "burst") {
      addFault(Fault::Kind::burst);
    } else if (kind == "hot_caller") {
      // In the bench `size` is the share of all traffic that the hot office has.
      fault.magnitude = 1 + size * count_ / (1 - std::min(size, 0.9));
      addFault(Fault::Kind::hotCaller);
    } else if (kind == "reconnect") {
      fault.places.clear();
      for (int i = 0; i < count_; ++i) fault.places.push_back(i);
      out_.plan.behaviour.maxRedialDelayAfterAbort = fault.duration;
      addFault(Fault::Kind::cut);
    } else if (kind == "origin_slow") {
      const auto zone = source.at("which").to_number<std::size_t>();
      const std::string name(day_.at("zones").at(zone).as_string());
      for (int i = 0; i < count_; ++i) {
        if (out_.plan.fleet.places[static_cast<std::size_t>(i)].zone == name) fault.places.push_back(i);
      }
      fault.magnitude = 1 / std::sqrt(size);
      if (!fault.places.empty()) addFault(Fault::Kind::loseCircuits);
    } else if (kind == "balancer_stall") {
      const bool apart = source.contains("how") && source.at("how").as_string() == "apart";
      addFreezes(fault, Span::ms(size), Span::ms(source.at("extra").to_number<double>() * 1000), apart);
    } else if (kind == "deploy") {
      for (const json::value& step : source.at("steps").as_array()) {
        Fault replaced = fault;
        replaced.kind = Fault::Kind::replace;
        replaced.at = microseconds(step.at("at"));
        replaced.duration = Span::ms(source.at("extra").to_number<double>() * 1000);
        replaced.places.clear();
        for (const int server : indexes(step.at("stop"))) replaced.places.push_back(server % count_);
        out_.plan.faults.push_back(replaced);
      }
    } else {
      addUnsupported("fault " + kind + " at " + std::to_string(static_cast<long>(fault.at.ms())) + " ms");
    }
  }

  /// Adds freezes: each office is frozen for `frozenFor` and runs for `runsFor`, repeatedly. If `apart`, the offices
  /// are not frozen at the same time but evenly shifted.
  void addFreezes(const Fault& source, Span frozenFor, Span runsFor, bool apart) {
    for (std::size_t k = 0; k < source.places.size(); ++k) {
      const Span shift =
          apart ? (frozenFor + runsFor) * (static_cast<double>(k) / static_cast<double>(source.places.size())) : Span();
      for (Span at = source.at + shift; at + frozenFor <= source.at + source.duration; at = at + frozenFor + runsFor) {
        Fault freeze = source;
        freeze.kind = Fault::Kind::freeze;
        freeze.at = at;
        freeze.duration = frozenFor;
        freeze.places = {source.places[k]};
        out_.plan.faults.push_back(freeze);
      }
    }
  }

  const json::object& day_;
  double scale_;
  int count_ = 0;
  BenchDay out_;
};

}  // namespace

BenchDay openBenchDay(const std::string& path, double scale) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) throw std::runtime_error(path + ": can't be read");
  boost::system::error_code error;
  const json::value day = json::parse(text.str(), error);
  if (error) throw std::runtime_error(path + ": not JSON: " + error.message());
  if (!day.is_object()) throw std::runtime_error(path + ": a bench day must be a JSON object");
  try {
    return Converter(day.as_object(), scale).convert();
  } catch (const std::exception& failure) {
    throw std::runtime_error(path + ": not a bench day that can be played: " + failure.what());
  }
}

}  // namespace thistlefold::day
