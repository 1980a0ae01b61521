#include "wire_p.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "laurelhall/model/json.h"

namespace laurelhall::control {

namespace {

// The kinds of result, as they stand in its text.
constexpr const char* kClaimKind = "claim";
constexpr const char* kActKind = "act";

template <typename List, typename Values, typename Write>
void WriteList(List out, const Values& values, Write write) {
  for (uint32_t i = 0; i < values.size(); ++i) {
    write(values[i], out[i]);
  }
}

template <typename T, typename Values>
void WriteTexts(capnp::List<capnp::Text>::Builder out, const Values& values) {
  for (uint32_t i = 0; i < values.size(); ++i) {
    out.set(i, model::ToJsonText<T>(values[i]));
  }
}

template <typename T>
std::vector<T> ReadTexts(capnp::List<capnp::Text>::Reader in) {
  std::vector<T> values;
  for (const auto text : in) {
    values.push_back(model::FromJsonText<T>(ToString(text)));
  }
  return values;
}

void WriteNames(capnp::List<capnp::Text>::Builder out,
                const std::vector<std::string>& names) {
  for (uint32_t i = 0; i < names.size(); ++i) {
    out.set(i, names[i]);
  }
}

std::vector<std::string> ReadNames(capnp::List<capnp::Text>::Reader in) {
  std::vector<std::string> names;
  for (const auto name : in) {
    names.push_back(ToString(name));
  }
  return names;
}

void WriteDemand(const routing::SlotDemand& demand,
                 proto::SlotDemand::Builder out) {
  out.setEndpoint(demand.endpoint);
  out.setGrant(demand.grant);
  out.setHeld(std::max(demand.held, 0));
  out.setInUse(std::max(demand.in_use, 0));
  out.setWanted(std::max(demand.wanted, 0));
}

routing::SlotDemand ReadDemand(proto::SlotDemand::Reader in) {
  return {ToString(in.getEndpoint()), in.getGrant(),
          static_cast<int>(in.getHeld()), static_cast<int>(in.getInUse()),
          static_cast<int>(in.getWanted())};
}

void WriteGrant(const routing::SlotGrant& grant,
                proto::SlotGrant::Builder out) {
  out.setEndpoint(grant.endpoint);
  out.setGrant(grant.grant);
  out.setSlots(std::max(grant.slots, 0));
  out.setLeaseMillis(static_cast<uint32_t>(grant.lease.count()));
}

routing::SlotGrant ReadGrant(proto::SlotGrant::Reader in) {
  return {ToString(in.getEndpoint()), in.getGrant(),
          static_cast<int>(in.getSlots()), Millis(in.getLeaseMillis())};
}

void WriteRenewal(const Renewal& renewal, proto::Renewal::Builder out) {
  out.setEndpoint(renewal.endpoint);
  out.setIncarnation(renewal.incarnation);
}

}  // namespace

void WriteSyncQuestion(const SyncQuestion& question,
                       proto::SyncRequest::Builder out) {
  out.initEntry().setName(question.entry.name);
  out.getEntry().setIncarnation(question.entry.incarnation);
  out.setSettingsVersion(question.settings_version);
  out.setEndpointsIndex(question.endpoints_index);
  const auto& demands = question.leases.demands;
  out.setDemandsBase(demands.base);
  WriteList(out.initDemands(demands.changed.size()), demands.changed,
            WriteDemand);
  WriteNames(out.initDemandsRemoved(demands.removed.size()), demands.removed);
  out.setGrantsBase(question.leases.grants_base);
  WriteList(out.initRenewals(question.renewals.size()), question.renewals,
            WriteRenewal);
  WriteTexts<state::BurnSample>(out.initBurn(question.burn.size()),
                                question.burn);
}

SyncQuestion ReadSyncQuestion(proto::SyncRequest::Reader in) {
  SyncQuestion question;
  question.entry = {ToString(in.getEntry().getName()),
                    in.getEntry().getIncarnation()};
  question.settings_version = in.getSettingsVersion();
  question.endpoints_index = in.getEndpointsIndex();
  auto& demands = question.leases.demands;
  demands.base = in.getDemandsBase();
  for (const auto demand : in.getDemands()) {
    demands.changed.push_back(ReadDemand(demand));
  }
  demands.removed = ReadNames(in.getDemandsRemoved());
  question.leases.grants_base = in.getGrantsBase();
  for (const auto renewal : in.getRenewals()) {
    question.renewals.push_back(
        {ToString(renewal.getEndpoint()), renewal.getIncarnation()});
  }
  question.burn = ReadTexts<state::BurnSample>(in.getBurn());
  return question;
}

void WriteSyncAnswer(const SyncAnswer& answer, proto::SyncReply::Builder out) {
  out.setIsLeader(true);
  out.setAppliedIndex(answer.applied_index);
  out.setSettingsVersion(answer.settings_version);
  out.setSettingsTree(answer.settings_tree);
  WriteTexts<state::SettingsRecord>(
      out.initSettingsRecords(answer.settings_records.size()),
      answer.settings_records);
  WriteTexts<model::Endpoint>(out.initEndpoints(answer.endpoints.size()),
                              answer.endpoints);
  const auto& grants = answer.leases.grants;
  out.setIsFullWanted(answer.leases.is_full_wanted);
  out.setGrantsBase(grants.base);
  WriteList(out.initGrants(grants.changed.size()), grants.changed, WriteGrant);
  WriteNames(out.initGrantsRemoved(grants.removed.size()), grants.removed);
}

SyncAnswer ReadSyncAnswer(proto::SyncReply::Reader in) {
  SyncAnswer answer;
  answer.applied_index = in.getAppliedIndex();
  answer.settings_version = in.getSettingsVersion();
  answer.settings_tree = ToString(in.getSettingsTree());
  answer.settings_records =
      ReadTexts<state::SettingsRecord>(in.getSettingsRecords());
  answer.endpoints = ReadTexts<model::Endpoint>(in.getEndpoints());
  auto& grants = answer.leases.grants;
  answer.leases.is_full_wanted = in.getIsFullWanted();
  grants.base = in.getGrantsBase();
  for (const auto grant : in.getGrants()) {
    grants.changed.push_back(ReadGrant(grant));
  }
  grants.removed = ReadNames(in.getGrantsRemoved());
  return answer;
}

std::string EncodeResult(const state::Result& result) {
  boost::json::object out;
  if (const auto* claim = std::get_if<state::ClaimResult>(&result)) {
    out[kClaimKind] = boost::json::value_from(*claim);
  } else {
    out[kActKind] = boost::json::value_from(std::get<state::ActResult>(result));
  }
  return boost::json::serialize(out);
}

state::Result DecodeResult(const std::string& text) {
  const boost::json::value parsed = boost::json::parse(text);
  const boost::json::object& object = parsed.as_object();
  if (const auto* claim = object.if_contains(kClaimKind)) {
    return boost::json::value_to<state::ClaimResult>(*claim);
  }
  return boost::json::value_to<state::ActResult>(object.at(kActKind));
}

}  // namespace laurelhall::control
