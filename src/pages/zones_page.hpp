#pragma once

// The page of `thistlefold zones report --html`: the matrix of zones, usage and budget over time, and the heaviest
// users.

#include <boost/json.hpp>
#include <string>
#include <vector>

namespace thistlefold::pages {

/// Returns the page as HTML. `offices`: the offices' answers to `zones`; `series`: their answers to `series`. Throws
/// PlotError if a plot or the page cannot be made, and the exceptions of Boost.JSON if an answer lacks a field.
std::string zonesPage(const std::string& title, const std::vector<boost::json::value>& offices,
                      const std::vector<boost::json::value>& series);

}  // namespace thistlefold::pages
