#pragma once

// What an office is told when it is put into service: the simulator's first message and a softswitch's configuration
// hold the same object.

#include "thistlefold/office_config.hpp"
#include "wire/fields.hpp"

namespace thistlefold::wire {

/// Throws ParseError.
OfficeConfig readOfficeConfig(const Value& conf);
/// The own exchange's place; -1 where there is none.
int ownPlace(const Value& conf);

}  // namespace thistlefold::wire
