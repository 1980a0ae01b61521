#include "laurelhall/report/burn_report.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cctype>

namespace laurelhall::report {
namespace {

constexpr WallTime kNow{Millis(1'000'000'000'000)};

struct BurnReportFixture {
  model::Fleet m_fleet;
  std::vector<model::BurnSample> m_samples;

  BurnReportFixture() { AddService("claims", "Sura", 0.99); }

  void AddService(const std::string& name,
                  const std::string& organisation,
                  double objective) {
    model::Service service;
    service.name = name;
    service.organisation = organisation;
    service.objective = objective;
    m_fleet.services[name] = service;
  }

  // A hundred requests in each minute of a span that ends `ago` before now.
  void Minutes(const std::string& service,
               Millis from,
               Millis to,
               int failure,
               int wave,
               int overload) {
    for (Millis ago = from; ago > to; ago -= std::chrono::minutes(1)) {
      m_samples.push_back({service, kNow - ago, 100 - failure - wave - overload,
                           failure, wave, overload});
    }
  }

  BurnReport Make() const { return MakeBurnReport(m_fleet, m_samples, kNow); }
};

// Whether each tag is closed in turn, attributes are quoted and no `<` or `&`
// stands by itself: enough for a page that uses XML's form.
bool IsWellFormed(std::string page) {
  const std::string doctype = "<!DOCTYPE html>\n";
  REQUIRE(page.rfind(doctype, 0) == 0);
  page.erase(0, doctype.size());
  std::vector<std::string> open;
  for (size_t at = page.find_first_of("<&"); at != std::string::npos;
       at = page.find_first_of("<&", at + 1)) {
    if (page[at] == '&') {
      const size_t end = page.find(';', at);
      if (end == std::string::npos || end - at > 6) {
        return false;
      }
      continue;
    }
    const size_t end = page.find('>', at);
    if (end == std::string::npos) {
      return false;
    }
    const std::string tag = page.substr(at + 1, end - at - 1);
    if (tag.find('<') != std::string::npos ||
        std::count(tag.begin(), tag.end(), '"') % 2 != 0) {
      return false;
    }
    const std::string name = tag.substr(0, tag.find_first_of(" /", 1));
    if (tag.front() == '/') {
      if (open.empty() || "/" + open.back() != tag) {
        return false;
      }
      open.pop_back();
    } else if (tag.back() != '/') {
      open.push_back(name);
    }
  }
  return open.empty();
}

TEST_CASE_FIXTURE(BurnReportFixture,
                  "MakeBurnReport, burn of two causes, splits each window") {
  Minutes("claims", std::chrono::hours(72), std::chrono::hours(6), 0, 0, 0);
  Minutes("claims", std::chrono::hours(6), std::chrono::hours(1), 0, 3, 0);
  Minutes("claims", std::chrono::hours(1), Millis(0), 18, 0, 2);
  const ServiceReport report = Make().services.at(0);

  REQUIRE(report.windows.size() == 4);
  CHECK(report.windows[0].window == "5m");
  CHECK(report.windows[1].rate == doctest::Approx(20).epsilon(0.02));
  CHECK(report.windows[1].causes.failure == doctest::Approx(18).epsilon(0.02));
  CHECK(report.windows[1].causes.overload == doctest::Approx(2).epsilon(0.02));
  // Five hours at 3 and one at 20, of six.
  CHECK(report.windows[2].rate == doctest::Approx(35.0 / 6).epsilon(0.02));
  CHECK(report.windows[2].causes.wave == doctest::Approx(2.5).epsilon(0.02));
  for (const WindowBurn& window : report.windows) {
    CHECK(window.causes.total() == doctest::Approx(window.rate));
  }
  CHECK(report.main_cause == "failure");
  // 5 * 60 * 3 + 60 * 20 of the 72 * 60 that a hundredth allows.
  CHECK(report.budget_left == doctest::Approx(1 - 2'100.0 / 4'320));
  CHECK(report.Alert() == "fast");
  CHECK(report.alerts.at(0).windows == "5m and 1h");
  CHECK(report.alerts.at(0).threshold == 14.4);
}

TEST_CASE_FIXTURE(BurnReportFixture,
                  "MakeBurnReport, short spike long mended, no fast alert") {
  Minutes("claims", std::chrono::hours(72), std::chrono::minutes(30), 0, 0, 0);
  Minutes("claims", std::chrono::minutes(30), std::chrono::minutes(10), 60, 0,
          0);
  Minutes("claims", std::chrono::minutes(10), Millis(0), 0, 0, 0);
  const ServiceReport report = Make().services.at(0);
  CHECK(report.windows[1].rate > 14.4);
  CHECK_FALSE(report.alerts.at(0).is_firing);
}

TEST_CASE_FIXTURE(BurnReportFixture,
                  "MakeBurnReport, plotted points, hold their minutes") {
  Minutes("claims", std::chrono::hours(72), Millis(0), 1, 0, 0);
  const ServiceReport report = Make().services.at(0);
  REQUIRE(report.points.size() == 96);
  CHECK(report.points.front().at == kNow - std::chrono::hours(72));
  CHECK(std::all_of(report.points.begin(), report.points.end(),
                    [](const BurnPoint& point) {
                      return std::abs(point.rates.total() - 1) < 1e-9;
                    }));
}

TEST_CASE_FIXTURE(BurnReportFixture,
                  "MakeBurnReport, no samples or unknown service, burns none") {
  Minutes("unknown", std::chrono::hours(1), Millis(0), 50, 0, 0);
  const BurnReport report = Make();
  REQUIRE(report.services.size() == 1);
  CHECK(report.services[0].budget_left == 1);
  CHECK(report.services[0].Alert() == "none");
  CHECK(report.services[0].main_cause == "none");
  CHECK(IsWellFormed(ToHtml(report)));
}

TEST_CASE_FIXTURE(BurnReportFixture,
                  "ToTable, two services, columns are in line") {
  AddService("a-much-longer-name", "", 0.9995);
  Minutes("claims", std::chrono::hours(7), Millis(0), 20, 0, 0);
  const std::string table = ToTable(Make());
  const std::string header = table.substr(0, table.find('\n'));
  const std::string claims = table.substr(table.find("\nclaims") + 1);
  CHECK(header.find("LEFT") == claims.find("-1900.0%"));
  CHECK(table.find("99.95%") != std::string::npos);
  CHECK(table.find("claims: fast burn, 14.4x or more over 5m and 1h.") !=
        std::string::npos);
}

TEST_CASE_FIXTURE(BurnReportFixture,
                  "ToHtml, names that are markup, page stays whole") {
  const std::string name = "<script>alert('x')</script>&\"quoted\"";
  AddService(name, "\"><img onerror=x>", 0.99);
  Minutes(name, std::chrono::hours(3), Millis(0), 2, 5, 3);
  const std::string page = ToHtml(Make());
  CHECK(IsWellFormed(page));
  CHECK(page.find("<script") == std::string::npos);
  CHECK(page.find("<img") == std::string::npos);
  CHECK(page.find("&lt;script&gt;") != std::string::npos);
  CHECK(page.find("<rect") != std::string::npos);
  for (const char* outside : {"src=", "href=", "@import", "url("}) {
    CHECK(page.find(outside) == std::string::npos);
  }
}

TEST_CASE_FIXTURE(BurnReportFixture, "ToJson, read back, is the same report") {
  Minutes("claims", std::chrono::hours(1), Millis(0), 2, 5, 3);
  const BurnReport report = Make();
  // The parser may miss the last bit of a rate, so figures are compared as the
  // table and the page show them.
  const auto read = model::FromJsonText<BurnReport>(ToJson(report));
  CHECK(ToTable(read) == ToTable(report));
  CHECK(ToHtml(read) == ToHtml(report));
}

}  // namespace
}  // namespace laurelhall::report
