#include "laurelhall/scheduling/turns.h"

#include <doctest/doctest.h>

#include <random>

namespace laurelhall::scheduling {
namespace {

constexpr int64_t kTurnBins = 18;      // 4.5 s in bins of 250 ms.
constexpr double kRushWork = 100'000;  // Core-milliseconds per bin: 400 cores.
constexpr double kIdleWork = 1'250;    // An eightieth of a rush.
constexpr double kLargestJob = 5;      // Times the mean.

class TurnsFixture {
 protected:
  TurnsFixture() {
    for (const char* service : {"a", "b", "c", "d"}) {
      bins[service];
    }
  }

  // Random work of a bin, as a few jobs of different sizes would bring it.
  double RandomWork(double mean) {
    std::exponential_distribution<double> work(1);
    return mean * std::min(kLargestJob, work(random));
  }

  void AddTurn(const std::string& rushing, int64_t length) {
    for (int64_t bin = 0; bin < length; ++bin) {
      for (auto& [service, work] : bins) {
        work.push_back(RandomWork(service == rushing ? kRushWork : kIdleWork));
      }
    }
    forecast.Recompute(bins, Last());
  }

  int64_t Last() const { return static_cast<int64_t>(bins.at("a").size()) - 1; }

  double ExpectedOfAll(int64_t bin) const {
    double sum = 0;
    for (const auto& [service, work] : bins) {
      sum += forecast.ExpectedWork(service, bin);
    }
    return sum;
  }

  std::mt19937_64 random{1};
  std::map<std::string, WorkBins> bins;
  TurnForecast forecast;
};

// Guards against a late reaction to services that rush in turns: if hosts move
// only once a rush is visible, half of its work is late.
TEST_CASE_FIXTURE(TurnsFixture,
                  "Turns, two services had a turn, expects one of the others") {
  AddTurn("a", kTurnBins);
  AddTurn("b", kTurnBins - 6);
  const int64_t soon = Last() + 10;
  CHECK(forecast.length() >= kTurnBins - 2);
  CHECK(forecast.ExpectedWork("c", soon) > 0.3 * kRushWork);
  CHECK(forecast.ExpectedWork("d", soon) > 0.3 * kRushWork);
  CHECK(forecast.ExpectedWork("a", soon) == 0);
  // Before the turn ends, no other service is expected to rush.
  CHECK(ExpectedOfAll(Last() + 2) == 0);
}

TEST_CASE_FIXTURE(TurnsFixture,
                  "Turns, one service without a turn, expects its rush") {
  AddTurn("a", kTurnBins);
  AddTurn("b", kTurnBins);
  AddTurn("c", kTurnBins - 6);
  CHECK(forecast.ExpectedWork("d", Last() + 8) > 0.6 * kRushWork);
}

TEST_CASE_FIXTURE(TurnsFixture,
                  "Turns, second round, expects the order of the first") {
  for (const char* service : {"a", "b", "c", "d"}) {
    AddTurn(service, kTurnBins);
  }
  AddTurn("a", kTurnBins - 6);
  CHECK(forecast.ExpectedWork("b", Last() + 8) > 0.6 * kRushWork);
  CHECK(forecast.ExpectedWork("c", Last() + 8) == 0);
}

TEST_CASE_FIXTURE(TurnsFixture, "Turns, random order, expects nothing") {
  int forecasts = 0;
  std::string before;
  for (int turn = 0; turn < 24; ++turn) {
    std::string next;
    do {
      next = std::string(1, static_cast<char>('a' + random() % 4));
    } while (next == before);
    before = next;
    AddTurn(next, kTurnBins);
    // The first turns have no order yet, and a few predictions come true by
    // chance.
    forecasts += turn >= 8 && ExpectedOfAll(Last() + 4) > 0 ? 1 : 0;
  }
  CHECK(forecasts <= 4);
}

TEST_CASE_FIXTURE(TurnsFixture, "Turns, different lengths, expects nothing") {
  AddTurn("a", kTurnBins);
  AddTurn("b", 2 * kTurnBins);
  AddTurn("c", kTurnBins);
  CHECK(ExpectedOfAll(Last() + 4) == 0);
}

TEST_CASE_FIXTURE(TurnsFixture,
                  "Turns, all services busy at once, finds none") {
  for (int64_t bin = 0; bin < 4 * kTurnBins; ++bin) {
    for (auto& [service, work] : bins) {
      work.push_back(kRushWork + RandomWork(kIdleWork));
    }
  }
  CHECK(FindTurns(bins, Last()).empty());
  forecast.Recompute(bins, Last());
  CHECK(ExpectedOfAll(Last() + 4) == 0);
}

TEST_CASE_FIXTURE(TurnsFixture, "Turns, a single rush, expects nothing") {
  AddTurn("", 2 * kTurnBins);
  AddTurn("a", kTurnBins);
  AddTurn("", kTurnBins);
  CHECK(ExpectedOfAll(Last() + 4) == 0);
}

TEST_CASE_FIXTURE(TurnsFixture, "Turns, one lasts too long, expects nothing") {
  AddTurn("a", kTurnBins);
  AddTurn("b", kTurnBins);
  AddTurn("c", 2 * kTurnBins);
  CHECK(ExpectedOfAll(Last() + 4) == 0);
}

TEST_CASE_FIXTURE(TurnsFixture,
                  "Turns, large job of another service, the turn goes on") {
  AddTurn("a", kTurnBins / 2);
  bins.at("c").back() = 6 * kRushWork;
  AddTurn("a", kTurnBins / 2);
  AddTurn("b", kTurnBins / 2);
  const auto turns = FindTurns(bins, Last());
  REQUIRE(turns.size() == 2);
  CHECK(turns[0].service == "a");
  CHECK(turns[0].end >= kTurnBins - 1);
}

}  // namespace
}  // namespace laurelhall::scheduling
