#include <fmt/format.h>

#include <algorithm>

#include "laurelhall/report/burn_report.h"

namespace laurelhall::report {
namespace {

using Row = std::vector<std::string>;

Row Header() {
  return {"SERVICE", "OBJECTIVE", "OVER", "LEFT",  "5M",
          "1H",      "6H",        "3D",   "CAUSE", "ALERT"};
}

// Names come from operators; a control character would break the line or act
// on the terminal.
std::string Printable(const std::string& text) {
  std::string printable = text;
  std::replace_if(
      printable.begin(), printable.end(),
      [](unsigned char c) { return c < 0x20 || c == 0x7f; }, '?');
  return printable;
}

Row RowOf(const ServiceReport& service) {
  Row row = {Printable(service.service),
             fmt::format("{:.6g}%", service.objective * 100),
             FormatDuration(service.objective_window),
             fmt::format("{:.1f}%", service.budget_left * 100)};
  for (const WindowBurn& window : service.windows) {
    row.push_back(fmt::format("{:.2f}", window.rate));
  }
  row.push_back(service.main_cause);
  row.push_back(service.Alert());
  return row;
}

std::string Lay(const std::vector<Row>& rows) {
  std::vector<size_t> widths(rows.front().size());
  for (const Row& row : rows) {
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const Row& row : rows) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      line += fmt::format("{:<{}}  ", row[i], widths[i]);
    }
    text += line.substr(0, line.find_last_not_of(' ') + 1) + "\n";
  }
  return text;
}

std::string AlertLines(const ServiceReport& service) {
  std::string text;
  for (const AlertState& alert : service.alerts) {
    if (alert.is_firing) {
      text += fmt::format("{}: {} burn, {}x or more over {}.\n",
                          Printable(service.service), alert.name,
                          alert.threshold, alert.windows);
    }
  }
  return text;
}

}  // namespace

std::string ToTable(const BurnReport& report) {
  std::vector<Row> rows = {Header()};
  std::string alerts;
  for (const ServiceReport& service : report.services) {
    rows.push_back(RowOf(service));
    alerts += AlertLines(service);
  }
  return Lay(rows) + (alerts.empty() ? "" : "\n" + alerts);
}

}  // namespace laurelhall::report
