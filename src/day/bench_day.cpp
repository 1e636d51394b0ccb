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
  for (const json::value& one : list.as_array()) out.push_back(one.to_number<int>());
  return out;
}

class Reader {
 public:
  Reader(const json::object& day, double scale) : day_(day), scale_(scale) {}

  BenchDay read() {
    const json::object& fam = day_.at("fam").as_object();
    if (day_.at("family").as_string() != "trunks" || fam.at("pools").as_bool()) {
      throw std::runtime_error("a day of a mesh of exchanges is expected, not of pools or another family");
    }
    count_ = fam.at("n").to_number<int>();
    DayPlan& plan = out_.plan;
    plan.name = std::string(day_.at("site").as_string()) + "/" + std::string(day_.at("kind").as_string());
    std::replace(plan.name.begin(), plan.name.end(), '/', '-');
    plan.seed = day_.at("noise").to_number<std::uint64_t>() % 1000000;
    plan.length = microseconds(day_.at("length"));
    services(fam);
    rules(fam);
    places(fam);
    traffic(fam);
    network();
    for (const json::value& one : day_.at("troubles").as_array()) fault(one.as_object());
    leave("where sessions go drifts in the course of the day there; here the pairs keep their share");
    leave("calls that go out or through cost the own processor nothing here: the office sits in front of it");
    leave("reports of what a processor can take come here with every answer and without noise");
    if (fam.at("advice").to_number<int>() != 0) leave("the centre's advice on tandems");
    return std::move(out_);
  }

 private:
  void leave(const std::string& what) { out_.left.push_back(what); }

  void services(const json::object& fam) {
    DayPlan& plan = out_.plan;
    const auto& classes = day_.at("classes").as_array();
    for (std::size_t i = 0; i < classes.size(); ++i) {
      const json::object& one = classes[i].as_object();
      plan.fleet.offeredServices.push_back(
          {std::string(one.at("name").as_string()), fam.at("width").at(i).to_number<int>()});
      Service service;
      service.value = one.at("worth").to_number<double>();
      service.lateValue = one.at("late_worth").to_number<double>();
      service.postDialTarget = microseconds(one.at("aim"));
      service.timerLimit = microseconds(one.at("deadline"));
      service.meanHold = microseconds(fam.at("hold").at(i));
      service.repeatable = one.at("effect").as_string() == "safe";
      plan.fleet.config.services.push_back(service);
      plan.shares.push_back(one.at("share").to_number<double>());
    }
  }

  void rules(const json::object& fam) {
    OfficeConfig& data = out_.plan.fleet.config;
    const json::object& tier = day_.at("tiers").at(0).as_object();
    const json::object& kind = tier.at("kinds").at(0).as_object();
    const json::object& allow = day_.at("allow").as_object();
    data.maxInvites = allow.at("max_attempts").to_number<int>();
    data.honoursRetryAfter = allow.at("retry_after").as_bool();
    data.longestRetryAfter = microseconds(day_.at("clients").at("max_retry_after"));
    data.releaseTime = microseconds(fam.at("release"));
    if (fam.at("resend").to_number<double>() > 0) {
      leave("set-ups that wait are sent again there; here the exchange's office acknowledges them at once");
    }
    data.coldCapacityShare = tier.at("stated_cold_from").to_number<double>();
    data.warmUpTime = microseconds(tier.at("stated_cold"));
    data.overloadFactor = day_.at("fall_multiple").to_number<double>();
    data.overloadWindow = microseconds(day_.at("fall_for"));
    data.mustSubscribe = day_.at("discovery").at("ask").as_bool();
    data.listStaleAfter = Span::ms(5000);
    out_.plan.fleet.drainGrace = microseconds(day_.at("drain_grace"));
    ProcessorModel& model = out_.plan.processor;
    model.coldCapacityShare = kind.at("cold_from").to_number<double>();
    model.warmUpTime = microseconds(kind.at("cold"));
    model.overloadFactor = data.overloadFactor;
    model.overloadWindow = data.overloadWindow;
    model.followWork = fam.at("follow").to_number<double>();
    model.turnAwayWork = fam.at("reject").to_number<double>();
    model.longestWait = microseconds(fam.at("queue"));
    out_.plan.lines = fam.at("hot_lines").to_number<int>();
  }

  void places(const json::object& fam) {
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
        const int size = fam.at("size").at(static_cast<std::size_t>(a * count_ + b)).to_number<int>();
        // Not below the widest session, or a scaled-down group would carry none of it.
        if (size > 0) fleet.groups.push_back({a, b, std::max(widest(), static_cast<int>(std::lround(scale_ * size)))});
      }
    }
  }
  int widest() const {
    int widest = 1;
    for (const OfferedService& offer : out_.plan.fleet.offeredServices) widest = std::max(widest, offer.width);
    return widest;
  }

  void traffic(const json::object& fam) {
    DayPlan& plan = out_.plan;
    const auto size = static_cast<std::size_t>(count_);
    double erlangs = 0;
    plan.pairs.assign(size * size, 0);
    for (std::size_t i = 0; i < size * size; ++i) {
      plan.pairs[i] = fam.at("erl").at(i).to_number<double>();
      erlangs += plan.pairs[i];
    }
    // Circuit-seconds that the mean session takes.
    double sum = 0, each = 0;
    for (std::size_t i = 0; i < plan.shares.size(); ++i) {
      sum += plan.shares[i];
      each += plan.shares[i] * plan.fleet.offeredServices[i].width * plan.fleet.config.services[i].meanHold.ms() / 1000;
    }
    const double load = day_.at("traffic").at("load").to_number<double>();
    plan.rate = scale_ * load * erlangs / (each / sum);
    plan.shape = "given";
    for (const json::value& knot : day_.at("traffic").at("shape").as_array()) {
      plan.knots.emplace_back(Span::ms(knot.at(0).to_number<double>() * 1000), knot.at(1).to_number<double>());
    }
    const json::object& clients = day_.at("clients").as_object();
    plan.behaviour.redials = clients.at("retries").to_number<int>();
    plan.behaviour.backoff = microseconds(clients.at("backoff_us"));
    plan.behaviour.honour = clients.at("honour").to_number<double>();
    plan.behaviour.tryShare = clients.at("try_share").to_number<double>();
    if (clients.at("backoff").as_string() != "fixed")
      leave("callers' backoff of kind " + std::string(clients.at("backoff").as_string()));
    plan.notice = microseconds(day_.at("discovery").at("notice"));
  }

  void network() {
    const json::object& net = day_.at("net").as_object();
    out_.plan.network.sameZone = microseconds(net.at("same"));
    out_.plan.network.crossZone = microseconds(net.at("cross"));
    out_.plan.network.jitter = net.at("jitter").to_number<double>();
  }

  void fault(const json::object& one) {
    const std::string kind(one.at("kind").as_string());
    const double size = one.at("size").to_number<double>();
    Fault fault{};
    fault.at = microseconds(one.at("at"));
    fault.lasts = microseconds(one.at("len"));
    fault.size = size;
    fault.words = "(" + kind + ")";
    for (const int place : indexes(one.at("on"))) {
      if (place < count_) fault.places.push_back(place);
    }
    const auto add = [&](Fault::Kind as) {
      fault.kind = as;
      out_.plan.faults.push_back(fault);
    };
    if (kind == "crash" || kind == "mass_restart") {
      add(Fault::Kind::crash);
    } else if (kind == "vanish") {
      add(Fault::Kind::vanish);
    } else if (kind == "hang") {
      add(Fault::Kind::hang);
    } else if (kind == "slow" || kind == "shared_slow") {
      add(Fault::Kind::slow);
    } else if (kind == "ageing") {
      // There a slowdown grows to `size` in the course of the trouble; here it doubles that often.
      fault.size = fault.lasts.ms() / std::max(1.0, std::log2(std::max(2.0, size)));
      add(Fault::Kind::age);
    } else if (kind == "burst") {
      add(Fault::Kind::burst);
    } else if (kind == "hot_caller") {
      // `size` is the share of all traffic that the hot office has.
      fault.size = 1 + size * count_ / (1 - std::min(size, 0.9));
      add(Fault::Kind::hotCaller);
    } else if (kind == "reconnect") {
      fault.places.clear();
      for (int i = 0; i < count_; ++i) fault.places.push_back(i);
      out_.plan.behaviour.returnsWithin = fault.lasts;
      add(Fault::Kind::cut);
    } else if (kind == "origin_slow") {
      const auto zone = one.at("which").to_number<std::size_t>();
      const std::string name(day_.at("zones").at(zone).as_string());
      for (int i = 0; i < count_; ++i) {
        if (out_.plan.fleet.places[static_cast<std::size_t>(i)].zone == name) fault.places.push_back(i);
      }
      fault.size = 1 / std::sqrt(size);
      if (!fault.places.empty()) add(Fault::Kind::loseCircuits);
    } else if (kind == "balancer_stall") {
      const bool apart = one.contains("how") && one.at("how").as_string() == "apart";
      stalls(fault, Span::ms(size), Span::ms(one.at("extra").to_number<double>() * 1000), apart);
    } else if (kind == "deploy") {
      for (const json::value& step : one.at("steps").as_array()) {
        Fault replaced = fault;
        replaced.kind = Fault::Kind::replace;
        replaced.at = microseconds(step.at("at"));
        replaced.lasts = Span::ms(one.at("extra").to_number<double>() * 1000);
        replaced.places.clear();
        for (const int server : indexes(step.at("stop"))) replaced.places.push_back(server % count_);
        out_.plan.faults.push_back(replaced);
      }
    } else {
      leave("trouble " + kind + " at " + std::to_string(static_cast<long>(fault.at.ms())) + " ms");
    }
  }

  /// An office stands still for `each` and runs for `between`, over and over; apart: by turns.
  void stalls(const Fault& all, Span each, Span between, bool apart) {
    for (std::size_t k = 0; k < all.places.size(); ++k) {
      const Span shift =
          apart ? (each + between) * (static_cast<double>(k) / static_cast<double>(all.places.size())) : Span();
      for (Span at = all.at + shift; at + each <= all.at + all.lasts; at = at + each + between) {
        Fault one = all;
        one.kind = Fault::Kind::freeze;
        one.at = at;
        one.lasts = each;
        one.places = {all.places[k]};
        out_.plan.faults.push_back(one);
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
  if (!day.is_object()) throw std::runtime_error(path + ": a bench day is a JSON object");
  try {
    return Reader(day.as_object(), scale).read();
  } catch (const std::exception& failure) {
    throw std::runtime_error(path + ": no bench day that can be played: " + failure.what());
  }
}

}  // namespace thistlefold::day
