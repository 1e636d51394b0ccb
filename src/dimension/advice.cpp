#include "dimension/advice.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <sstream>

#include "dimension/theory.hpp"

namespace thistlefold::dimension {
namespace {

// Evaluating a mesh takes time proportional to the cube of the number of its places. These limits allow 95 exchanges to
// be planned in seconds, and every group of a small fleet to be tried separately.
constexpr double kMaxWork = 1e7;
constexpr int kMaxEvaluations = 400;

int maxEvaluations(const Mesh& mesh) {
  const double workPerEvaluation = std::pow(static_cast<double>(mesh.places), 3) * static_cast<double>(mesh.services());
  return static_cast<int>(std::clamp(kMaxWork / workPerEvaluation, 24.0, static_cast<double>(kMaxEvaluations)));
}

int roundUpToModules(double circuits, int module) {
  return static_cast<int>(std::ceil(circuits / module - 1e-9)) * module;
}

/// The loads of both directions between the two places of a group, as streams.
std::vector<PoissonStream> directStreams(const Mesh& mesh, const MeshGroup& group) {
  std::vector<PoissonStream> streams;
  for (std::size_t s = 0; s < mesh.services(); ++s) {
    streams.push_back(
        {mesh.loads[mesh.loadIndex(group.a, group.b, s)] + mesh.loads[mesh.loadIndex(group.b, group.a, s)],
         mesh.widths[s], 0});
  }
  return streams;
}

int smallestSize(const std::vector<PoissonStream>& streams, const std::vector<double>& loss,
                 const DimensioningTarget& target) {
  double load = 0;
  for (const PoissonStream& one : streams) load += one.load * one.width;
  if (load <= 0) return 0;
  const auto isEnough = [&](int circuits) {
    const auto lost = streamLosses(streams, circuits);
    for (std::size_t s = 0; s < streams.size(); ++s) {
      if (streams[s].load > 0 && lost[s] > loss[s]) return false;
    }
    return true;
  };
  int low = 0, high = target.moduleSize;
  while (high < target.maxCircuits && !isEnough(high)) {
    low = high;
    high = std::min(target.maxCircuits, high * 2);
  }
  while (high - low > target.moduleSize) {
    const int middle = low + (high - low) / 2 / target.moduleSize * target.moduleSize;
    if (middle == low) break;
    (isEnough(middle) ? high : low) = middle;
  }
  return std::min(target.maxCircuits, roundUpToModules(high, target.moduleSize));
}

double totalPrice(const Mesh& mesh) {
  return std::accumulate(mesh.groups.begin(), mesh.groups.end(), 0.0,
                         [](double sum, const MeshGroup& group) { return sum + group.price * group.circuits; });
}

/// The sum over all services of the relative excess of the losses over their targets; 0 if all targets are met.
double excessLoss(const Mesh& mesh, const MeshLoss& loss, const DimensioningTarget& target) {
  double sum = 0;
  for (std::size_t s = 0; s < mesh.services(); ++s) {
    sum += std::max(0.0, loss.serviceLoss[s] - target.loss[s]) / target.loss[s];
    sum += std::max(0.0, loss.worstPairLoss[s] - target.pairFactor * target.loss[s]) / target.loss[s];
  }
  return sum;
}

}  // namespace

std::vector<int> sizeGroupsSeparately(const Mesh& mesh, const DimensioningTarget& target) {
  std::vector<int> circuits;
  for (const MeshGroup& group : mesh.groups)
    circuits.push_back(smallestSize(directStreams(mesh, group), target.loss, target));
  return circuits;
}

Advice advise(const Mesh& given, const DimensioningTarget& target) {
  Mesh mesh = given;
  Advice advice;
  const int maxEvaluated = maxEvaluations(mesh);
  const auto evaluate = [&](const MeshLoss* start) {
    ++advice.meshesEvaluated;
    return meshLoss(mesh, start);
  };
  // Starts from the sizes of separate groups and reduces them: tandems carry the overflow, so that most groups need
  // fewer circuits.
  const std::vector<int> separateSizes = sizeGroupsSeparately(mesh, target);
  for (std::size_t g = 0; g < mesh.groups.size(); ++g) mesh.groups[g].circuits = separateSizes[g];
  MeshLoss loss = evaluate(nullptr);
  // Where that is not enough, which is the case for pairs without a group whose sessions all go over tandems, the
  // groups on the routes of these pairs are enlarged.
  while (excessLoss(mesh, loss, target) > 0 && advice.meshesEvaluated < maxEvaluated / 2) {
    bool anyGrown = false;
    for (int from = 0; from < mesh.places; ++from) {
      for (int to = 0; to < mesh.places; ++to) {
        bool missesTarget = false;
        for (std::size_t s = 0; s < mesh.services() && from != to; ++s) {
          const std::size_t index = mesh.loadIndex(from, to, s);
          missesTarget =
              missesTarget || (mesh.loads[index] > 0 && loss.lossByLoad[index] > std::min(target.loss[s], 1.0));
        }
        if (!missesTarget) continue;
        // Enlarges the direct group if there is one, otherwise both legs over the tandem with the lowest price.
        std::vector<MeshGroup*> route;
        double best = 0;
        for (MeshGroup& one : mesh.groups) {
          if ((one.a == from && one.b == to) || (one.a == to && one.b == from)) route = {&one};
        }
        for (int tandem = 0; tandem < mesh.places && route.size() != 1; ++tandem) {
          MeshGroup* firstLeg = nullptr;
          MeshGroup* secondLeg = nullptr;
          for (MeshGroup& one : mesh.groups) {
            if ((one.a == from && one.b == tandem) || (one.a == tandem && one.b == from)) firstLeg = &one;
            if ((one.a == tandem && one.b == to) || (one.a == to && one.b == tandem)) secondLeg = &one;
          }
          if (firstLeg == nullptr || secondLeg == nullptr) continue;
          if (route.empty() || firstLeg->price + secondLeg->price < best) {
            best = firstLeg->price + secondLeg->price;
            route = {firstLeg, secondLeg};
          }
        }
        for (MeshGroup* one : route) {
          // The group grows by a tenth at a time, so that many pairs that share a leg do not each add a module to it.
          const int extra = roundUpToModules(std::max(1.0, 0.1 * one->circuits), target.moduleSize);
          if (one->circuits + extra > target.maxCircuits) continue;
          one->circuits += extra;
          anyGrown = true;
        }
      }
    }
    if (!anyGrown) break;
    loss = evaluate(&loss);
  }
  advice.targetMet = excessLoss(mesh, loss, target) <= 0;
  // Reduces all groups at once in steps that are halved from round to round. Where a step is too large, it is tried on
  // each half of the groups, the most expensive ones first.
  if (advice.targetMet) {
    std::vector<std::size_t> order(mesh.groups.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t x, std::size_t y) { return mesh.groups[x].price > mesh.groups[y].price; });
    // The step is a share of each group's circuits, in the last round a single module.
    for (double share = 0.25; advice.meshesEvaluated < maxEvaluated; share /= 2) {
      const auto stepOf = [&](int circuits) {
        return std::max(1, static_cast<int>(share * circuits) / target.moduleSize) * target.moduleSize;
      };
      const bool isSingleModule = std::all_of(mesh.groups.begin(), mesh.groups.end(), [&](const MeshGroup& one) {
        return stepOf(one.circuits) == target.moduleSize;
      });
      std::vector<std::vector<std::size_t>> batches{order};
      // Each round has 8 evaluations; the last round may use all that are left.
      for (int left = isSingleModule ? maxEvaluated : 8;
           !batches.empty() && advice.meshesEvaluated < maxEvaluated && left > 0; --left) {
        const std::vector<std::size_t> batch = std::move(batches.back());
        batches.pop_back();
        std::vector<std::size_t> reduced;
        std::vector<int> sizesBefore;
        for (const std::size_t g : batch) {
          int& circuits = mesh.groups[g].circuits;
          const int step = stepOf(circuits);
          if (circuits < step) continue;
          reduced.push_back(g);
          sizesBefore.push_back(circuits);
          circuits -= step;
        }
        if (reduced.empty()) continue;
        const MeshLoss reducedLoss = evaluate(&loss);
        if (excessLoss(mesh, reducedLoss, target) <= 0 && reducedLoss.converged) {
          loss = reducedLoss;
          batches.push_back(reduced);
          continue;
        }
        for (std::size_t i = 0; i < reduced.size(); ++i) mesh.groups[reduced[i]].circuits = sizesBefore[i];
        if (reduced.size() == 1) continue;
        const auto half = static_cast<std::ptrdiff_t>(reduced.size() / 2);
        batches.emplace_back(reduced.begin() + half, reduced.end());
        batches.emplace_back(reduced.begin(), reduced.begin() + half);
      }
      if (isSingleModule) break;
    }
  }
  advice.expected = evaluate(nullptr);
  advice.targetMet = advice.targetMet && excessLoss(mesh, advice.expected, target) <= 0;
  advice.price = totalPrice(mesh);
  for (std::size_t g = 0; g < mesh.groups.size(); ++g) {
    const MeshGroup& group = mesh.groups[g];
    advice.circuits.push_back(group.circuits);
    std::ostringstream explanation;
    double load = 0;
    for (const PoissonStream& one : directStreams(mesh, group)) load += one.load * one.width;
    explanation.precision(3);
    if (group.circuits == 0) {
      explanation << (load > 0 ? "its " : "nothing is offered to it");
      if (load > 0) explanation << load << " erlangs go over tandems at a lower price";
    } else {
      explanation << load << " erlangs of direct load need " << separateSizes[g] << " circuits without overflow; "
                  << std::max(0.0, advice.expected.meanUse[g]) << " are in use, overflow goes over tandems";
    }
    advice.explanations.push_back(explanation.str());
  }
  return advice;
}

}  // namespace thistlefold::dimension
