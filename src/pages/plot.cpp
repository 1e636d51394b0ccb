#include "pages/plot.hpp"

#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <memory>

namespace thistlefold::pages {

std::string quoted(const std::string& text) {
  std::string out = "\"";
  for (const char c : text) {
    // Neither an end of the string nor an escape, nor what gnuplot's enhanced text takes for a sign.
    if (c == '"' || c == '\\' || c == '`' || c == '$' || c < ' ') continue;
    out += c;
  }
  return out + '"';
}

std::string plot(const std::string& script, int width, int height) {
  char path[] = "/tmp/thistlefold-plot-XXXXXX";
  const int file = ::mkstemp(path);
  if (file < 0) throw PlotError("no file for a plot's script can be made in /tmp");
  const std::string whole = "set terminal svg noenhanced size " + std::to_string(width) + "," + std::to_string(height) +
                            " font 'sans,11' background rgb 'white'\n" + script + "\n";
  const bool written = ::write(file, whole.data(), whole.size()) == static_cast<ssize_t>(whole.size());
  ::close(file);
  std::string svg;
  int status = -1;
  if (written) {
    if (FILE* out = ::popen(("gnuplot " + std::string(path) + " 2>&1").c_str(), "r")) {
      char buffer[4096];
      while (const std::size_t got = std::fread(buffer, 1, sizeof buffer, out)) svg.append(buffer, got);
      status = ::pclose(out);
    }
  }
  ::unlink(path);
  if (status == 0x7f00) throw PlotError("gnuplot is not installed; it draws the plots");
  const auto begin = svg.find("<svg");
  if (status != 0 || begin == std::string::npos) throw PlotError("gnuplot: " + svg.substr(0, 300));
  return svg.substr(begin);
}

}  // namespace thistlefold::pages
