#pragma once

// The five rules, judged from the adapter's wire lines alone: what was told to offices, what they did. Knows nothing
// of the module. What the wire does not show, a warm exchange's set-ups a second, is told to it.

#include <rapidjson/document.h>

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace thistlefold::test {

class WireJudge {
 public:
  explicit WireJudge(double setUpsASecond) : setUpsASecond_(setUpsASecond) {}

  /// One batch and its reply.
  void take(const std::string& batch, const std::string& reply) {
    rapidjson::Document in, out;
    in.Parse(batch.c_str());
    out.Parse(reply.c_str());
    now_ = in["Time"].GetDouble();
    for (const auto& message : in["arrivals"].GetArray()) {
      told(message.MemberBegin()->name.GetString(), message.MemberBegin()->value);
    }
    for (const auto& action : out["actions"].GetArray()) {
      did(action.MemberBegin()->name.GetString(), action.MemberBegin()->value);
    }
    for (auto& [name, office] : offices_) {
      for (auto& [ticket, one] : office.sessions) {
        if (!one.answered && now_ > one.deadline + office.answerSlack) overdue(name, ticket, one);
      }
    }
  }

  int broken[6] = {};
  std::string first;  // breach, in words
  int sessions = 0, invites = 0, finals = 0;

 private:
  struct Invite {
    bool out = true;
    double releasedAt = -1e18;  // told that it ended in a way that may hold circuits
  };
  struct Session {
    double deadline = 0;
    bool answered = false;  // for good: by the office, or by the far end as the office was told
    bool standing = false;
    std::vector<Invite> invites;
  };
  struct Office {
    double releaseTime = 0, drainGrace = 0, answerSlack = 0;
    int here = -1;
    std::map<std::string, Session> sessions;
    std::map<unsigned, std::pair<int, double>> readiness;  // as told, and since when
  };
  struct Exchange {
    int place = -1;
    double started = -1e18;
    std::deque<double> sent;
  };

  void violation(int rule, const std::string& text) {
    ++broken[rule];
    if (first.empty()) first = std::to_string(now_) + " ms, rule " + std::to_string(rule) + ": " + text;
  }
  void overdue(const std::string& office, const std::string& ticket, Session& one) {
    one.answered = true;  // told once
    violation(1, office + " gave no final answer to " + ticket);
  }
  static double number(const rapidjson::Value& of, const char* name) {
    return of.HasMember(name) ? of[name].GetDouble() : 0;
  }

  void told(const std::string& kind, const rapidjson::Value& fields) {
    if (kind == "POOL") {
      lists_[fields["Bank"].GetInt()].CopyFrom(fields["Members"], list_.GetAllocator());
      return;
    }
    const std::string name = fields["I"].GetString();
    if (kind == "START") {
      const auto& conf = fields["Conf"];
      const auto& rules = conf["Obligations"];
      Office office;
      office.releaseTime = conf["FamilyInfo"]["ClearWait"].GetDouble();
      office.here = conf["FamilyInfo"]["ThisNode"].GetInt();
      office.drainGrace = rules["DrainGrace"].GetDouble();
      office.answerSlack = rules["AnswerSlack"].GetDouble();
      coldFrom_ = rules["ColdFrom"].GetDouble();
      warmAfter_ = rules["WarmAfter"].GetDouble();
      fallMultiple_ = rules["FallMultiple"].GetDouble();
      tipAfter_ = rules["TipAfter"].GetDouble();
      offices_[name] = office;
    }
    if (kind == "DOWN") offices_.erase(name);
    if (!offices_.contains(name)) return;
    Office& office = offices_[name];
    if (kind == "MEMBERS") return listed(office, fields);
    if (!fields.HasMember("Ticket")) return;
    const std::string ticket = fields["Ticket"].GetString();
    if (kind == "INCOMING") {
      if (!office.sessions.contains(ticket)) {
        office.sessions[ticket].deadline = fields["Deadline"].GetDouble();
        ++sessions;
      }
      return;
    }
    const auto known = office.sessions.find(ticket);
    if (known == office.sessions.end()) return;
    Session& one = known->second;
    if (kind == "ABANDONED") one.answered = true;
    if (kind != "ACCEPTED" && kind != "ENDED") return;
    const auto trial = static_cast<std::size_t>(fields["Trial"].GetInt());
    if (trial >= one.invites.size() || !one.invites[trial].out) return;  // of another life, or told already
    Invite& invite = one.invites[trial];
    if (kind == "ACCEPTED") {
      finals += !one.answered;
      one.answered = one.standing = true;
      return;
    }
    invite.out = false;
    const int ending = fields["Ending"].GetInt();
    if (!one.standing && (ending == 4 || ending == 10 || ending == 1)) invite.releasedAt = now_;
    if (fields.HasMember("Final") && fields["Final"].GetBool()) one.answered = true;
  }

  void listed(Office& office, const rapidjson::Value& fields) {
    const int mode = fields["Mode"].GetInt();
    if (mode == 3) return;
    std::map<unsigned, int> named;
    for (const auto& entry : lists_[fields["Bank"].GetInt()].GetArray()) {
      const unsigned id = entry["Exchange"].GetUint();
      named[id] = entry["Readiness"].GetInt();
      Exchange& exchange = exchanges_[id];
      exchange.place = entry["PlaceNo"].GetInt();
      const double started = number(entry, "LastStart");
      if (started > exchange.started && started > 0) exchange = {exchange.place, started, {}};
    }
    for (auto& [id, one] : office.readiness) {
      if (mode != 0 && !named.contains(id)) named[id] = 3;
    }
    for (const auto& [id, readiness] : named) {
      auto& known = office.readiness[id];
      const bool was = known.first == 2, is = readiness == 2;
      if (known == std::pair<int, double>() || was != is) known = {readiness, now_};
      known.first = readiness;
    }
  }

  void did(const std::string& kind, const rapidjson::Value& fields) {
    if (!fields.HasMember("Ticket")) return;
    const std::string name = fields["I"].GetString(), ticket = fields["Ticket"].GetString();
    Office& office = offices_[name];
    const auto known = office.sessions.find(ticket);
    if (known == office.sessions.end()) return violation(1, name + " acted for " + ticket + ", which it does not hold");
    Session& one = known->second;
    const bool out = !one.invites.empty() && one.invites.back().out;
    if (kind != "ISSUE") {
      if (one.answered) violation(1, name + " gave " + ticket + " a second final answer");
      if (out) violation(1, name + " answered " + ticket + " while an INVITE was out");
      if (now_ > one.deadline + office.answerSlack && !one.answered)
        violation(1, name + " answered " + ticket + " too late");
      one.answered = true;
      ++finals;
      return;
    }
    ++invites;
    const unsigned to = fields["Exchange"].GetUint();
    if (one.answered) violation(1, name + " sent an INVITE for " + ticket + ", which was answered");
    if (out) violation(2, name + " sent an INVITE for " + ticket + " while another was out");
    for (const Invite& earlier : one.invites) {
      if (now_ < earlier.releasedAt + office.releaseTime)
        violation(5, name + " sent " + ticket + " again within the release time");
    }
    const auto told = office.readiness.find(to);
    if (told == office.readiness.end())
      violation(3, name + " sent to an exchange that it was never told of");
    else if (told->second.first != 2 && now_ > told->second.second + office.drainGrace) {
      violation(3, name + " sent to an exchange that drains or is gone");
    }
    one.invites.emplace_back();
    for (auto& [id, exchange] : exchanges_) {
      if (id == to || exchange.place == office.here) cold(id, exchange);
    }
  }

  void cold(unsigned id, Exchange& exchange) {
    const double age = now_ - exchange.started;
    if (age >= warmAfter_) return;
    exchange.sent.push_back(now_);
    while (now_ - exchange.sent.front() > tipAfter_) exchange.sent.pop_front();
    const double canDo = setUpsASecond_ * (coldFrom_ + (1 - coldFrom_) * age / warmAfter_) * tipAfter_ / 1000;
    if (static_cast<double>(exchange.sent.size()) > fallMultiple_ * canDo) {
      violation(
          4, "the cold exchange " + std::to_string(id) + " got " + std::to_string(exchange.sent.size()) + " set-ups");
    }
  }

  double setUpsASecond_;
  double now_ = 0, coldFrom_ = 0, warmAfter_ = 0, fallMultiple_ = 0, tipAfter_ = 0;
  std::map<std::string, Office> offices_;
  std::map<unsigned, Exchange> exchanges_;
  rapidjson::Document list_;
  std::map<int, rapidjson::Value> lists_;
};

}  // namespace thistlefold::test
