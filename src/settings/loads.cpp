#include "settings/loads.hpp"

#include "settings/form.hpp"

namespace thistlefold::settings {
namespace {

constexpr Keyword kLoads[] = {
    {"load", "(load FROM TO (SERVICE ERLANGS) ...)", "", "traffic offered from one exchange to another; repeatable"},
    {"price", "(price ZONE ZONE PRICE)", "",
     "price of a circuit between two zones, in both directions; 1 if absent; repeatable"},
};
constexpr std::string_view kRepeatable[] = {"load", "price"};

template <typename Named>
std::vector<std::string_view> namesOf(const std::vector<Named>& all) {
  std::vector<std::string_view> names;
  names.reserve(all.size());
  for (const Named& element : all) names.push_back(element.name);
  return names;
}

}  // namespace

Loads openLoads(const std::string& path, const Fleet& fleet) {
  const Document document = Document::open(path);
  const Fields fields(document.onlyForm("loads"), 1, kLoads, kRepeatable);
  Loads loads;
  const std::size_t places = fleet.places.size(), services = fleet.offeredServices.size();
  loads.erlangs.assign(places * places * services, 0.0);
  const auto zones = fleet.zones();
  loads.prices.assign(zones.size(), std::vector<double>(zones.size(), 1.0));
  for (const Form* form : fields.all("load")) {
    if (form->items.size() < 4) form->fail("(load FROM TO (SERVICE ERLANGS) ...) is expected");
    int ends[2];
    for (std::size_t i = 0; i < 2; ++i) {
      ends[i] = fleet.place(asText(form->items[i + 1]));
      if (ends[i] < 0) failUnknownWord(form->items[i + 1], form->items[i + 1].value, namesOf(fleet.places));
    }
    if (ends[0] == ends[1]) form->fail("two different exchanges are expected");
    for (std::size_t i = 3; i < form->items.size(); ++i) {
      const Form& offered = form->items[i];
      if (!offered.isList() || offered.items.size() != 2) offered.fail("(SERVICE ERLANGS) is expected");
      const int service = fleet.service(asText(offered.items[0]));
      if (service < 0) failUnknownWord(offered.items[0], offered.items[0].value, namesOf(fleet.offeredServices));
      double& load =
          loads.erlangs[(static_cast<std::size_t>(ends[0]) * places + static_cast<std::size_t>(ends[1])) * services +
                        static_cast<std::size_t>(service)];
      if (load > 0) offered.fail("this load is given twice");
      load = asNumber(offered.items[1], 0, 1e6);
    }
  }
  for (const Form* form : fields.all("price")) {
    if (form->items.size() != 4) form->fail("(price ZONE ZONE PRICE) is expected");
    std::size_t ends[2];
    for (std::size_t i = 0; i < 2; ++i) {
      const int zone = fleet.zone(asText(form->items[i + 1]));
      if (zone < 0) failUnknownWord(form->items[i + 1], form->items[i + 1].value, {zones.begin(), zones.end()});
      ends[i] = static_cast<std::size_t>(zone);
    }
    loads.prices[ends[0]][ends[1]] = loads.prices[ends[1]][ends[0]] = asNumber(form->items[3], 0.001, 1e9);
  }
  return loads;
}

}  // namespace thistlefold::settings
