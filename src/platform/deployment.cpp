#include "platform/deployment.hpp"

#include <rapidjson/error/en.h>

#include <algorithm>

#include "platform/message.hpp"
#include "wire/office_config.hpp"

namespace thistlefold::platform {
namespace {

using namespace wire;

// Beside connections: standard streams, the listener, the poller, timers, signals, the configuration while it is read.
constexpr int kOtherDescriptors = 16;

iax2::Address address(const Value& fields, const char* field) {
  const auto read = iax2::parseAddress(name(fields, field));
  if (!read) failField(field, "an address and a port are wanted, as in 127.0.0.1:5070");
  return *read;
}

}  // namespace

Deployment readDeployment(std::string_view text) {
  rapidjson::Document read;
  read.Parse<rapidjson::kParseFullPrecisionFlag | rapidjson::kParseIterativeFlag>(text.data(), text.size());
  if (read.HasParseError()) {
    throw ParseError(std::string(rapidjson::GetParseError_En(read.GetParseError())) + " at offset " +
                     std::to_string(read.GetErrorOffset()));
  }
  if (!read.IsObject()) throw ParseError("an object is wanted at offset 0");
  Deployment out;
  out.name = name(read, "name", "");
  out.listen = address(read, "listen");
  out.bulletin = address(read, "bulletin");
  const auto seed = readHex(name(read, "seed", "0"));
  if (!seed) failField("seed", "hex digits are wanted");
  out.seed = *seed;
  out.connections = std::clamp(integer(object(read, "limits"), "sockets", 256), 64, 65536) - kOtherDescriptors;
  out.memory = static_cast<std::size_t>(std::clamp(integer(object(read, "limits"), "memory_mb", 32), 8, 65536)) << 20;
  out.known = readKnown(object(read, "known"));
  const Value& settings = object(read, "settings");
  out.data = readOfficeConfig(settings);
  out.here = out.data.usesPools ? -1 : ownPlace(settings);
  const Value& widths = array(object(settings, "FamilyInfo"), "ChannelsNeeded");
  const Value& grades = array(settings, "Grades");
  for (rapidjson::SizeType i = 0; i < grades.Size(); ++i) {
    out.services.emplace_back(name(grades[i], "Name"));
    out.widths.push_back(element(widths, i, "ChannelsNeeded", 1));
  }
  const Value& caps = object(settings, "Caps");
  out.openCalls = static_cast<std::size_t>(std::clamp(integer(caps, "OpenCap", 20000), 1, 1000000));
  out.connectWithin = Span::ms(number(caps, "ConnectTimeout", 500));
  for (const Value& one : array(object(settings, "Report"), "Names").GetArray()) {
    if (!one.IsString()) failField("Names", "text is wanted");
    out.reports.emplace_back(wire::text(one));
  }
  return out;
}

}  // namespace thistlefold::platform
