#include "schedule.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <string>

namespace laurelhall::consensus {

namespace {

constexpr uint64_t kFixedSeeds = 40;

uint64_t SeedsToRun() {
  const char* text = std::getenv("LAURELHALL_SEEDS");
  return text ? std::strtoull(text, nullptr, 10) : kFixedSeeds;
}

struct MutationCase {
  const char* name;
  bool Mutations::*flag;
  uint64_t max_seeds;
};

}  // namespace

TEST_CASE("Cluster, seeded faults, guarantees hold and it heals") {
  for (uint64_t seed = 1; seed <= SeedsToRun(); ++seed) {
    CHECK_EQ(RunSchedule(seed, Mutations()), std::string());
  }
}

TEST_CASE("Cluster, a protocol step left out, is caught") {
  static constexpr MutationCase kCases[] = {
      {"is_sync_skipped", &Mutations::is_sync_skipped, 200},
      {"is_pre_vote_skipped", &Mutations::is_pre_vote_skipped, 20},
      {"is_vote_forgotten", &Mutations::is_vote_forgotten, 200},
      {"is_old_term_committed", &Mutations::is_old_term_committed, 2000},
      {"is_check_quorum_skipped", &Mutations::is_check_quorum_skipped, 20},
      {"is_log_check_skipped", &Mutations::is_log_check_skipped, 200},
  };
  for (const MutationCase& item : kCases) {
    Mutations mutations;
    mutations.*item.flag = true;
    uint64_t seed = 1;
    std::string caught;
    for (; caught.empty() && seed <= item.max_seeds; ++seed) {
      caught = RunSchedule(seed, mutations);
    }
    MESSAGE(std::string(item.name) << ": " << caught);
    CHECK_MESSAGE(!caught.empty(), item.name);
  }
}

}  // namespace laurelhall::consensus
