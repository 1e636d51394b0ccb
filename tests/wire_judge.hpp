#pragma once

// Checks the five rules, which src/rules.cpp lists, from the lines of the bench protocol alone: the messages that
// offices received and the actions that they took. Independent of the controller. The capacity of a warm exchange,
// which the protocol does not show, is a parameter.

#include <rapidjson/document.h>

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace thistlefold::test {

/// Counts the violations of each rule in a sequence of batches and replies.
class WireJudge {
 public:
  /// `setUpsPerSecond`: capacity of a warm exchange.
  explicit WireJudge(double setUpsPerSecond) : setUpsPerSecond_(setUpsPerSecond) {}

  /// Checks one batch and its reply.
  void checkBatch(const std::string& batch, const std::string& reply) {
    rapidjson::Document in, out;
    in.Parse(batch.c_str());
    out.Parse(reply.c_str());
    now_ = in["Time"].GetDouble();
    for (const auto& message : in["arrivals"].GetArray()) {
      onMessage(message.MemberBegin()->name.GetString(), message.MemberBegin()->value);
    }
    for (const auto& action : out["actions"].GetArray()) {
      onAction(action.MemberBegin()->name.GetString(), action.MemberBegin()->value);
    }
    for (auto& [name, office] : offices_) {
      for (auto& [ticket, session] : office.sessions) {
        if (!session.hasFinalAnswer && now_ > session.deadline + office.answerSlack)
          reportOverdue(name, ticket, session);
      }
    }
  }

  int violations[6] = {};      // by rule, 1 to 5
  std::string firstViolation;  // description, empty if there is none
  // Sessions that offices received, INVITEs that they sent, and final answers of offices and far ends.
  int sessions = 0, invites = 0, finals = 0;

 private:
  struct Invite {
    bool isPending = true;
    double endedAt = -1e18;  // when the office learned that it ended, if it may still hold circuits
  };
  struct Session {
    double deadline = 0;
    bool hasFinalAnswer = false;  // from the office, or from the far end and reported to the office
    bool isEstablished = false;
    std::vector<Invite> invites;
  };
  struct Office {
    double releaseTime = 0, drainGrace = 0, answerSlack = 0;
    int place = -1;
    std::map<std::string, Session> sessions;
    std::map<unsigned, std::pair<int, double>> readiness;  // as reported, and since when
  };
  struct Exchange {
    int place = -1;
    double started = -1e18;
    std::deque<double> setUps;  // times of those in the last overload window
  };

  void addViolation(int rule, const std::string& text) {
    ++violations[rule];
    if (firstViolation.empty())
      firstViolation = std::to_string(now_) + " ms, rule " + std::to_string(rule) + ": " + text;
  }
  void reportOverdue(const std::string& office, const std::string& ticket, Session& session) {
    session.hasFinalAnswer = true;  // reported only once
    addViolation(1, office + " gave no final answer to " + ticket);
  }
  static double number(const rapidjson::Value& fields, const char* name) {
    return fields.HasMember(name) ? fields[name].GetDouble() : 0;
  }

  void onMessage(const std::string& kind, const rapidjson::Value& fields) {
    if (kind == "POOL") {
      lists_[fields["Bank"].GetInt()].CopyFrom(fields["Members"], list_.GetAllocator());
      return;
    }
    const std::string name = fields["I"].GetString();
    if (kind == "START") {
      const auto& conf = fields["Conf"];
      const auto& obligations = conf["Obligations"];
      Office office;
      office.releaseTime = conf["FamilyInfo"]["ClearWait"].GetDouble();
      office.place = conf["FamilyInfo"]["ThisNode"].GetInt();
      office.drainGrace = obligations["DrainGrace"].GetDouble();
      office.answerSlack = obligations["AnswerSlack"].GetDouble();
      coldCapacityShare_ = obligations["ColdFrom"].GetDouble();
      warmUpTime_ = obligations["WarmAfter"].GetDouble();
      overloadFactor_ = obligations["FallMultiple"].GetDouble();
      overloadWindow_ = obligations["TipAfter"].GetDouble();
      offices_[name] = office;
    }
    if (kind == "DOWN") offices_.erase(name);
    if (!offices_.contains(name)) return;
    Office& office = offices_[name];
    if (kind == "MEMBERS") return onMembers(office, fields);
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
    Session& session = known->second;
    if (kind == "ABANDONED") session.hasFinalAnswer = true;
    if (kind != "ACCEPTED" && kind != "ENDED") return;
    const auto trial = static_cast<std::size_t>(fields["Trial"].GetInt());
    if (trial >= session.invites.size() || !session.invites[trial].isPending)
      return;  // from before a restart of the office, or a duplicate
    Invite& invite = session.invites[trial];
    if (kind == "ACCEPTED") {
      finals += !session.hasFinalAnswer;
      session.hasFinalAnswer = session.isEstablished = true;
      return;
    }
    invite.isPending = false;
    const int ending = fields["Ending"].GetInt();
    if (!session.isEstablished && (ending == 4 || ending == 10 || ending == 1)) invite.endedAt = now_;
    if (fields.HasMember("Final") && fields["Final"].GetBool()) session.hasFinalAnswer = true;
  }

  void onMembers(Office& office, const rapidjson::Value& fields) {
    const int mode = fields["Mode"].GetInt();
    if (mode == 3) return;
    std::map<unsigned, int> readinessById;
    for (const auto& entry : lists_[fields["Bank"].GetInt()].GetArray()) {
      const unsigned id = entry["Exchange"].GetUint();
      readinessById[id] = entry["Readiness"].GetInt();
      Exchange& exchange = exchanges_[id];
      exchange.place = entry["PlaceNo"].GetInt();
      const double started = number(entry, "LastStart");
      if (started > exchange.started && started > 0) exchange = {exchange.place, started, {}};
    }
    for (auto& [id, former] : office.readiness) {
      if (mode != 0 && !readinessById.contains(id)) readinessById[id] = 3;
    }
    for (const auto& [id, readiness] : readinessById) {
      auto& known = office.readiness[id];
      const bool wasReady = known.first == 2, isReady = readiness == 2;
      if (known == std::pair<int, double>() || wasReady != isReady) known = {readiness, now_};
      known.first = readiness;
    }
  }

  void onAction(const std::string& kind, const rapidjson::Value& fields) {
    if (!fields.HasMember("Ticket")) return;
    const std::string name = fields["I"].GetString(), ticket = fields["Ticket"].GetString();
    Office& office = offices_[name];
    const auto known = office.sessions.find(ticket);
    if (known == office.sessions.end())
      return addViolation(1, name + " acted for " + ticket + ", which it does not hold");
    Session& session = known->second;
    const bool isPending = !session.invites.empty() && session.invites.back().isPending;
    if (kind != "ISSUE") {
      if (session.hasFinalAnswer) addViolation(1, name + " gave " + ticket + " a second final answer");
      if (isPending) addViolation(1, name + " answered " + ticket + " while an INVITE was pending");
      if (now_ > session.deadline + office.answerSlack && !session.hasFinalAnswer)
        addViolation(1, name + " answered " + ticket + " too late");
      session.hasFinalAnswer = true;
      ++finals;
      return;
    }
    ++invites;
    const unsigned to = fields["Exchange"].GetUint();
    if (session.hasFinalAnswer) addViolation(1, name + " sent an INVITE for " + ticket + ", which has a final answer");
    if (isPending) addViolation(2, name + " sent an INVITE for " + ticket + " while another was pending");
    for (const Invite& earlier : session.invites) {
      if (now_ < earlier.endedAt + office.releaseTime)
        addViolation(5, std::string(name).append(" sent ").append(ticket).append(" again within the release time"));
    }
    const auto listed = office.readiness.find(to);
    if (listed == office.readiness.end())
      addViolation(3, name + " sent to an exchange that was never reported to it");
    else if (listed->second.first != 2 && now_ > listed->second.second + office.drainGrace) {
      addViolation(3, name + " sent to an exchange that is draining or gone");
    }
    session.invites.emplace_back();
    for (auto& [id, exchange] : exchanges_) {
      if (id == to || exchange.place == office.place) checkColdStart(id, exchange);
    }
  }

  void checkColdStart(unsigned id, Exchange& exchange) {
    const double age = now_ - exchange.started;
    if (age >= warmUpTime_) return;
    exchange.setUps.push_back(now_);
    while (now_ - exchange.setUps.front() > overloadWindow_) exchange.setUps.pop_front();
    const double capacity =
        setUpsPerSecond_ * (coldCapacityShare_ + (1 - coldCapacityShare_) * age / warmUpTime_) * overloadWindow_ / 1000;
    if (static_cast<double>(exchange.setUps.size()) > overloadFactor_ * capacity) {
      addViolation(4, "the cold exchange " + std::to_string(id) + " received " +
                          std::to_string(exchange.setUps.size()) + " set-ups");
    }
  }

  double setUpsPerSecond_;
  double now_ = 0, coldCapacityShare_ = 0, warmUpTime_ = 0, overloadFactor_ = 0, overloadWindow_ = 0;
  std::map<std::string, Office> offices_;
  std::map<unsigned, Exchange> exchanges_;
  rapidjson::Document list_;
  std::map<int, rapidjson::Value> lists_;
};

}  // namespace thistlefold::test
