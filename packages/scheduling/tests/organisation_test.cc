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

TEST_CASE_FIXTURE(KeyRingFixture,
                  "KeyRing, known key, grants access for its organisation") {
  const KeyRing keys(configuration);
  CHECK(keys.Check("quotes", "1").organisation == "a");
  CHECK(keys.Check("quotes", "2").organisation == "a");
  CHECK(keys.Check("quotes", "3").organisation == "b");
  CHECK_FALSE(keys.Check("quotes", "4").is_granted);
  CHECK_FALSE(keys.Check("quotes", "").is_granted);
}

TEST_CASE_FIXTURE(KeyRingFixture, "KeyRing, open queue, requires no key") {
  const Access access = KeyRing(configuration).Check("audits", "4");
  CHECK(access.is_granted);
  CHECK(access.organisation.empty());
}

TEST_CASE_FIXTURE(KeyRingFixture,
                  "KeyRing, no identities configured, all queues are open") {
  configuration.identities.reset();
  CHECK(KeyRing(configuration).Check("quotes", "").is_granted);
}

TEST_CASE("Cap, another task would exceed it, not within") {
  const Resources cap{4'000, 0, 2};
  CHECK(IsWithinCap(cap, {3'000, 9'000, 0}, {1'000, 500, 0}));
  CHECK_FALSE(IsWithinCap(cap, {3'500, 0, 0}, {1'000, 500, 0}));
  CHECK_FALSE(IsWithinCap(cap, {0, 0, 2}, {0, 0, 1}));
}

TEST_CASE("Cap, task larger than the whole cap, runs alone") {
  CHECK(IsWithinCap({4'000, 0, 0}, {}, {6'000, 0, 0}));
  CHECK_FALSE(IsWithinCap({4'000, 0, 0}, {1'000, 0, 0}, {6'000, 0, 0}));
}

TEST_CASE("JobRates, more jobs than guaranteed, the rest is excess") {
  JobRateLimiter rates;
  SteadyTime now{};
  int excess = 0;
  for (int second = 0; second < 20; ++second, now += Seconds(1)) {
    for (int job = 0; job < 6; ++job) {
      excess += rates.IsExcess("a", 4, now) ? 1 : 0;
    }
    CHECK_FALSE(rates.IsExcess("b", 4, now));
  }
  // The jobs of two seconds are allowed as a burst; of the others, a third is
  // excess.
  CHECK(excess >= 20 * 2 - 2 * 4);
  CHECK(excess <= 20 * 2);
}

TEST_CASE("JobRates, rate below one per second, first job is no excess") {
  JobRateLimiter rates;
  CHECK_FALSE(rates.IsExcess("a", 0.1, SteadyTime()));
  CHECK(rates.IsExcess("a", 0.1, SteadyTime() + Seconds(1)));
  CHECK_FALSE(rates.IsExcess("a", 0.1, SteadyTime() + Seconds(11)));
}

class OrganisationJobFixture : public KeyRingFixture {
 protected:
  OrganisationJobFixture() {
    ledger.Apply(ConfigurationWithIdentitiesSet{configuration});
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
    ledger.Apply(OrganisationJobAccepted{
        {"j", "quotes", "teklif", WallTime(), spec}, "a"});
  }

  Ledger ledger;
};

TEST_CASE_FIXTURE(OrganisationJobFixture,
                  "Ledger, runs of an organisation, in use until they end") {
  ledger.Apply(RunStarted{{"j", 0, 0, 0}, 1, "w1"});
  ledger.Apply(RunStarted{{"j", 0, 0, 1}, 1, "w2"});
  CHECK(ledger.InUseBy("a") == Resources{2'000, 200, 0});
  ledger.Apply(RunEnded{{"j", 0, 0, 0}, 1, "w1", RunEnd::kDone, ""});
  CHECK(ledger.InUseBy("a") == Resources{1'000, 100, 0});
  // The run on a lost worker counts until its lease has certainly expired.
  ledger.Apply(WorkerLapsed{"w2"});
  CHECK(ledger.InUseBy("a") == Resources());
}

TEST_CASE_FIXTURE(OrganisationJobFixture,
                  "Ledger, saved and loaded, jobs keep their organisation") {
  ledger.Apply(RunStarted{{"j", 0, 0, 0}, 1, "w1"});
  Ledger loaded;
  loaded.Load(ledger.Save());
  CHECK(loaded.FindJob("j")->organisation == "a");
  CHECK(loaded.InUseBy("a") == Resources{1'000, 100, 0});
  CHECK(loaded.keys().Check("quotes", "3").organisation == "b");
  CHECK(loaded.Save() == ledger.Save());
}

TEST_CASE_FIXTURE(OrganisationJobFixture,
                  "Ledger, records encoded and decoded, same effect") {
  Ledger decoded;
  JobSpec spec;
  spec.steps.emplace_back().count = 1;
  const std::string text = EncodeRecords(
      {ConfigurationWithIdentitiesSet{configuration},
       OrganisationJobAccepted{
           {"j", "quotes", "teklif", WallTime(), spec}, "b", true}});
  for (const Record& record : DecodeRecords(text)) {
    decoded.Apply(record);
  }
  CHECK(decoded.FindJob("j")->organisation == "b");
  CHECK(decoded.FindJob("j")->is_excess);
  CHECK(decoded.keys().Find("a")->cap == Resources{4'000, 0, 0});
}

// Snapshots of earlier versions end before the fields of organisations.
TEST_CASE("Ledger, snapshot without organisations, jobs have none") {
  Ledger ledger;
  Configuration configuration;
  configuration.version = 3;
  configuration.queues.push_back({"quotes", "q", "/q/", "teklif"});
  ledger.Apply(ConfigurationSet{configuration});
  JobSpec spec;
  spec.steps.emplace_back().count = 1;
  ledger.Apply(JobAccepted{"j", "quotes", "teklif", WallTime(), spec});
  std::string text = ledger.Save();
  // No identities, no job owners, no tasks given up, no run flags, no causes of
  // ends, no failures of gangs, no early cancels, no dropped queues.
  const std::string added_fields = "0 0 0 0 0 0 0 0 ";
  REQUIRE(text.ends_with(added_fields));
  text.resize(text.size() - added_fields.size());
  Ledger loaded;
  loaded.Load(text);
  CHECK(loaded.FindJob("j")->organisation.empty());
  CHECK(loaded.keys().Check("quotes", "").is_granted);
}

}  // namespace
}  // namespace laurelhall::scheduling
