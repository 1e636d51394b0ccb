#include "platform/deployment.hpp"

#include <rapidjson/error/en.h>

#include <algorithm>

#include "platform/message.hpp"
#include "wire/office_config.hpp"

namespace thistlefold::platform {
namespace {

using namespace wire;

// File descriptors that are not connections: standard streams, listener, poller, timers, signals, the configuration
// file.
constexpr int kOtherDescriptors = 16;

iax2::Address address(const Value& fields, const char* field) {
  const auto parsed = iax2::parseAddress(name(fields, field));
  if (!parsed) failField(field, "an address and a port are wanted, as in 127.0.0.1:5070");
  return *parsed;
}

}  // namespace

Deployment readDeployment(std::string_view text) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseFullPrecisionFlag | rapidjson::kParseIterativeFlag>(text.data(), text.size());
  if (document.HasParseError()) {
    throw ParseError(std::string(rapidjson::GetParseError_En(document.GetParseError())) + " at offset " +
                     std::to_string(document.GetErrorOffset()));
  }
  if (!document.IsObject()) throw ParseError("an object is wanted at offset 0");
  Deployment deployment;
  deployment.name = name(document, "name", "");
  deployment.listenAddress = address(document, "listen");
  deployment.bulletinAddress = address(document, "bulletin");
  const auto seed = readHex(name(document, "seed", "0"));
  if (!seed) failField("seed", "hex digits are wanted");
  deployment.seed = *seed;
  deployment.maxConnections =
      std::clamp(integer(object(document, "limits"), "sockets", 256), 64, 65536) - kOtherDescriptors;
  deployment.memoryBytes =
      static_cast<std::size_t>(std::clamp(integer(object(document, "limits"), "memory_mb", 32), 8, 65536)) << 20;
  deployment.knownEvents = readKnownEvents(object(document, "known"));
  const Value& settings = object(document, "settings");
  deployment.officeConfig = readOfficeConfig(settings);
  deployment.ownPlace = deployment.officeConfig.usesPools ? -1 : ownPlace(settings);
  const Value& widths = array(object(settings, "FamilyInfo"), "ChannelsNeeded");
  const Value& grades = array(settings, "Grades");
  for (rapidjson::SizeType i = 0; i < grades.Size(); ++i) {
    deployment.services.emplace_back(name(grades[i], "Name"));
    deployment.defaultWidths.push_back(element(widths, i, "ChannelsNeeded", 1));
  }
  const Value& caps = object(settings, "Caps");
  deployment.maxPendingSetups = static_cast<std::size_t>(std::clamp(integer(caps, "OpenCap", 20000), 1, 1000000));
  deployment.connectTimeout = Span::ms(number(caps, "ConnectTimeout", 500));
  for (const Value& fieldName : array(object(settings, "Report"), "Names").GetArray()) {
    if (!fieldName.IsString()) failField("Names", "text is wanted");
    deployment.reportFields.emplace_back(wire::text(fieldName));
  }
  return deployment;
}

}  // namespace thistlefold::platform
