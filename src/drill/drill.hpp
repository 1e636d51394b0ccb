#pragma once

#include <memory>
#include <stdexcept>
#include <string>

namespace thistlefold::drill {

/// A line that can't be read as the wire says; the text names the field or the offset.
struct WireFault : std::runtime_error {
  using std::runtime_error::runtime_error;
};

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
