#include "wire/office_config.hpp"

#include "wire/fields.hpp"

namespace thistlefold::wire {

OfficeConfig readOfficeConfig(const Value& settings) {
  OfficeConfig config;
  const Value& capabilities = object(settings, "Caps");
  const Value& familyInfo = object(settings, "FamilyInfo");
  const Value& obligations = object(settings, "Obligations");
  const Value& poolsByService = array(familyInfo, "ClassCells");
  const Value& meanHolds = array(familyInfo, "MeanHold");
  const Value& services = array(settings, "Grades");
  for (rapidjson::SizeType i = 0; i < services.Size(); ++i) {
    if (!services[i].IsObject()) failField("Grades", "objects are wanted");
    Service service;
    service.value = number(services[i], "Credit", 1);
    service.lateValue = number(services[i], "LateValue", 0);
    service.postDialTarget = Span::ms(number(services[i], "Aim"));
    service.timerLimit = Span::ms(number(services[i], "GiveUp"));
    service.meanHold = Span::ms(element(meanHolds, i, "MeanHold", 0));
    service.repeatable = name(services[i], "Semantics", "read_like") == "read_like";
    if (i < poolsByService.Size() && !poolsByService[i].IsNull()) {
      if (!poolsByService[i].IsArray()) failField("ClassCells", "arrays are wanted");
      for (rapidjson::SizeType k = 0; k < poolsByService[i].Size(); ++k) {
        service.pools.push_back(static_cast<int>(element(poolsByService[i], k, "ClassCells", -1)));
      }
    }
    config.services.push_back(service);
  }
  config.fleetSize = integer(settings, "ReplicasOfMe", 0);
  config.usesPools = name(familyInfo, "Topology", "mesh") == "pools";
  config.maxInvites = integer(capabilities, "MaxAttempts", 1);
  config.mustSubscribe = name(settings, "Discovery", "pushed") == "on_request";
  config.listStaleAfter = Span::ms(number(obligations, "AskWithin", 0));
  config.honoursRetryAfter = flag(capabilities, "RetryAfter");
  config.longestRetryAfter = Span::ms(number(capabilities, "MaxRetryAfter", 0));
  config.releaseTime = Span::ms(number(familyInfo, "ClearWait", 0));
  config.retransmitAfter = Span::ms(number(familyInfo, "T1", 0));
  config.coldCapacityShare = number(obligations, "ColdFrom", 0);
  config.warmUpTime = Span::ms(number(obligations, "WarmAfter", 0));
  config.overloadFactor = number(obligations, "FallMultiple", 0);
  config.overloadWindow = Span::ms(number(obligations, "TipAfter", 0));
  return config;
}

int ownPlace(const Value& settings) { return integer(object(settings, "FamilyInfo"), "ThisNode", -1); }

}  // namespace thistlefold::wire
