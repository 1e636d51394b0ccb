#include <iostream>

#include "bench_adapter.hpp"

// Reads batches of the bench protocol from stdin and writes the replies to stdout, one a line. Exits with 1 at the
// first line that cannot be parsed.
int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  thistlefold::bench_adapter::BenchAdapter adapter;
  std::string line;
  for (long number = 1; std::getline(std::cin, line); ++number) {
    try {
      std::cout << adapter.processBatch(line) << '\n' << std::flush;
    } catch (const thistlefold::bench_adapter::ParseError& error) {
      std::cerr << "thistlefold_bench_adapter: line " << number << ": " << error.what() << '\n';
      return 1;
    }
  }
  return 0;
}
