#pragma once

#include <memory>
#include <string>

#include "wire/fields.hpp"

namespace thistlefold::bench_adapter {

using wire::ParseError;

/// Hosts many offices behind the simulator's wire: one line in, one line out.
class BenchAdapter {
 public:
  BenchAdapter();
  ~BenchAdapter();
  std::string answer(const std::string& line);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace thistlefold::bench_adapter
