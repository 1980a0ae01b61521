#include <doctest/doctest.h>

#include "laurelhall/operations/operations.h"

namespace laurelhall::operations {
namespace {

/// Remembers what is asked for.
class RecordingActions : public control::ControlActions {
 public:
  void AddLearner(consensus::NodeId, consensus::Member, Done) override {}
  void Promote(consensus::NodeId, Done) override {}
  void Remove(consensus::NodeId, Done) override {}
  void Transfer(consensus::NodeId, Done) override {}
  void Repair(const std::string& name, Done done) override {
    m_repaired.push_back(name);
    done({false, "still heard of"});
  }

  std::vector<std::string> m_repaired;
};

class ControlRoutesFixture {
 protected:
  ControlRoutesFixture() { m_service->Attach(m_actions); }

  int Repair(const std::string& body) {
    const auto commit = [this](const std::vector<state::Command>& commands,
                               const auto& done) {
      if (m_is_cut_off) {
        done(std::nullopt);
        return;
      }
      done(m_machine.Apply(++m_index, state::EncodeCommands(commands)));
    };
    int status = 0;
    m_service->Handle(
        "POST", "/v1/control/repair", body, m_machine, {}, commit,
        [&](const control::OperatorReply& reply) { status = reply.status; });
    return status;
  }

  const std::string m_body =
      R"({"name":"entry-4","operator":"ana","request_id":"r1"})";
  RecordingActions m_actions;
  std::unique_ptr<control::OperatorService> m_service =
      MakeOperations().service;
  state::Machine m_machine;
  uint64_t m_index = 0;
  bool m_is_cut_off = false;
};

TEST_CASE_FIXTURE(
    ControlRoutesFixture,
    "ControlRoutes, repair, is in the audit log when it is done") {
  CHECK(Repair(m_body) == 409);
  CHECK(m_actions.m_repaired == std::vector<std::string>{"entry-4"});
  REQUIRE(m_machine.Audit(9).size() == 1);
  const state::AuditRecord record = m_machine.Audit(1).front();
  CHECK(record.act == "control.repair entry-4");
  CHECK(record.request.operator_name == "ana");
  CHECK(record.request.request_id == "r1");
  CHECK(record.request.at > WallTime());
}

TEST_CASE_FIXTURE(
    ControlRoutesFixture,
    "ControlRoutes, not committed or nobody named, does nothing") {
  CHECK(Repair(R"({"name":"entry-4"})") == 400);
  m_is_cut_off = true;
  CHECK(Repair(m_body) == 504);
  CHECK(m_actions.m_repaired.empty());
}

}  // namespace
}  // namespace laurelhall::operations
