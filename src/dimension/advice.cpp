#include "dimension/advice.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <sstream>

#include "dimension/theory.hpp"

namespace thistlefold::dimension {
namespace {

// Working a mesh out takes time as the cube of its places. So many tries that 95 exchanges are planned in seconds, and
// in small fleets every group can be tried singly.
constexpr double kMostWork = 1e7;
constexpr int kMostTries = 400;

int tries(const Mesh& mesh) {
  const double each = std::pow(static_cast<double>(mesh.places), 3) * static_cast<double>(mesh.services());
  return static_cast<int>(std::clamp(kMostWork / each, 24.0, static_cast<double>(kMostTries)));
}

int wholeModules(double circuits, int module) { return static_cast<int>(std::ceil(circuits / module - 1e-9)) * module; }

/// Both directions' loads of a group's pair, as streams.
std::vector<Stream> direct(const Mesh& mesh, const MeshGroup& group) {
  std::vector<Stream> streams;
  for (std::size_t s = 0; s < mesh.services(); ++s) {
    streams.push_back(
        {mesh.loads[mesh.loadIndex(group.a, group.b, s)] + mesh.loads[mesh.loadIndex(group.b, group.a, s)],
         mesh.widths[s], 0});
  }
  return streams;
}

int leastFor(const std::vector<Stream>& streams, const std::vector<double>& loss, const DimensioningTarget& wish) {
  double load = 0;
  for (const Stream& one : streams) load += one.load * one.width;
  if (load <= 0) return 0;
  const auto enough = [&](int circuits) {
    const auto lost = losses(streams, circuits);
    for (std::size_t s = 0; s < streams.size(); ++s) {
      if (streams[s].load > 0 && lost[s] > loss[s]) return false;
    }
    return true;
  };
  int low = 0, high = wish.moduleSize;
  while (high < wish.mostCircuits && !enough(high)) {
    low = high;
    high = std::min(wish.mostCircuits, high * 2);
  }
  while (high - low > wish.moduleSize) {
    const int middle = low + (high - low) / 2 / wish.moduleSize * wish.moduleSize;
    if (middle == low) break;
    (enough(middle) ? high : low) = middle;
  }
  return std::min(wish.mostCircuits, wholeModules(high, wish.moduleSize));
}

double priceOf(const Mesh& mesh) {
  return std::accumulate(mesh.groups.begin(), mesh.groups.end(), 0.0,
                         [](double sum, const MeshGroup& group) { return sum + group.price * group.circuits; });
}

/// By how much what is lost is above what is wished, all told; 0 when it is met.
double above(const Mesh& mesh, const MeshLoss& loss, const DimensioningTarget& wish) {
  double sum = 0;
  for (std::size_t s = 0; s < mesh.services(); ++s) {
    sum += std::max(0.0, loss.serviceLoss[s] - wish.loss[s]) / wish.loss[s];
    sum += std::max(0.0, loss.worstPairLoss[s] - wish.pairFactor * wish.loss[s]) / wish.loss[s];
  }
  return sum;
}

}  // namespace

std::vector<int> sizeGroupsSeparately(const Mesh& mesh, const DimensioningTarget& wish) {
  std::vector<int> circuits;
  for (const MeshGroup& group : mesh.groups) circuits.push_back(leastFor(direct(mesh, group), wish.loss, wish));
  return circuits;
}

Advice advise(const Mesh& given, const DimensioningTarget& wish) {
  Mesh mesh = given;
  Advice advice;
  const int most = tries(mesh);
  const auto workOut = [&](const MeshLoss* start) {
    ++advice.meshesEvaluated;
    return meshLoss(mesh, start);
  };
  // Begin with what each group wants by itself and cut down from there: the tandems carry what overflows, so that most
  // groups can do with less.
  const std::vector<int> alone = sizeGroupsSeparately(mesh, wish);
  for (std::size_t g = 0; g < mesh.groups.size(); ++g) mesh.groups[g].circuits = alone[g];
  MeshLoss loss = workOut(nullptr);
  // Where that is not enough (pairs without a group, whose sessions all go over tandems): to groups on their ways.
  while (above(mesh, loss, wish) > 0 && advice.meshesEvaluated < most / 2) {
    bool grown = false;
    for (int from = 0; from < mesh.places; ++from) {
      for (int to = 0; to < mesh.places; ++to) {
        bool bad = false;
        for (std::size_t s = 0; s < mesh.services() && from != to; ++s) {
          const std::size_t at = mesh.loadIndex(from, to, s);
          bad = bad || (mesh.loads[at] > 0 && loss.loss[at] > std::min(wish.loss[s], 1.0));
        }
        if (!bad) continue;
        // The direct group if there may be one, else both legs of the tandem that costs least.
        std::vector<MeshGroup*> ways;
        double best = 0;
        for (MeshGroup& one : mesh.groups) {
          if ((one.a == from && one.b == to) || (one.a == to && one.b == from)) ways = {&one};
        }
        for (int over = 0; over < mesh.places && ways.size() != 1; ++over) {
          MeshGroup* own = nullptr;
          MeshGroup* far = nullptr;
          for (MeshGroup& one : mesh.groups) {
            if ((one.a == from && one.b == over) || (one.a == over && one.b == from)) own = &one;
            if ((one.a == over && one.b == to) || (one.a == to && one.b == over)) far = &one;
          }
          if (own == nullptr || far == nullptr) continue;
          if (ways.empty() || own->price + far->price < best) {
            best = own->price + far->price;
            ways = {own, far};
          }
        }
        for (MeshGroup* one : ways) {
          // A tenth at a time, so that many pairs that share a leg do not each add a module to it.
          const int more = wholeModules(std::max(1.0, 0.1 * one->circuits), wish.moduleSize);
          if (one->circuits + more > wish.mostCircuits) continue;
          one->circuits += more;
          grown = true;
        }
      }
    }
    if (!grown) break;
    loss = workOut(&loss);
  }
  advice.targetMet = above(mesh, loss, wish) <= 0;
  // Cut down, in steps that halve, from all groups at once and, where that is too much, from each half of them, dearest
  // first.
  if (advice.targetMet) {
    std::vector<std::size_t> order(mesh.groups.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t x, std::size_t y) { return mesh.groups[x].price > mesh.groups[y].price; });
    // A share of each group; at the end a single module.
    for (double share = 0.25; advice.meshesEvaluated < most; share /= 2) {
      const auto stepOf = [&](int circuits) {
        return std::max(1, static_cast<int>(share * circuits) / wish.moduleSize) * wish.moduleSize;
      };
      const bool single = std::all_of(mesh.groups.begin(), mesh.groups.end(),
                                      [&](const MeshGroup& one) { return stepOf(one.circuits) == wish.moduleSize; });
      std::vector<std::vector<std::size_t>> batches{order};
      // Some tries of each step are for halves; the last step has all that are left.
      for (int left = single ? most : 8; !batches.empty() && advice.meshesEvaluated < most && left > 0; --left) {
        const std::vector<std::size_t> batch = std::move(batches.back());
        batches.pop_back();
        std::vector<std::size_t> cut;
        std::vector<int> before;
        for (const std::size_t g : batch) {
          int& circuits = mesh.groups[g].circuits;
          const int step = stepOf(circuits);
          if (circuits < step) continue;
          cut.push_back(g);
          before.push_back(circuits);
          circuits -= step;
        }
        if (cut.empty()) continue;
        const MeshLoss less = workOut(&loss);
        if (above(mesh, less, wish) <= 0 && less.converged) {
          loss = less;
          batches.push_back(cut);
          continue;
        }
        for (std::size_t i = 0; i < cut.size(); ++i) mesh.groups[cut[i]].circuits = before[i];
        if (cut.size() == 1) continue;
        const auto half = static_cast<std::ptrdiff_t>(cut.size() / 2);
        batches.emplace_back(cut.begin() + half, cut.end());
        batches.emplace_back(cut.begin(), cut.begin() + half);
      }
      if (single) break;
    }
  }
  advice.expected = workOut(nullptr);
  advice.targetMet = advice.targetMet && above(mesh, advice.expected, wish) <= 0;
  advice.price = priceOf(mesh);
  for (std::size_t g = 0; g < mesh.groups.size(); ++g) {
    const MeshGroup& group = mesh.groups[g];
    advice.circuits.push_back(group.circuits);
    std::ostringstream why;
    double load = 0;
    for (const Stream& one : direct(mesh, group)) load += one.load * one.width;
    why.precision(3);
    if (group.circuits == 0) {
      why << (load > 0 ? "its " : "nothing is offered to it");
      if (load > 0) why << load << " erlangs go over tandems at less";
    } else {
      why << load << " erlangs direct want " << alone[g] << " by themselves; "
          << std::max(0.0, advice.expected.meanUse[g]) << " are in use, what overflows goes over tandems";
    }
    advice.explanations.push_back(why.str());
  }
  return advice;
}

}  // namespace thistlefold::dimension
