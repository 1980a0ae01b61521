#include <algorithm>
#include <iterator>

#include "burn_p.h"
#include "laurelhall/budget/budget.h"
#include "laurelhall/planning/buffer.h"
#include "laurelhall/planning/controller.h"
#include "laurelhall/report/burn_report.h"
#include "operations_p.h"

namespace laurelhall::operations {
namespace {

using budget::ServiceBudget;

Outcome ListBudgets(const Request& request) {
  const model::Fleet fleet = request.machine.fleet();
  const auto burn = BurnOfServices(request.machine, fleet, request.now);
  const budget::Budget budgets = budget::Budget::Evaluate(fleet, burn);
  boost::json::array rows;
  for (const ServiceBudget& service : budgets.services()) {
    rows.push_back(boost::json::object{
        {"service", service.service},
        {"hosts", service.hosts},
        {"available", service.available},
        {"planned_away", service.planned_away},
        {"failed", service.failed},
        {"allowed_away", service.allowed_away},
        {"left", service.left()},
        {"survives_rack", service.survives_rack()},
        {"survives_zone", service.survives_zone()},
        {"burn_left", service.burn.left},
        {"burn", boost::json::value_from(service.burn.severity)}});
  }
  return Answer(rows);
}

Outcome Buffers(const Request& request) {
  const planning::BufferPlan plan =
      planning::PlanBuffers(request.machine.fleet());
  boost::json::array guarantees;
  for (const planning::GuaranteeCost& cost : plan.guarantees) {
    guarantees.push_back(boost::json::object{
        {"guarantee", boost::json::value_from(cost.guarantee)},
        {"shared", cost.shared},
        {"per_pool", cost.per_pool}});
  }
  return Answer(boost::json::object{{"total", plan.total},
                                    {"per_pool_total", plan.per_pool_total},
                                    {"n_plus_one_total", plan.n_plus_one_total},
                                    {"lower_bound", plan.lower_bound},
                                    {"guarantees", guarantees}});
}

Outcome ExplainHost(const Request& request) {
  const model::Fleet fleet = request.machine.fleet();
  const std::string& id = request.Segment(2);
  FindOr404(fleet.hosts, "host", id);
  planning::StepInput input;
  input.now = request.now;
  input.burn = BurnOfServices(request.machine, fleet, input.now);
  return Answer(
      boost::json::value_from(planning::ExplainHost(fleet, id, input)));
}

/// The report as JSON for the table, or as a page when asked for.
Outcome Burn(const Request& request) {
  const model::Fleet fleet = request.machine.fleet();
  const WallTime now = request.now;
  std::vector<model::BurnSample> samples;
  for (const auto& [name, service] : fleet.services) {
    std::ranges::copy(
        request.machine.Burn(name, now - service.objective_window),
        std::back_inserter(samples));
  }
  const report::BurnReport made = report::MakeBurnReport(fleet, samples, now);
  if (request.Query("format") == "html") {
    return Answer(boost::json::string(report::ToHtml(made)));
  }
  if (request.Query("format") == "full") {
    return Answer(boost::json::parse(report::ToJson(made)));
  }
  boost::json::array rows;
  for (const report::ServiceReport& service : made.services) {
    boost::json::object row{{"service", service.service},
                            {"organisation", service.organisation},
                            {"objective", service.objective},
                            {"budget_left", service.budget_left},
                            {"alert", service.Alert()},
                            {"main_cause", service.main_cause}};
    for (const report::WindowBurn& window : service.windows) {
      row[window.window] = window.rate;
    }
    rows.push_back(row);
  }
  return Answer(rows);
}

}  // namespace

std::vector<Route> ReportRoutes() {
  return {{"GET", "report/burn", Burn},
          {"GET", "budgets", ListBudgets},
          {"GET", "buffers", Buffers},
          {"GET", "explain/host/*", ExplainHost}};
}

}  // namespace laurelhall::operations
