#include <iostream>

#include "bench_adapter.hpp"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  thistlefold::bench_adapter::BenchAdapter adapter;
  std::string line;
  for (long number = 1; std::getline(std::cin, line); ++number) {
    try {
      std::cout << adapter.answer(line) << '\n' << std::flush;
    } catch (const thistlefold::bench_adapter::ParseError& fault) {
      std::cerr << "thistlefold_bench_adapter: line " << number << ": " << fault.what() << '\n';
      return 1;
    }
  }
  return 0;
}
