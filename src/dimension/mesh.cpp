#include "dimension/mesh.hpp"

#include <algorithm>
#include <cmath>

#include "dimension/theory.hpp"

namespace thistlefold::dimension {
namespace {

// Half of each round's answer is kept, and more the longer it takes: groups that overflow into each other would else
// swing, those of an overloaded mesh for good.
constexpr int kMostRounds = 300;
double keep(int round) { return round < 30 ? 0.5 : round < 100 ? 0.8 : 0.95; }
constexpr double kSettled = 1e-4;

class FixedPoint {
 public:
  explicit FixedPoint(const Mesh& mesh)
      : mesh_(mesh), services_(mesh.services()), groupOf_(static_cast<std::size_t>(mesh.places * mesh.places), -1) {
    for (std::size_t g = 0; g < mesh.groups.size(); ++g) {
      const MeshGroup& group = mesh.groups[g];
      if (group.circuits <= 0) continue;
      groupOf_[index(group.a, group.b)] = groupOf_[index(group.b, group.a)] = static_cast<int>(g);
    }
    direct_.assign(mesh.groups.size() * services_, 0.0);
    tandem_.assign(mesh.groups.size() * services_, 0.0);
  }

  MeshLoss run(const MeshLoss* start) {
    MeshLoss out;
    if (start != nullptr && start->direct.size() == direct_.size()) direct_ = tandem_ = start->direct;
    std::vector<double> before;
    for (out.rounds = 1; out.rounds <= kMostRounds; ++out.rounds) {
      spread();
      block(keep(out.rounds));
      double moved = before.empty() ? 1 : 0;
      for (std::size_t i = 0; i < before.size(); ++i) moved = std::max(moved, std::abs(loss_[i] - before[i]));
      before = loss_;
      if (moved < kSettled) {
        out.converged = true;
        break;
      }
    }
    tell(out);
    return out;
  }

 private:
  static double weight(double free) {
    const double square = free * free;
    return square * square * square * square;
  }
  std::size_t index(int a, int b) const { return static_cast<std::size_t>(a * mesh_.places + b); }
  int group(int a, int b) const { return groupOf_[index(a, b)]; }

  /// Where all loads go, under the blocking of the last round.
  void spread() {
    first_.assign(mesh_.groups.size() * services_, 0.0);
    second_.assign(mesh_.groups.size() * services_, 0.0);
    loss_.assign(mesh_.loads.size(), 0.0);
    struct Tandem {
      int own, far;
      double free;  // chance that both legs have room
    };
    std::vector<Tandem> tandems;
    for (int from = 0; from < mesh_.places; ++from) {
      for (int to = 0; to < mesh_.places; ++to) {
        if (from == to) continue;
        const int straight = group(from, to);
        for (std::size_t s = 0; s < services_; ++s) {
          const std::size_t at = mesh_.loadIndex(from, to, s);
          const double load = mesh_.loads[at];
          if (load <= 0) continue;
          double left = 1;
          if (straight >= 0) {
            first_[slot(straight, s)] += load;
            left = direct_[slot(straight, s)];
          }
          if (left > 1e-9) {
            tandems.clear();
            for (int over = 0; over < mesh_.places; ++over) {
              const int own = group(from, over), far = group(over, to);
              if (over == from || over == to || own < 0 || far < 0) continue;
              tandems.push_back({own, far, (1 - tandem_[slot(own, s)]) * (1 - tandem_[slot(far, s)])});
            }
            // The cheapest first: the one with the most room. One whose own leg is full costs no INVITE.
            const auto tries = std::min(tandems.size(), static_cast<std::size_t>(mesh_.maxInvites));
            std::partial_sort(tandems.begin(), tandems.begin() + static_cast<std::ptrdiff_t>(tries), tandems.end(),
                              [](const Tandem& x, const Tandem& y) { return x.free > y.free; });
            double rest = left;
            for (std::size_t k = 0; k < tries; ++k) rest *= 1 - tandems[k].free;
            const double carried = left - rest;
            // Whose price is lowest changes with each session, so those that are about as good carry about as much, and
            // fuller ones soon far less. Smooth, or the rounds would swing.
            double weights = 0;
            for (const Tandem& one : tandems) weights += weight(one.free);
            for (const Tandem& one : tandems) {
              if (weights <= 0) break;
              const double here = load * carried * weight(one.free) / weights;
              second_[slot(one.own, s)] += here;
              second_[slot(one.far, s)] += here;
            }
            left -= carried;
          }
          loss_[at] = std::max(0.0, left);
        }
      }
    }
  }

  /// How often each group has no room, for those that come direct and for those that stay under the cap.
  void block(double keep) {
    std::vector<Stream> streams;
    for (std::size_t g = 0; g < mesh_.groups.size(); ++g) {
      const int circuits = mesh_.groups[g].circuits;
      if (circuits <= 0) continue;
      const int kept = circuits - static_cast<int>(std::floor(kTandemCap * circuits + 1e-9));
      streams.clear();
      for (std::size_t s = 0; s < services_; ++s) {
        const std::size_t at = g * services_ + s;
        streams.push_back({first_[at], mesh_.widths[s], 0});
        // What is carried over it was offered to it so many times more.
        streams.push_back({second_[at] / std::max(0.02, 1 - tandem_[at]), mesh_.widths[s], kept});
      }
      const std::vector<double> lost = losses(streams, circuits);
      for (std::size_t s = 0; s < services_; ++s) {
        const std::size_t at = g * services_ + s;
        direct_[at] = keep * direct_[at] + (1 - keep) * lost[2 * s];
        tandem_[at] = keep * tandem_[at] + (1 - keep) * lost[2 * s + 1];
      }
    }
  }

  void tell(MeshLoss& out) const {
    out.loss = loss_;
    out.direct = direct_;
    out.serviceLoss.assign(services_, 0.0);
    out.worstPairLoss.assign(services_, 0.0);
    std::vector<double> offered(services_, 0.0);
    for (std::size_t i = 0; i < loss_.size(); ++i) {
      const std::size_t s = i % services_;
      offered[s] += mesh_.loads[i];
      out.serviceLoss[s] += mesh_.loads[i] * loss_[i];
      if (mesh_.loads[i] > 0) out.worstPairLoss[s] = std::max(out.worstPairLoss[s], loss_[i]);
    }
    for (std::size_t s = 0; s < services_; ++s)
      out.serviceLoss[s] = offered[s] > 0 ? out.serviceLoss[s] / offered[s] : 0;
    out.meanUse.assign(mesh_.groups.size(), 0.0);
    for (std::size_t g = 0; g < mesh_.groups.size(); ++g) {
      for (std::size_t s = 0; s < services_; ++s) {
        const std::size_t at = g * services_ + s;
        out.meanUse[g] += mesh_.widths[s] * (first_[at] * (1 - direct_[at]) + second_[at]);
      }
    }
  }

  std::size_t slot(int group, std::size_t service) const {
    return static_cast<std::size_t>(group) * services_ + service;
  }

  const Mesh& mesh_;
  std::size_t services_;
  std::vector<int> groupOf_;
  std::vector<double> direct_, tandem_;  // blocking, by group and service
  std::vector<double> first_, second_;   // offered direct; carried as a leg
  std::vector<double> loss_;
};

}  // namespace

MeshLoss meshLoss(const Mesh& mesh, const MeshLoss* start) { return FixedPoint(mesh).run(start); }

}  // namespace thistlefold::dimension
