#include "wire/office_config.hpp"

#include "wire/fields.hpp"

namespace thistlefold::wire {

OfficeConfig readOfficeConfig(const Value& conf) {
  OfficeConfig data;
  const Value& caps = object(conf, "Caps");
  const Value& family = object(conf, "FamilyInfo");
  const Value& obligations = object(conf, "Obligations");
  const Value& skills = array(family, "ClassCells");
  const Value& holds = array(family, "MeanHold");
  const Value& grades = array(conf, "Grades");
  for (rapidjson::SizeType i = 0; i < grades.Size(); ++i) {
    if (!grades[i].IsObject()) failField("Grades", "objects are wanted");
    Service service;
    service.value = number(grades[i], "Credit", 1);
    service.lateValue = number(grades[i], "LateValue", 0);
    service.postDialTarget = Span::ms(number(grades[i], "Aim"));
    service.timerLimit = Span::ms(number(grades[i], "GiveUp"));
    service.meanHold = Span::ms(element(holds, i, "MeanHold", 0));
    service.repeatable = name(grades[i], "Semantics", "read_like") == "read_like";
    if (i < skills.Size() && !skills[i].IsNull()) {
      if (!skills[i].IsArray()) failField("ClassCells", "arrays are wanted");
      for (rapidjson::SizeType k = 0; k < skills[i].Size(); ++k) {
        service.pools.push_back(static_cast<int>(element(skills[i], k, "ClassCells", -1)));
      }
    }
    data.services.push_back(service);
  }
  data.fleetSize = integer(conf, "ReplicasOfMe", 0);
  data.usesPools = name(family, "Topology", "mesh") == "pools";
  data.maxInvites = integer(caps, "MaxAttempts", 1);
  data.mustSubscribe = name(conf, "Discovery", "pushed") == "on_request";
  data.listStaleAfter = Span::ms(number(obligations, "AskWithin", 0));
  data.honoursRetryAfter = flag(caps, "RetryAfter");
  data.longestRetryAfter = Span::ms(number(caps, "MaxRetryAfter", 0));
  data.releaseTime = Span::ms(number(family, "ClearWait", 0));
  data.retransmitAfter = Span::ms(number(family, "T1", 0));
  data.coldCapacityShare = number(obligations, "ColdFrom", 0);
  data.warmUpTime = Span::ms(number(obligations, "WarmAfter", 0));
  data.overloadFactor = number(obligations, "FallMultiple", 0);
  data.overloadWindow = Span::ms(number(obligations, "TipAfter", 0));
  return data;
}

int ownPlace(const Value& conf) { return integer(object(conf, "FamilyInfo"), "ThisNode", -1); }

}  // namespace thistlefold::wire
