#include "dimension/mesh.hpp"

#include <algorithm>
#include <cmath>

#include "dimension/theory.hpp"

namespace thistlefold::dimension {
namespace {

// Damping: each round keeps this share of the previous blocking, more the longer the iteration takes. Otherwise groups
// that overflow into each other would oscillate, and in an overloaded mesh would never converge.
constexpr int kMaxRounds = 300;
double dampingOf(int round) { return round < 30 ? 0.5 : round < 100 ? 0.8 : 0.95; }
constexpr double kConvergenceLimit = 1e-4;

/// The iteration towards the fixed point for one mesh.
class FixedPoint {
 public:
  explicit FixedPoint(const Mesh& mesh)
      : mesh_(mesh), services_(mesh.services()), groupOf_(static_cast<std::size_t>(mesh.places * mesh.places), -1) {
    for (std::size_t g = 0; g < mesh.groups.size(); ++g) {
      const MeshGroup& group = mesh.groups[g];
      if (group.circuits <= 0) continue;
      groupOf_[pairIndex(group.a, group.b)] = groupOf_[pairIndex(group.b, group.a)] = static_cast<int>(g);
    }
    directBlocking_.assign(mesh.groups.size() * services_, 0.0);
    tandemBlocking_.assign(mesh.groups.size() * services_, 0.0);
  }

  MeshLoss run(const MeshLoss* start) {
    MeshLoss result;
    if (start != nullptr && start->directBlocking.size() == directBlocking_.size())
      directBlocking_ = tandemBlocking_ = start->directBlocking;
    std::vector<double> before;
    for (result.rounds = 1; result.rounds <= kMaxRounds; ++result.rounds) {
      distributeLoads();
      updateBlocking(dampingOf(result.rounds));
      double change = before.empty() ? 1 : 0;
      for (std::size_t i = 0; i < before.size(); ++i) change = std::max(change, std::abs(loss_[i] - before[i]));
      before = loss_;
      if (change < kConvergenceLimit) {
        result.converged = true;
        break;
      }
    }
    fillResult(result);
    return result;
  }

 private:
  static double tandemWeight(double free) {
    const double square = free * free;
    return square * square * square * square;
  }
  std::size_t pairIndex(int a, int b) const {
    return static_cast<std::size_t>(a) * static_cast<std::size_t>(mesh_.places) + static_cast<std::size_t>(b);
  }
  int group(int a, int b) const { return groupOf_[pairIndex(a, b)]; }

  /// Distributes all loads over the groups, given the blocking of the last round.
  void distributeLoads() {
    directOffered_.assign(mesh_.groups.size() * services_, 0.0);
    legCarried_.assign(mesh_.groups.size() * services_, 0.0);
    loss_.assign(mesh_.loads.size(), 0.0);
    struct Tandem {
      int firstLeg, secondLeg;
      double free;  // probability that both legs have free circuits
    };
    std::vector<Tandem> tandems;
    for (int from = 0; from < mesh_.places; ++from) {
      for (int to = 0; to < mesh_.places; ++to) {
        if (from == to) continue;
        const int directGroup = group(from, to);
        for (std::size_t s = 0; s < services_; ++s) {
          const std::size_t index = mesh_.loadIndex(from, to, s);
          const double load = mesh_.loads[index];
          if (load <= 0) continue;
          double overflowShare = 1;
          if (directGroup >= 0) {
            directOffered_[slot(directGroup, s)] += load;
            overflowShare = directBlocking_[slot(directGroup, s)];
          }
          if (overflowShare > 1e-9) {
            tandems.clear();
            for (int tandem = 0; tandem < mesh_.places; ++tandem) {
              const int firstLeg = group(from, tandem), secondLeg = group(tandem, to);
              if (tandem == from || tandem == to || firstLeg < 0 || secondLeg < 0) continue;
              tandems.push_back({firstLeg, secondLeg,
                                 (1 - tandemBlocking_[slot(firstLeg, s)]) * (1 - tandemBlocking_[slot(secondLeg, s)])});
            }
            // The tandem with the lowest price, which is the one with the most free circuits, is tried first. A tandem
            // whose first leg is full costs no INVITE.
            const auto tries = std::min(tandems.size(), static_cast<std::size_t>(mesh_.maxInvites));
            std::partial_sort(tandems.begin(), tandems.begin() + static_cast<std::ptrdiff_t>(tries), tandems.end(),
                              [](const Tandem& x, const Tandem& y) { return x.free > y.free; });
            double lost = overflowShare;
            for (std::size_t k = 0; k < tries; ++k) lost *= 1 - tandems[k].free;
            const double carried = overflowShare - lost;
            // The lowest price changes with each session, so that tandems with similar occupancy carry similar loads
            // and fuller ones carry far less. The weights are a smooth function, as otherwise the iteration would
            // oscillate.
            double weights = 0;
            for (const Tandem& one : tandems) weights += tandemWeight(one.free);
            for (const Tandem& one : tandems) {
              if (weights <= 0) break;
              const double carriedHere = load * carried * tandemWeight(one.free) / weights;
              legCarried_[slot(one.firstLeg, s)] += carriedHere;
              legCarried_[slot(one.secondLeg, s)] += carriedHere;
            }
            overflowShare -= carried;
          }
          loss_[index] = std::max(0.0, overflowShare);
        }
      }
    }
  }

  /// Computes the blocking of each group for direct sessions and for two-leg sessions, which stay below the cap.
  void updateBlocking(double damping) {
    std::vector<PoissonStream> streams;
    for (std::size_t g = 0; g < mesh_.groups.size(); ++g) {
      const int circuits = mesh_.groups[g].circuits;
      if (circuits <= 0) continue;
      const int reserved = circuits - static_cast<int>(std::floor(kTandemCap * circuits + 1e-9));
      streams.clear();
      for (std::size_t s = 0; s < services_; ++s) {
        const std::size_t index = g * services_ + s;
        streams.push_back({directOffered_[index], mesh_.widths[s], 0});
        // The load carried over a group corresponds to an offered load that is larger by its blocking.
        streams.push_back({legCarried_[index] / std::max(0.02, 1 - tandemBlocking_[index]), mesh_.widths[s], reserved});
      }
      const std::vector<double> lost = streamLosses(streams, circuits);
      for (std::size_t s = 0; s < services_; ++s) {
        const std::size_t index = g * services_ + s;
        directBlocking_[index] = damping * directBlocking_[index] + (1 - damping) * lost[2 * s];
        tandemBlocking_[index] = damping * tandemBlocking_[index] + (1 - damping) * lost[2 * s + 1];
      }
    }
  }

  void fillResult(MeshLoss& result) const {
    result.lossByLoad = loss_;
    result.directBlocking = directBlocking_;
    result.serviceLoss.assign(services_, 0.0);
    result.worstPairLoss.assign(services_, 0.0);
    std::vector<double> offered(services_, 0.0);
    for (std::size_t i = 0; i < loss_.size(); ++i) {
      const std::size_t s = i % services_;
      offered[s] += mesh_.loads[i];
      result.serviceLoss[s] += mesh_.loads[i] * loss_[i];
      if (mesh_.loads[i] > 0) result.worstPairLoss[s] = std::max(result.worstPairLoss[s], loss_[i]);
    }
    for (std::size_t s = 0; s < services_; ++s)
      result.serviceLoss[s] = offered[s] > 0 ? result.serviceLoss[s] / offered[s] : 0;
    result.meanUse.assign(mesh_.groups.size(), 0.0);
    for (std::size_t g = 0; g < mesh_.groups.size(); ++g) {
      for (std::size_t s = 0; s < services_; ++s) {
        const std::size_t index = g * services_ + s;
        result.meanUse[g] +=
            mesh_.widths[s] * (directOffered_[index] * (1 - directBlocking_[index]) + legCarried_[index]);
      }
    }
  }

  std::size_t slot(int group, std::size_t service) const {
    return static_cast<std::size_t>(group) * services_ + service;
  }

  const Mesh& mesh_;
  std::size_t services_;
  std::vector<int> groupOf_;
  // By group and service: the blocking of direct and of two-leg sessions.
  std::vector<double> directBlocking_, tandemBlocking_;
  // By group and service: the load offered directly, and the load carried as legs of two-leg sessions.
  std::vector<double> directOffered_, legCarried_;
  std::vector<double> loss_;
};

}  // namespace

MeshLoss meshLoss(const Mesh& mesh, const MeshLoss* start) { return FixedPoint(mesh).run(start); }

}  // namespace thistlefold::dimension
