#include <boost/json.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>

#include "command/commands.hpp"
#include "dimension/advice.hpp"
#include "settings/files.hpp"
#include "settings/loads.hpp"

namespace thistlefold::command {
namespace {

namespace json = boost::json;

/// Arguments of the command.
struct Options {
  std::string fleet, loads, out;
  std::vector<std::string> losses, without;
  double pair = 3;
  int module = 1;
  bool csv = false, json = false;
};

/// A fleet and the model of its trunk groups, which has the same exchanges, services and groups at the same indices.
struct Plan {
  Fleet fleet;
  dimension::Mesh mesh;
};

/// Reads the fleet and loads files. Throws SettingsError.
Plan open(const Options& options) {
  Plan plan;
  plan.fleet = settings::readFleet(settings::Document::open(options.fleet).onlyForm("fleet"), false);
  const settings::Loads loads = settings::openLoads(options.loads, plan.fleet);
  dimension::Mesh& mesh = plan.mesh;
  mesh.places = static_cast<int>(plan.fleet.places.size());
  mesh.loads = loads.erlangs;
  mesh.maxInvites = plan.fleet.config.maxInvites;
  for (const OfferedService& offer : plan.fleet.offeredServices) mesh.widths.push_back(offer.width);
  const auto zone = [&](int place) {
    return static_cast<std::size_t>(plan.fleet.zone(plan.fleet.places[static_cast<std::size_t>(place)].zone));
  };
  for (const Group& group : plan.fleet.groups) {
    mesh.groups.push_back({group.a, group.b, group.circuits, loads.prices[zone(group.a)][zone(group.b)]});
  }
  return plan;
}

/// Takes an exchange out of service: its groups have no circuits, and nothing is offered to it or by it. Throws
/// std::runtime_error if the fleet has no exchange of this name.
void takeOut(Plan& plan, const std::string& name) {
  const int place = plan.fleet.place(name);
  if (place < 0) throw std::runtime_error("no exchange '" + name + "' in the fleet file");
  for (dimension::MeshGroup& group : plan.mesh.groups) {
    if (group.a == place || group.b == place) group.circuits = 0;
  }
  for (int other = 0; other < plan.mesh.places; ++other) {
    for (std::size_t s = 0; s < plan.mesh.services(); ++s) {
      plan.mesh.loads[plan.mesh.loadIndex(place, other, s)] = plan.mesh.loads[plan.mesh.loadIndex(other, place, s)] = 0;
    }
  }
}

/// The target loss of each service, from arguments of the form SERVICE=SHARE; 0.01 for services without one. Throws
/// std::runtime_error for any other argument.
std::vector<double> targetLosses(const std::vector<std::string>& texts, const Fleet& fleet) {
  std::vector<double> targets(fleet.offeredServices.size(), 0.01);
  for (const std::string& text : texts) {
    const auto separator = text.find('=');
    const int service = separator == std::string::npos ? -1 : fleet.service(text.substr(0, separator));
    if (service < 0) throw std::runtime_error("a SERVICE=SHARE of the fleet file is expected, not '" + text + "'");
    std::size_t parsedLength = 0;
    double share = 0;
    try {
      share = std::stod(text.substr(separator + 1), &parsedLength);
    } catch (const std::exception&) {
    }
    if (share <= 0 || share >= 1 || parsedLength != text.size() - separator - 1) {
      throw std::runtime_error("a share between 0 and 1 is expected in '" + text + "'");
    }
    targets[static_cast<std::size_t>(service)] = share;
  }
  return targets;
}

/// Prints the groups with their sizes, and the loss of each service. `before` (sizes before the advice) and `why`
/// (reasons for the sizes) have one element per group; each may be null.
void print(const Plan& plan, const dimension::MeshLoss& loss, const Options& options, const std::vector<int>* before,
           const std::vector<std::string>* why) {
  const Fleet& fleet = plan.fleet;
  const auto name = [&](int place) { return fleet.places[static_cast<std::size_t>(place)].name; };
  if (options.json) {
    json::array groups, services;
    for (std::size_t g = 0; g < plan.mesh.groups.size(); ++g) {
      const auto& group = plan.mesh.groups[g];
      json::object row{
          {"a", name(group.a)}, {"b", name(group.b)}, {"circuits", group.circuits}, {"in_use", loss.meanUse[g]}};
      if (before != nullptr) row["before"] = (*before)[g];
      if (why != nullptr) row["why"] = (*why)[g];
      groups.push_back(std::move(row));
    }
    for (std::size_t s = 0; s < plan.mesh.services(); ++s) {
      services.push_back(json::object{{"service", fleet.offeredServices[s].name},
                                      {"lost", loss.serviceLoss[s]},
                                      {"worst_pair", loss.worstPairLoss[s]}});
    }
    std::cout << json::serialize(json::object{{"services", services}, {"groups", groups}, {"settled", loss.converged}})
              << '\n';
    return;
  }
  if (options.csv) std::cout << "a,b,before,circuits,in_use,why\n";
  if (!options.csv) {
    std::cout << std::left << std::setw(14) << "group" << std::setw(14) << "" << std::right << std::setw(8)
              << (before != nullptr ? "before" : "") << std::setw(10) << "circuits" << std::setw(9) << "in use" << '\n';
  }
  std::cout << std::fixed;
  for (std::size_t g = 0; g < plan.mesh.groups.size(); ++g) {
    const auto& group = plan.mesh.groups[g];
    const std::string sizeBefore = before != nullptr ? std::to_string((*before)[g]) : "";
    if (options.csv) {
      std::cout << name(group.a) << ',' << name(group.b) << ',' << sizeBefore << ',' << group.circuits << ','
                << std::setprecision(2) << loss.meanUse[g] << ",\"" << (why != nullptr ? (*why)[g] : "") << "\"\n";
    } else {
      std::cout << std::left << std::setw(14) << name(group.a) << std::setw(14) << name(group.b) << std::right
                << std::setw(8) << sizeBefore << std::setw(10) << group.circuits << std::setw(9) << std::setprecision(2)
                << loss.meanUse[g] << (why != nullptr ? "  " + (*why)[g] : "") << '\n';
    }
  }
  if (options.csv) return;
  for (std::size_t s = 0; s < plan.mesh.services(); ++s) {
    std::cout << fleet.offeredServices[s].name << ": lost " << std::setprecision(4) << loss.serviceLoss[s]
              << ", worst pair " << loss.worstPairLoss[s] << '\n';
  }
  if (!loss.converged)
    std::cout << "the iteration did not converge: overflow traffic causes more overflow here, so the losses shown are "
                 "too low\n";
}

}  // namespace

void addDimension(CLI::App& app, int& status) {
  auto* dimension =
      app.add_subcommand("dimension", "Dimension trunk groups: circuits and losses, computed from offered loads");
  dimension->require_subcommand(1);
  const auto common = [](CLI::App* command, const std::shared_ptr<Options>& options) {
    command->add_option("FLEET", options->fleet, "the fleet file; only its groups can be sized, none are added")
        ->required();
    command
        ->add_option("LOADS", options->loads,
                     "the loads file: (loads (load FROM TO (SERVICE ERLANGS) ...) ... (price ZONE ZONE P) ...)")
        ->required();
    auto* csv = command->add_flag("--csv", options->csv, "print the groups as comma-separated values");
    command->add_flag("--json", options->json, "print the result as JSON")->excludes(csv);
  };
  const auto guarded = [&status](const std::string& command, const std::function<void()>& body) {
    try {
      body();
    } catch (const settings::SettingsError& error) {
      std::cerr << error.what() << '\n';
      status = 1;
    } catch (const std::exception& error) {
      std::cerr << "thistlefold dimension " << command << ": " << error.what() << '\n';
      status = 1;
    }
  };

  auto whatIfOptions = std::make_shared<Options>();
  auto* whatIf =
      dimension->add_subcommand("what-if", "Compute the losses of these loads with the fleet's groups as they are");
  common(whatIf, whatIfOptions);
  whatIf->add_option("--without", whatIfOptions->without,
                     "exchanges that are out of service; traffic to and from them is left out");
  whatIf->callback([=] {
    guarded("what-if", [&] {
      Plan plan = open(*whatIfOptions);
      for (const std::string& name : whatIfOptions->without) takeOut(plan, name);
      print(plan, dimension::meshLoss(plan.mesh), *whatIfOptions, nullptr, nullptr);
    });
  });

  auto adviseOptions = std::make_shared<Options>();
  auto* advise = dimension->add_subcommand("advise", "Find the lowest-cost group sizes whose losses meet the targets");
  common(advise, adviseOptions);
  advise->add_option(
      "--loss", adviseOptions->losses,
      "SERVICE=SHARE: target loss, the share of the offered traffic that may be lost; 0.01 if not given; repeatable");
  advise
      ->add_option("--pair", adviseOptions->pair,
                   "no pair of exchanges may lose more than this multiple of the target loss")
      ->check(CLI::Range(1.0, 1000.0))
      ->capture_default_str();
  advise->add_option("--module", adviseOptions->module, "circuits per module; groups consist of whole modules")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  advise->add_option("--out", adviseOptions->out, "write the fleet file with the new sizes to this file");
  advise->footer(
      "Sessions are routed direct while the group has free circuits, else over tandems within the cap on overflow\n"
      "(docs/dimensioning.md). Traffic is assumed to be Poisson. The exit status is 1 if no plan that meets the\n"
      "targets was found.");
  advise->callback([=, &status] {
    guarded("advise", [&] {
      Plan plan = open(*adviseOptions);
      dimension::DimensioningTarget target;
      target.loss = targetLosses(adviseOptions->losses, plan.fleet);
      target.pairFactor = adviseOptions->pair;
      target.moduleSize = adviseOptions->module;
      const dimension::Advice advice = dimension::advise(plan.mesh, target);
      std::vector<int> before;
      double priceBefore = 0;
      for (std::size_t g = 0; g < plan.mesh.groups.size(); ++g) {
        dimension::MeshGroup& group = plan.mesh.groups[g];
        before.push_back(group.circuits);
        priceBefore += group.price * group.circuits;
        group.circuits = plan.fleet.groups[g].circuits = advice.circuits[g];
      }
      print(plan, advice.expected, *adviseOptions, &before, &advice.explanations);
      if (!adviseOptions->csv && !adviseOptions->json) {
        std::cout << "price " << std::setprecision(0) << advice.price << ", before " << priceBefore << "; "
                  << advice.meshesEvaluated << " meshes evaluated\n";
      }
      if (!advice.targetMet) {
        std::cerr << "thistlefold dimension advise: the target is not met: for some pair of exchanges no route "
                     "improves with more circuits\n";
        status = 1;
        return;
      }
      if (adviseOptions->out.empty()) return;
      std::ofstream out(adviseOptions->out, std::ios::binary | std::ios::trunc);
      out << settings::writeFleet(plan.fleet);
      if (!out.flush()) throw std::runtime_error(adviseOptions->out + ": can't be written");
    });
  });
}

}  // namespace thistlefold::command
