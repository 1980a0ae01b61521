#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "laurelhall/report/burn_report.h"

namespace laurelhall::report {
namespace {

constexpr int kPlotWidth = 720;
constexpr int kPlotHeight = 160;
constexpr int kMargin = 36;
// A quiet service's plot is not blown up to full height.
constexpr double kLeastTop = 2;

struct Layer {
  const char* name;
  const char* colour;
  double CauseRates::*rate;
};

// Drawn from the axis upwards.
constexpr std::array<Layer, 3> kLayers = {{
    {"failure", "#c0392b", &CauseRates::failure},
    {"wave", "#2e6da4", &CauseRates::wave},
    {"overload", "#d68910", &CauseRates::overload},
}};

constexpr const char* kStyle =
    "body{font-family:sans-serif;margin:2em;color:#222}"
    "table{border-collapse:collapse}"
    "th,td{padding:.3em .8em;border-bottom:1px solid #ccc;text-align:right}"
    "th:first-child,td:first-child{text-align:left}"
    ".fast{background:#f5b7b1}.medium{background:#fad7a0}"
    ".slow{background:#fcf3cf}svg text{font-size:11px;fill:#444}";

std::string Escape(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    switch (c) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      case '\'':
        escaped += "&#39;";
        break;
      default:
        escaped += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
    }
  }
  return escaped;
}

std::string TableRow(const ServiceReport& service) {
  std::string row = fmt::format(
      "<tr class=\"{}\"><td>{}</td><td>{}</td><td>{:.6g}%</td><td>{}</td>"
      "<td>{:.1f}%</td>",
      service.Alert(), Escape(service.service), Escape(service.organisation),
      service.objective * 100, FormatDuration(service.objective_window),
      service.budget_left * 100);
  for (const WindowBurn& window : service.windows) {
    row += fmt::format("<td>{:.2f}</td>", window.rate);
  }
  return row + fmt::format("<td>{}</td><td>{}</td></tr>\n", service.main_cause,
                           service.Alert());
}

std::string SummaryTable(const BurnReport& report) {
  std::string table =
      "<table><thead><tr><th>Service</th><th>Organisation</th>"
      "<th>Objective</th><th>Over</th><th>Budget left</th><th>5m</th>"
      "<th>1h</th><th>6h</th><th>3d</th><th>Main cause</th><th>Alert</th>"
      "</tr></thead><tbody>\n";
  for (const ServiceReport& service : report.services) {
    table += TableRow(service);
  }
  return table + "</tbody></table>\n";
}

std::string AlertTable(const ServiceReport& service) {
  std::string table =
      "<table><thead><tr><th>Alert</th><th>Windows</th><th>Burn at least</th>"
      "<th>State</th></tr></thead><tbody>\n";
  for (const AlertState& alert : service.alerts) {
    table += fmt::format(
        "<tr><td>{}</td><td>{}</td><td>{}x</td><td>{}</td></tr>\n", alert.name,
        alert.windows, alert.threshold, alert.is_firing ? "firing" : "quiet");
  }
  return table + "</tbody></table>\n";
}

double TopOf(const ServiceReport& service) {
  double top = kLeastTop;
  for (const BurnPoint& point : service.points) {
    top = std::max(top, point.rates.total());
  }
  return top;
}

std::string Bars(const ServiceReport& service, double top) {
  const double width =
      static_cast<double>(kPlotWidth) /
      static_cast<double>(std::max<size_t>(1, service.points.size()));
  std::string bars;
  for (size_t i = 0; i < service.points.size(); ++i) {
    double below = 0;
    for (const Layer& layer : kLayers) {
      const double rate = service.points[i].rates.*layer.rate;
      if (rate <= 0) {
        continue;
      }
      below += rate;
      bars += fmt::format(
          "<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"{:.1f}\" height=\"{:.1f}\" "
          "fill=\"{}\"><title>{} {} {:.2f}x</title></rect>\n",
          kMargin + static_cast<double>(i) * width,
          kPlotHeight * (1 - below / top), width, kPlotHeight * rate / top,
          layer.colour, FormatWallTime(service.points[i].at), layer.name, rate);
    }
  }
  return bars;
}

// The axis, and the line of burn 1, above which the budget won't last.
std::string Axis(const ServiceReport& service, double top) {
  const double even = kPlotHeight * (1 - 1 / top);
  std::string axis = fmt::format(
      "<line x1=\"{0}\" y1=\"{1}\" x2=\"{2}\" y2=\"{1}\" stroke=\"#444\"/>\n"
      "<line x1=\"{0}\" y1=\"{3:.1f}\" x2=\"{2}\" y2=\"{3:.1f}\" "
      "stroke=\"#444\" stroke-dasharray=\"4 3\"/>\n"
      "<text x=\"4\" y=\"{3:.1f}\">1x</text>\n"
      "<text x=\"4\" y=\"11\">{4:.3g}x</text>\n",
      kMargin, kPlotHeight, kMargin + kPlotWidth, even, top);
  if (!service.points.empty()) {
    axis += fmt::format("<text x=\"{}\" y=\"{}\">{}</text>\n", kMargin,
                        kPlotHeight + 16,
                        FormatWallTime(service.points.front().at));
  }
  return axis;
}

std::string Legend() {
  std::string legend;
  int x = kMargin + kPlotWidth - 240;
  for (const Layer& layer : kLayers) {
    legend += fmt::format(
        "<rect x=\"{}\" y=\"{}\" width=\"10\" height=\"10\" fill=\"{}\"/>"
        "<text x=\"{}\" y=\"{}\">{}</text>\n",
        x, kPlotHeight + 7, layer.colour, x + 14, kPlotHeight + 16, layer.name);
    x += 80;
  }
  return legend;
}

std::string Plot(const ServiceReport& service) {
  const double top = TopOf(service);
  return fmt::format(
             "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" "
             "height=\"{1}\" viewBox=\"0 0 {0} {1}\" role=\"img\" "
             "aria-label=\"Burn of {2} over three days by cause\">\n",
             kPlotWidth + 2 * kMargin, kPlotHeight + kMargin,
             Escape(service.service)) +
         Bars(service, top) + Axis(service, top) + Legend() + "</svg>\n";
}

}  // namespace

std::string ToHtml(const BurnReport& report) {
  std::string page = fmt::format(
      "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"/>"
      "<title>Service-level burn</title><style>{}</style></head><body>\n"
      "<h1>Service-level burn</h1>\n<p>As of {}. A burn of 1x uses up the "
      "budget just over its window.</p>\n",
      kStyle, FormatWallTime(report.at));
  page += SummaryTable(report);
  for (const ServiceReport& service : report.services) {
    page += "<h2>" + Escape(service.service) + "</h2>\n";
    page += Plot(service);
    page += AlertTable(service);
  }
  return page + "</body></html>\n";
}

}  // namespace laurelhall::report
