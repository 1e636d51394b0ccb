#pragma once

// Dimensioning: the number of circuits of each trunk group with which a fleet meets its loss targets at the lowest
// price found. Pure functions.

#include <string>
#include <vector>

#include "dimension/mesh.hpp"

namespace thistlefold::dimension {

/// The requirements of a plan.
struct DimensioningTarget {
  std::vector<double> loss;  // by service: highest acceptable share lost of all offered sessions; above 0
  double pairFactor = 3;     // no pair of places loses more than this factor times `loss`
  int moduleSize = 1;        // the circuits of a group are a multiple of this
  int maxCircuits = 10000;   // per group
};

/// A plan: the sizes of all groups and what they achieve.
struct Advice {
  std::vector<int> circuits;              // by group of the mesh
  std::vector<std::string> explanations;  // by group: the reason for its size, in one line
  MeshLoss expected;                      // losses of the planned mesh
  double price = 0;                       // of all circuits
  bool targetMet = false;   // if false, a group has reached `maxCircuits`, or no group can reduce the loss of a pair
  int meshesEvaluated = 0;  // calls of meshLoss()
};

/// Plans the groups of `mesh`. Their present circuits are ignored: a group only says where circuits may be installed.
Advice advise(const Mesh& mesh, const DimensioningTarget& target);

/// The plan without overflow: each group is sized separately for the direct loads of its pair at the target loss.
/// Returns circuits by group.
std::vector<int> sizeGroupsSeparately(const Mesh& mesh, const DimensioningTarget& target);

}  // namespace thistlefold::dimension
