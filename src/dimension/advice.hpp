#pragma once

// How many circuits each group wants so that a fleet loses no more than is wished, at the least price that is found.
// Pure.

#include <string>
#include <vector>

#include "dimension/mesh.hpp"

namespace thistlefold::dimension {

struct DimensioningTarget {
  std::vector<double> loss;  // by service: of all that is offered
  double pairFactor = 3;     // no pair loses more than so many times that
  int moduleSize = 1;        // circuits come in whole modules of so many
  int mostCircuits = 10000;  // of a group
};

struct Advice {
  std::vector<int> circuits;              // by group of the mesh
  std::vector<std::string> explanations;  // by group, one line
  MeshLoss expected;
  double price = 0;
  bool targetMet = false;   // else a group came to the most, or no group can help a pair
  int meshesEvaluated = 0;  // meshes that were worked out
};

/// The plan for `mesh`, whose groups' circuits are taken as no more than where groups may be.
Advice advise(const Mesh& mesh, const DimensioningTarget& wish);

/// The naive plan: each group by itself, for the direct loads of its pair, at the loss wished.
std::vector<int> sizeGroupsSeparately(const Mesh& mesh, const DimensioningTarget& wish);

}  // namespace thistlefold::dimension
