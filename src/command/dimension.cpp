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

struct Wanted {
  std::string fleet, loads, out;
  std::vector<std::string> losses, without;
  double pair = 3;
  int module = 1;
  bool csv = false, json = false;
};

struct Plan {
  Fleet fleet;
  dimension::Mesh mesh;
};

Plan open(const Wanted& wanted) {
  Plan plan;
  plan.fleet = settings::readFleet(settings::Document::open(wanted.fleet).onlyForm("fleet"), false);
  const settings::Loads loads = settings::openLoads(wanted.loads, plan.fleet);
  dimension::Mesh& mesh = plan.mesh;
  mesh.places = static_cast<int>(plan.fleet.places.size());
  mesh.loads = loads.erlangs;
  mesh.mostInvites = plan.fleet.data.maxInvites;
  for (const OfferedService& offer : plan.fleet.offeredServices) mesh.widths.push_back(offer.width);
  const auto zone = [&](int place) {
    return static_cast<std::size_t>(plan.fleet.zone(plan.fleet.places[static_cast<std::size_t>(place)].zone));
  };
  for (const Group& group : plan.fleet.groups) {
    mesh.groups.push_back({group.a, group.b, group.circuits, loads.prices[zone(group.a)][zone(group.b)]});
  }
  return plan;
}

/// One exchange out: nothing is offered to it or by it, and no group leads there.
void without(Plan& plan, const std::string& name) {
  const int place = plan.fleet.place(name);
  if (place < 0) throw std::runtime_error("no exchange '" + name + "' in the fleet file");
  for (dimension::MeshGroup& group : plan.mesh.groups) {
    if (group.a == place || group.b == place) group.circuits = 0;
  }
  for (int other = 0; other < plan.mesh.places; ++other) {
    for (std::size_t s = 0; s < plan.mesh.services(); ++s) {
      plan.mesh.loads[plan.mesh.at(place, other, s)] = plan.mesh.loads[plan.mesh.at(other, place, s)] = 0;
    }
  }
}

/// Service and share, of SERVICE=SHARE.
std::vector<double> lossesWished(const std::vector<std::string>& texts, const Fleet& fleet) {
  std::vector<double> wished(fleet.offeredServices.size(), 0.01);
  for (const std::string& text : texts) {
    const auto gap = text.find('=');
    const int service = gap == std::string::npos ? -1 : fleet.service(text.substr(0, gap));
    if (service < 0) throw std::runtime_error("a SERVICE=SHARE of the fleet file is expected, not '" + text + "'");
    std::size_t used = 0;
    double share = 0;
    try {
      share = std::stod(text.substr(gap + 1), &used);
    } catch (const std::exception&) {
    }
    if (share <= 0 || share >= 1 || used != text.size() - gap - 1) {
      throw std::runtime_error("a share between 0 and 1 is expected in '" + text + "'");
    }
    wished[static_cast<std::size_t>(service)] = share;
  }
  return wished;
}

/// Groups with their sizes, and what each service loses. `before` and `why` may be null.
void tell(const Plan& plan, const dimension::MeshLoss& loss, const Wanted& wanted, const std::vector<int>* before,
          const std::vector<std::string>* why) {
  const Fleet& fleet = plan.fleet;
  const auto name = [&](int place) { return fleet.places[static_cast<std::size_t>(place)].name; };
  if (wanted.json) {
    json::array groups, services;
    for (std::size_t g = 0; g < plan.mesh.groups.size(); ++g) {
      const auto& group = plan.mesh.groups[g];
      json::object one{
          {"a", name(group.a)}, {"b", name(group.b)}, {"circuits", group.circuits}, {"in_use", loss.use[g]}};
      if (before != nullptr) one["before"] = (*before)[g];
      if (why != nullptr) one["why"] = (*why)[g];
      groups.push_back(std::move(one));
    }
    for (std::size_t s = 0; s < plan.mesh.services(); ++s) {
      services.push_back(json::object{
          {"service", fleet.offeredServices[s].name}, {"lost", loss.service[s]}, {"worst_pair", loss.worst[s]}});
    }
    std::cout << json::serialize(json::object{{"services", services}, {"groups", groups}, {"settled", loss.settled}})
              << '\n';
    return;
  }
  if (wanted.csv) std::cout << "a,b,before,circuits,in_use,why\n";
  if (!wanted.csv) {
    std::cout << std::left << std::setw(14) << "group" << std::setw(14) << "" << std::right << std::setw(8)
              << (before != nullptr ? "before" : "") << std::setw(10) << "circuits" << std::setw(9) << "in use" << '\n';
  }
  std::cout << std::fixed;
  for (std::size_t g = 0; g < plan.mesh.groups.size(); ++g) {
    const auto& group = plan.mesh.groups[g];
    const std::string old = before != nullptr ? std::to_string((*before)[g]) : "";
    if (wanted.csv) {
      std::cout << name(group.a) << ',' << name(group.b) << ',' << old << ',' << group.circuits << ','
                << std::setprecision(2) << loss.use[g] << ",\"" << (why != nullptr ? (*why)[g] : "") << "\"\n";
    } else {
      std::cout << std::left << std::setw(14) << name(group.a) << std::setw(14) << name(group.b) << std::right
                << std::setw(8) << old << std::setw(10) << group.circuits << std::setw(9) << std::setprecision(2)
                << loss.use[g] << (why != nullptr ? "  " + (*why)[g] : "") << '\n';
    }
  }
  if (wanted.csv) return;
  for (std::size_t s = 0; s < plan.mesh.services(); ++s) {
    std::cout << fleet.offeredServices[s].name << ": lost " << std::setprecision(4) << loss.service[s]
              << ", worst pair " << loss.worst[s] << '\n';
  }
  if (!loss.settled)
    std::cout << "the rounds did not settle: overflow feeds on itself here, take the losses for too low\n";
}

}  // namespace

void addDimension(CLI::App& app, int& status) {
  auto* dimension =
      app.add_subcommand("dimension", "How many circuits trunk groups want, worked out from offered loads");
  dimension->require_subcommand(1);
  const auto common = [](CLI::App* command, const std::shared_ptr<Wanted>& wanted) {
    command->add_option("FLEET", wanted->fleet, "the fleet file; groups may only be where it has some")->required();
    command
        ->add_option("LOADS", wanted->loads,
                     "the loads file: (loads (load FROM TO (SERVICE ERLANGS) ...) ... (price ZONE ZONE P) ...)")
        ->required();
    auto* csv = command->add_flag("--csv", wanted->csv, "the groups as comma-separated lines");
    command->add_flag("--json", wanted->json, "as JSON")->excludes(csv);
  };
  const auto guarded = [&status](const std::string& command, const std::function<void()>& what) {
    try {
      what();
    } catch (const settings::SettingsError& wrong) {
      std::cerr << wrong.what() << '\n';
      status = 1;
    } catch (const std::exception& wrong) {
      std::cerr << "thistlefold dimension " << command << ": " << wrong.what() << '\n';
      status = 1;
    }
  };

  auto wanted = std::make_shared<Wanted>();
  auto* whatIf = dimension->add_subcommand("what-if", "What these loads lose on the fleet's groups as they are");
  common(whatIf, wanted);
  whatIf->add_option("--without", wanted->without, "exchanges that are out, with all that is offered to them");
  whatIf->callback([=] {
    guarded("what-if", [&] {
      Plan plan = open(*wanted);
      for (const std::string& name : wanted->without) without(plan, name);
      tell(plan, dimension::meshLoss(plan.mesh), *wanted, nullptr, nullptr);
    });
  });

  auto of = std::make_shared<Wanted>();
  auto* advise = dimension->add_subcommand("advise", "The cheapest sizes found that lose no more than is wished");
  common(advise, of);
  advise->add_option("--loss", of->losses,
                     "SERVICE=SHARE lost at most of all that is offered; 0.01 where not said; several");
  advise->add_option("--pair", of->pair, "no pair of exchanges loses more than so many times that")
      ->check(CLI::Range(1.0, 1000.0))
      ->capture_default_str();
  advise->add_option("--module", of->module, "circuits come in whole modules of so many")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  advise->add_option("--out", of->out, "writes the fleet file with these sizes there");
  advise->footer(
      "Sessions go direct while the group has room, else over tandems under the cap (docs/dimensioning.md). Loads are "
      "taken\n"
      "for Poisson. Status 1 if no plan was found that meets what is wished.");
  advise->callback([=, &status] {
    guarded("advise", [&] {
      Plan plan = open(*of);
      dimension::Wish wish;
      wish.loss = lossesWished(of->losses, plan.fleet);
      wish.pair = of->pair;
      wish.module = of->module;
      const dimension::Advice advice = dimension::advise(plan.mesh, wish);
      std::vector<int> before;
      double priceBefore = 0;
      for (std::size_t g = 0; g < plan.mesh.groups.size(); ++g) {
        dimension::MeshGroup& group = plan.mesh.groups[g];
        before.push_back(group.circuits);
        priceBefore += group.price * group.circuits;
        group.circuits = plan.fleet.groups[g].circuits = advice.circuits[g];
      }
      tell(plan, advice.expected, *of, &before, &advice.why);
      if (!of->csv && !of->json) {
        std::cout << "price " << std::setprecision(0) << advice.price << ", before " << priceBefore << "; "
                  << advice.tried << " meshes worked out\n";
      }
      if (!advice.met) {
        std::cerr << "thistlefold dimension advise: what is wished is not met: some pair has no way that more circuits "
                     "would help\n";
        status = 1;
        return;
      }
      if (of->out.empty()) return;
      std::ofstream out(of->out, std::ios::binary | std::ios::trunc);
      out << settings::writeFleet(plan.fleet);
      if (!out.flush()) throw std::runtime_error(of->out + ": can't be written");
    });
  });
}

}  // namespace thistlefold::command
