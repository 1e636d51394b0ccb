#pragma once

// Converts a day that the operators' bench has drawn to a day of this program.

#include <string>
#include <vector>

#include "day/script.hpp"

namespace thistlefold::day {

/// A converted day.
struct BenchDay {
  DayPlan plan;
  std::vector<std::string> unsupported;  // what could not be converted, a line each
};

/// Reads a bench day (JSON). `scale`, above 0 and up to 1: the share of its traffic, circuits and processor speed that
/// is played; its times stay. Throws std::runtime_error that names the file and the reason if the day can't be read or
/// is not a mesh of exchanges.
BenchDay openBenchDay(const std::string& path, double scale);

}  // namespace thistlefold::day
