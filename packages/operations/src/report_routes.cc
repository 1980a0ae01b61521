#include "burn_p.h"
#include "laurelhall/budget/budget.h"
#include "laurelhall/planning/buffer.h"
#include "laurelhall/planning/controller.h"
#include "operations_p.h"

namespace laurelhall::operations {
namespace {

using budget::ServiceBudget;

Outcome ListBudgets(const Request& request) {
  const model::Fleet fleet = request.machine.fleet();
  const auto burn = BurnOfServices(request.machine, fleet, WallNow());
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
  return {200, rows, {}, {}, {}};
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
  return {200,
          boost::json::object{{"total", plan.total},
                              {"per_pool_total", plan.per_pool_total},
                              {"n_plus_one_total", plan.n_plus_one_total},
                              {"lower_bound", plan.lower_bound},
                              {"guarantees", guarantees}},
          {},
          {},
          {}};
}

Outcome ExplainHost(const Request& request) {
  const model::Fleet fleet = request.machine.fleet();
  const std::string& id = request.Segment(2);
  FindOr404(fleet.hosts, "host", id);
  planning::StepInput input;
  input.now = WallNow();
  input.burn = BurnOfServices(request.machine, fleet, input.now);
  return {200,
          boost::json::value_from(planning::ExplainHost(fleet, id, input)),
          {},
          {},
          {}};
}

}  // namespace

std::vector<Route> ReportRoutes() {
  return {{"GET", "budgets", ListBudgets},
          {"GET", "buffers", Buffers},
          {"GET", "explain/host/*", ExplainHost}};
}

}  // namespace laurelhall::operations
