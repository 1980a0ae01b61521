#include <doctest/doctest.h>

#include <numeric>
#include <random>

#include "laurelhall/scheduling/weighted_shares.h"

namespace laurelhall::scheduling {
namespace {

TEST_CASE("WeightedShares, enough for all, each claim gets its demand") {
  const auto parts = DivideByWeight(10, {{1, 3}, {5, 4}, {0, 2}});
  CHECK(parts == std::vector<double>{3, 4, 2});
}

TEST_CASE("WeightedShares, all want more, parts follow the weights") {
  const auto parts = DivideByWeight(12, {{1, 100}, {2, 100}, {3, 100}});
  CHECK(parts[0] == doctest::Approx(2));
  CHECK(parts[1] == doctest::Approx(4));
  CHECK(parts[2] == doctest::Approx(6));
}

TEST_CASE("WeightedShares, one claim wants little, others divide the rest") {
  const auto parts = DivideByWeight(12, {{6, 1}, {1, 100}, {1, 100}});
  CHECK(parts[0] == doctest::Approx(1));
  CHECK(parts[1] == doctest::Approx(5.5));
  CHECK(parts[2] == doctest::Approx(5.5));
}

TEST_CASE("WeightedShares, claim without weight, gets what others leave") {
  CHECK(DivideByWeight(4, {{1, 100}, {0, 1}})[1] == doctest::Approx(0));
  CHECK(DivideByWeight(4, {{1, 3}, {0, 9}})[1] == doctest::Approx(1));
}

TEST_CASE("WeightedShares, no claim or no capacity, gives nothing") {
  CHECK(DivideByWeight(4, {}).empty());
  CHECK(DivideByWeight(-1, {{1, 1}})[0] == doctest::Approx(0));
}

// Max-min fairness: a claim below its demand has, for its weight, at least as
// much as every other, and then nothing is left over.
TEST_CASE("WeightedShares, any claims, parts are fair and use the capacity") {
  for (uint64_t seed = 1; seed <= 10'000; ++seed) {
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> any(0.0, 1.0);
    std::vector<ShareClaim> claims(1 + random() % 20);
    for (ShareClaim& claim : claims) {
      claim = {0.1 + 10 * any(random), 5 * any(random)};
    }
    const double capacity = 60 * any(random);
    const auto parts = DivideByWeight(capacity, claims);
    const double given = std::accumulate(parts.begin(), parts.end(), 0.0);
    bool is_fair = given <= capacity + 1e-9;
    for (size_t i = 0; i < claims.size(); ++i) {
      const bool is_satisfied = parts[i] >= claims[i].demand - 1e-9;
      is_fair = is_fair && parts[i] <= claims[i].demand + 1e-9 &&
                (is_satisfied || given >= capacity - 1e-9);
      for (size_t j = 0; j < claims.size() && !is_satisfied; ++j) {
        is_fair = is_fair && parts[i] / claims[i].weight >=
                                 parts[j] / claims[j].weight - 1e-9;
      }
    }
    CAPTURE(seed);
    REQUIRE(is_fair);
  }
}

}  // namespace
}  // namespace laurelhall::scheduling
