#include <doctest/doctest.h>

#include "laurelhall/scheduling/ledger.h"
#include "laurelhall/scheduling/organisation.h"

namespace laurelhall::scheduling {
namespace {

class KeyRingFixture {
 protected:
  KeyRingFixture() {
    configuration.version = 1;
    configuration.queues.push_back({"quotes", "q", "/q/", "teklif"});
    configuration.queues.push_back({"audits", "q", "/a/", "teklif"});
    configuration.identities.emplace();
    configuration.identities->open_queues = {"audits"};
    configuration.identities->organisations = {
        {"a", {"1", "2"}, 3, {4'000, 0, 0}}, {"b", {"3"}, 1, {}}};
  }

  Configuration configuration;
};

TEST_CASE_FIXTURE(KeyRingFixture, "KeyRing, keys of a, open for a") {
  const KeyRing keys(configuration);
  CHECK(keys.Check("quotes", "1").organisation == "a");
  CHECK(keys.Check("quotes", "2").organisation == "a");
  CHECK(keys.Check("quotes", "3").organisation == "b");
  CHECK_FALSE(keys.Check("quotes", "4").is_granted);
  CHECK_FALSE(keys.Check("quotes", "").is_granted);
}

TEST_CASE_FIXTURE(KeyRingFixture, "KeyRing, open queue, asks for no key") {
  const Access access = KeyRing(configuration).Check("audits", "4");
  CHECK(access.is_granted);
  CHECK(access.organisation.empty());
}

TEST_CASE_FIXTURE(KeyRingFixture,
                  "KeyRing, no identities configured, all queues are open") {
  configuration.identities.reset();
  CHECK(KeyRing(configuration).Check("quotes", "").is_granted);
}

TEST_CASE("Cap, task more would pass it, not within") {
  const Resources cap{4'000, 0, 2};
  CHECK(IsWithinCap(cap, {3'000, 9'000, 0}, {1'000, 500, 0}));
  CHECK_FALSE(IsWithinCap(cap, {3'500, 0, 0}, {1'000, 500, 0}));
  CHECK_FALSE(IsWithinCap(cap, {0, 0, 2}, {0, 0, 1}));
}

TEST_CASE("Cap, task larger than all of it, runs alone") {
  CHECK(IsWithinCap({4'000, 0, 0}, {}, {6'000, 0, 0}));
  CHECK_FALSE(IsWithinCap({4'000, 0, 0}, {1'000, 0, 0}, {6'000, 0, 0}));
}

TEST_CASE("JobRates, more jobs than promised, the rest is excess") {
  JobRates rates;
  SteadyTime now{};
  int excess = 0;
  for (int second = 0; second < 20; ++second, now += Seconds(1)) {
    for (int job = 0; job < 6; ++job) {
      excess += rates.IsExcess("a", 4, now) ? 1 : 0;
    }
    CHECK_FALSE(rates.IsExcess("b", 4, now));
  }
  // Two seconds' jobs may come at once; of the others a third is too many.
  CHECK(excess >= 20 * 2 - 2 * 4);
  CHECK(excess <= 20 * 2);
}

TEST_CASE("JobRates, promised less than one a second, the first is none") {
  JobRates rates;
  CHECK_FALSE(rates.IsExcess("a", 0.1, SteadyTime()));
  CHECK(rates.IsExcess("a", 0.1, SteadyTime() + Seconds(1)));
  CHECK_FALSE(rates.IsExcess("a", 0.1, SteadyTime() + Seconds(11)));
}

class OwnedJobFixture : public KeyRingFixture {
 protected:
  OwnedJobFixture() {
    ledger.Apply(ConfigurationAdopted{configuration});
    for (const char* id : {"w1", "w2"}) {
      WorkerInfo info;
      info.id = id;
      info.service = "teklif";
      info.capacity = {8'000, 8'000, 0};
      ledger.Apply(WorkerSeen{info});
    }
    JobSpec spec;
    spec.steps.emplace_back().count = 6;
    spec.steps.back().need = {1'000, 100, 0};
    ledger.Apply(JobTaken{{"j", "quotes", "teklif", WallTime(), spec}, "a"});
  }

  Ledger ledger;
};

TEST_CASE_FIXTURE(OwnedJobFixture,
                  "Ledger, runs of an organisation, counted until they end") {
  ledger.Apply(RunStarted{{"j", 0, 0, 0}, 1, "w1"});
  ledger.Apply(RunStarted{{"j", 0, 0, 1}, 1, "w2"});
  CHECK(ledger.InUseBy("a") == Resources{2'000, 200, 0});
  // Lost, and counted until its lease has surely run out.
  ledger.Apply(RunEnded{{"j", 0, 0, 0}, 1, "w1", RunEnd::kDone, ""});
  CHECK(ledger.InUseBy("a") == Resources{1'000, 100, 0});
  ledger.Apply(WorkerLapsed{"w2"});
  CHECK(ledger.InUseBy("a") == Resources());
}

TEST_CASE_FIXTURE(OwnedJobFixture,
                  "Ledger, saved and loaded, jobs keep their organisation") {
  ledger.Apply(RunStarted{{"j", 0, 0, 0}, 1, "w1"});
  Ledger loaded;
  loaded.Load(ledger.Save());
  CHECK(loaded.FindJob("j")->organisation == "a");
  CHECK(loaded.InUseBy("a") == Resources{1'000, 100, 0});
  CHECK(loaded.keys().Check("quotes", "3").organisation == "b");
  CHECK(loaded.Save() == ledger.Save());
}

TEST_CASE_FIXTURE(OwnedJobFixture,
                  "Ledger, records written and read, mean the same") {
  Ledger read;
  JobSpec spec;
  spec.steps.emplace_back().count = 1;
  const std::string text = EncodeRecords(
      {ConfigurationAdopted{configuration},
       JobTaken{{"j", "quotes", "teklif", WallTime(), spec}, "b", true}});
  for (const Record& record : DecodeRecords(text)) {
    read.Apply(record);
  }
  CHECK(read.FindJob("j")->organisation == "b");
  CHECK(read.FindJob("j")->is_excess);
  CHECK(read.keys().Find("a")->cap == Resources{4'000, 0, 0});
}

// What an earlier version wrote ends before organisations.
TEST_CASE("Ledger, snapshot without organisations, jobs are nobody's") {
  Ledger ledger;
  Configuration configuration;
  configuration.version = 3;
  configuration.queues.push_back({"quotes", "q", "/q/", "teklif"});
  ledger.Apply(ConfigurationSet{configuration});
  JobSpec spec;
  spec.steps.emplace_back().count = 1;
  ledger.Apply(JobAccepted{"j", "quotes", "teklif", WallTime(), spec});
  std::string text = ledger.Save();
  // No identities, no owners, no tasks given up, no marks.
  const std::string added = "0 0 0 0 ";
  REQUIRE(text.ends_with(added));
  text.resize(text.size() - added.size());
  Ledger loaded;
  loaded.Load(text);
  CHECK(loaded.FindJob("j")->organisation.empty());
  CHECK(loaded.keys().Check("quotes", "").is_granted);
}

}  // namespace
}  // namespace laurelhall::scheduling
