#pragma once

// The loss of a whole mesh of trunk groups with this program's routing: direct while the group has free circuits,
// otherwise over one tandem on groups below the cap, and after a crankback over the next tandem. Computed as an Erlang
// fixed point (Kelly, Adv. Appl. Prob. 18, 1986; with reservation: Katz, ITC 5, 1967): the blocking of each group is
// computed separately from the loads that the other groups' blocking offers to it, repeatedly until it converges. Pure
// functions.

#include <vector>

namespace thistlefold::dimension {

/// Share of a group's circuits up to which two-leg sessions may use it: the controller's cap (docs/design.md).
inline constexpr double kTandemCap = 0.9;

/// A trunk group between two places.
struct MeshGroup {
  int a = 0, b = 0;  // places, a < b
  int circuits = 0;
  double price = 1;  // per circuit
};

/// Trunk groups and offered loads of a fleet.
struct Mesh {
  int places = 0;
  std::vector<int> widths;        // by service: circuits per session
  std::vector<MeshGroup> groups;  // at most one per pair of places
  std::vector<double> loads;      // erlangs of sessions, by loadIndex()
  int maxInvites = 6;             // tandems that are tried for one session

  /// Number of services.
  std::size_t services() const { return widths.size(); }
  /// Index into `loads` of the sessions of `service` from place `from` to place `to`.
  std::size_t loadIndex(int from, int to, std::size_t service) const {
    return (static_cast<std::size_t>(from) * static_cast<std::size_t>(places) + static_cast<std::size_t>(to)) *
               services() +
           service;
  }
};

/// The expected losses of a mesh, as shares of the offered sessions.
struct MeshLoss {
  std::vector<double> lossByLoad;      // by loadIndex(); 0 where nothing is offered
  std::vector<double> serviceLoss;     // by service: mean over all offered sessions
  std::vector<double> directBlocking;  // by group and service: blocking of direct sessions
  std::vector<double> meanUse;         // by group: mean number of circuits in use
  std::vector<double> worstPairLoss;   // by service: loss of the pair that loses most
  int rounds = 0;                      // of the iteration
  bool converged = false;  // if false, the losses are the last round's and still changed by more than 0.0001 in it
};

/// Computes the expected losses. `start`: the result for a similar mesh as the starting point of the iteration; may be
/// null.
MeshLoss meshLoss(const Mesh& mesh, const MeshLoss* start = nullptr);

}  // namespace thistlefold::dimension
