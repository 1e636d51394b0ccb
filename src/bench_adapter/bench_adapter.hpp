#pragma once

#include <memory>
#include <string>

#include "wire/fields.hpp"

namespace thistlefold::bench_adapter {

using wire::ParseError;

/// Hosts any number of offices behind the bench protocol, which consists of one JSON object per line.
class BenchAdapter {
 public:
  /// Starts without any office; offices are added by the batches.
  BenchAdapter();
  ~BenchAdapter();
  /// Processes one batch of events and returns the reply with the actions that the offices decided on, both without the
  /// end of line. Throws ParseError if the batch violates the protocol. Events that refer to unknown offices, sessions
  /// or exchanges are logged to stderr and ignored.
  std::string processBatch(const std::string& line);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace thistlefold::bench_adapter
