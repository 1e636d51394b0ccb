#include "pages/plot.hpp"

#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <memory>

namespace thistlefold::pages {

std::string quoteForGnuplot(const std::string& text) {
  std::string quoted = "\"";
  for (const char c : text) {
    // Leaves out what ends the string, begins an escape or has a special meaning for gnuplot, and control characters.
    if (c == '"' || c == '\\' || c == '`' || c == '$' || c < ' ') continue;
    quoted += c;
  }
  return quoted + '"';
}

std::string renderPlot(const std::string& script, int width, int height) {
  char path[] = "/tmp/thistlefold-plot-XXXXXX";
  const int file = ::mkstemp(path);
  if (file < 0) throw PlotError("cannot create a file for the plot script in /tmp");
  const std::string fullScript = "set terminal svg noenhanced size " + std::to_string(width) + "," +
                                 std::to_string(height) + " font 'sans,11' background rgb 'white'\n" + script + "\n";
  const bool written = ::write(file, fullScript.data(), fullScript.size()) == static_cast<ssize_t>(fullScript.size());
  ::close(file);
  std::string svg;
  int status = -1;
  if (written) {
    if (FILE* pipe = ::popen(("gnuplot " + std::string(path) + " 2>&1").c_str(), "r")) {
      char buffer[4096];
      while (const std::size_t count = std::fread(buffer, 1, sizeof buffer, pipe)) svg.append(buffer, count);
      status = ::pclose(pipe);
    }
  }
  ::unlink(path);
  if (status == 0x7f00) throw PlotError("gnuplot is not installed; it is needed to draw the plots");
  const auto begin = svg.find("<svg");
  if (status != 0 || begin == std::string::npos) throw PlotError("gnuplot: " + svg.substr(0, 300));
  return svg.substr(begin);
}

}  // namespace thistlefold::pages
