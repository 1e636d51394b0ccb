#pragma once

// The configuration object of an office in JSON: the bench's START message and the configuration of a softswitch
// contain the same object.

#include "thistlefold/office_config.hpp"
#include "wire/fields.hpp"

namespace thistlefold::wire {

/// Reads the configuration of an office. Throws ParseError if a required field is absent or a field has a wrong type.
OfficeConfig readOfficeConfig(const Value& settings);
/// The place of the own exchange, -1 if none is given. Throws ParseError if a field has a wrong type.
int ownPlace(const Value& settings);

}  // namespace thistlefold::wire
