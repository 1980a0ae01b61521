#include <algorithm>
#include <iterator>

#include "burn_p.h"
#include "in_flight_board_p.h"
#include "laurelhall/budget/budget.h"
#include "laurelhall/planning/buffer.h"
#include "laurelhall/planning/controller.h"
#include "laurelhall/planning/moves.h"
#include "laurelhall/planning/plan_cost.h"
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

boost::json::array GuaranteeRows(const planning::BufferPlan& plan) {
  boost::json::array rows;
  for (const planning::GuaranteeCost& cost : plan.guarantees) {
    rows.push_back(boost::json::object{
        {"guarantee", boost::json::value_from(cost.guarantee)},
        {"shared", cost.shared},
        {"per_pool", cost.per_pool}});
  }
  return rows;
}

boost::json::array PoolRows(const planning::BufferPlan& plan) {
  boost::json::array rows;
  for (const planning::PoolBuffer& pool : plan.pools) {
    rows.push_back(boost::json::object{{"pool", pool.pool},
                                       {"target", pool.target_hosts},
                                       {"members", pool.members},
                                       {"own_reserve", pool.own},
                                       {"shares_with", pool.group}});
  }
  return rows;
}

boost::json::array GroupRows(const planning::BufferPlan& plan) {
  boost::json::array rows;
  for (const planning::BufferGroup& group : plan.groups) {
    rows.push_back(
        boost::json::object{{"group", group.name},
                            {"pools", boost::json::value_from(group.pools)},
                            {"hosts", group.hosts},
                            {"largest_rack", group.largest_rack},
                            {"wave", group.wave},
                            {"failures", group.failures},
                            {"shared_reserve", group.shared}});
  }
  return rows;
}

/// The moves that the leader would make now, were nothing else under way.
boost::json::array MoveRows(const std::vector<planning::Action>& moves) {
  boost::json::array rows;
  for (const planning::Action& move : moves) {
    rows.push_back(boost::json::object{{"host", move.transition.host},
                                       {"to", move.transition.move_to},
                                       {"why", move.why}});
  }
  return rows;
}

/// Buffers of the pools, what each guarantee costs, and the moves proposed.
Outcome Buffers(const Request& request) {
  const model::Fleet fleet = request.machine.fleet();
  const planning::BufferPlan plan = planning::PlanBuffers(fleet);
  planning::StepInput input;
  input.now = request.now;
  input.burn = BurnOfServices(request.machine, fleet, request.now);
  budget::Budget budget = budget::Budget::Evaluate(fleet, input.burn);
  const auto moves = planning::PlanMoves(fleet, budget, input);
  const planning::PlanCost cost = planning::CostOf(
      fleet, plan.total, Millis(0), static_cast<int>(moves.size()));
  return Answer(
      boost::json::object{{"reserve", plan.total},
                          {"reserve_per_pool", plan.per_pool_total},
                          {"reserve_n_plus_one", plan.n_plus_one_total},
                          {"lower_bound", plan.lower_bound},
                          {"weighted_cost", cost.weighted},
                          {"guarantees", GuaranteeRows(plan)},
                          {"pools", PoolRows(plan)},
                          {"groups", GroupRows(plan)},
                          {"moves", MoveRows(moves)}});
}

Outcome ExplainHost(const Request& request, const InFlightBoard& in_flight) {
  const model::Fleet fleet = request.machine.fleet();
  const std::string& id = request.Segment(2);
  FindOr404(fleet.hosts, "host", id);
  planning::StepInput input;
  input.now = request.now;
  input.in_flight = in_flight.Get();
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

std::vector<Route> ReportRoutes(
    const std::shared_ptr<InFlightBoard>& in_flight) {
  return {{"GET", "report/burn", Burn},
          {"GET", "budgets", ListBudgets},
          {"GET", "buffers", Buffers},
          {"GET", "explain/host/*", [in_flight](const Request& request) {
             return ExplainHost(request, *in_flight);
           }}};
}

}  // namespace laurelhall::operations
