#pragma once

// What a whole mesh loses, when sessions go as this program routes them: direct while the group has room, else over
// one tandem on groups that stay under the cap, after a turn-back over the next. An Erlang fixed point (Kelly, Adv.
// Appl. Prob. 18, 1986; with reservation: Katz, ITC 5, 1967): each group is taken by itself, under the loads that the
// others leave to it, again and again until nothing moves. Pure.

#include <vector>

namespace thistlefold::dimension {

/// The share of a group up to which two-leg sessions go: the module's cap (docs/design.md).
inline constexpr double kTandemCap = 0.9;

struct MeshGroup {
  int a = 0, b = 0;  // places, a < b
  int circuits = 0;
  double price = 1;  // of a circuit
};

struct Mesh {
  int places = 0;
  std::vector<int> widths;        // by service
  std::vector<MeshGroup> groups;  // at most one a pair of places
  std::vector<double> loads;      // erlangs of sessions, [(from * places + to) * services + service]
  int maxInvites = 6;

  std::size_t services() const { return widths.size(); }
  std::size_t loadIndex(int from, int to, std::size_t service) const {
    return (static_cast<std::size_t>(from) * static_cast<std::size_t>(places) + static_cast<std::size_t>(to)) *
               services() +
           service;
  }
};

struct MeshLoss {
  std::vector<double> loss;           // by load, same index; 0 where nothing is offered
  std::vector<double> serviceLoss;    // of all that is offered, by service
  std::vector<double> direct;         // by group and service: share that does not find the group free
  std::vector<double> meanUse;        // by group: circuits in use on average
  std::vector<double> worstPairLoss;  // by service: the pair that loses most
  int rounds = 0;
  bool converged = false;  // else what is told is the last round's, and moved by more than 0.0001 yet
};

/// `start`: an earlier answer for nearly the same mesh, to begin from; may be null.
MeshLoss meshLoss(const Mesh& mesh, const MeshLoss* start = nullptr);

}  // namespace thistlefold::dimension
