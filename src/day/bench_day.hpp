#pragma once

// A day that the operators' bench has drawn, as a day of this program.

#include <string>
#include <vector>

#include "day/script.hpp"

namespace thistlefold::day {

struct BenchDay {
  DayPlan plan;
  std::vector<std::string> unsupported;  // what has no counterpart here, a line each
};

/// `scale`, above 0 and up to 1: share of its traffic, circuits and processors' speed that is played; its times stay.
/// Throws std::runtime_error that names the file and the field where the day can't be read, or is no mesh.
BenchDay openBenchDay(const std::string& path, double scale);

}  // namespace thistlefold::day
