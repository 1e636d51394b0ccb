#pragma once

// Plots for reports, drawn by gnuplot in a separate process.

#include <stdexcept>
#include <string>

namespace thistlefold::pages {

/// A plot or page could not be made; what() says why.
struct PlotError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Runs a gnuplot script and returns its plot as an SVG element for a page. `width` and `height` are in pixels. The
/// script must not set the terminal or the output. Throws PlotError if gnuplot cannot be run or rejects the script.
std::string renderPlot(const std::string& script, int width = 760, int height = 300);

/// Quotes any text as a gnuplot string; characters with a special meaning are left out.
std::string quoteForGnuplot(const std::string& text);

}  // namespace thistlefold::pages
