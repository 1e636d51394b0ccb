#pragma once

// Pictures for reports, drawn by gnuplot in a process of its own.

#include <stdexcept>
#include <string>

namespace thistlefold::pages {

struct PlotError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// What the script draws, as SVG to be put into a page. The script must not set terminal or output. Throws NoPlot
/// where gnuplot can't be run or does not take the script.
std::string plot(const std::string& script, int width = 760, int height = 300);

/// A text as a gnuplot string, whatever it holds.
std::string quoted(const std::string& text);

}  // namespace thistlefold::pages
