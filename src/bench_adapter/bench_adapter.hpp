#pragma once

#include <memory>
#include <string>

#include "wire/fields.hpp"

namespace thistlefold::drill {

using wire::WireFault;

/// Hosts many offices behind the simulator's wire: one line in, one line out.
class Drill {
 public:
  Drill();
  ~Drill();
  std::string answer(const std::string& line);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace thistlefold::drill
