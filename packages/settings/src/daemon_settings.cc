#include "laurelhall/settings/daemon_settings.h"

#include <array>
#include <boost/json.hpp>
#include <fstream>
#include <set>
#include <span>
#include <sstream>

#include "address_p.h"

namespace laurelhall::settings {
namespace {

namespace json = boost::json;

constexpr int kMaxIoThreads = 64;

/// Where a value goes and where it came from.
struct Target {
  DaemonSettings& settings;
  const std::string& place;
  FindingList& findings;
};

using Reader = void (*)(const json::value&, Target);

/// One key of the file; a key with a dot stands in a nested section.
struct Key {
  std::string_view path;
  Reader read;
};

template <auto... Path>
auto& Reach(DaemonSettings& settings) {
  return (settings.*....*Path);
}

template <auto... Path>
void ReadText(const json::value& value, Target target) {
  if (const json::string* text = value.if_string()) {
    Reach<Path...>(target.settings) = std::string(*text);
  } else {
    target.findings.Add(target.place, "expected a text");
  }
}

template <auto Member>
void ReadBoolean(const json::value& value, Target target) {
  if (value.is_bool()) {
    target.settings.*Member = value.get_bool();
  } else {
    target.findings.Add(target.place, "expected true or false");
  }
}

// A text that is no address is kept too: one finding for it is enough.
template <auto Member>
void ReadAddress(const json::value& value, Target target) {
  const json::string* text = value.if_string();
  if (text != nullptr) {
    target.settings.*Member = std::string(*text);
  }
  if (text == nullptr || !ParseAddress(*text)) {
    target.findings.Add(target.place, kExpectedAddress);
  }
}

template <auto Member>
void ReadDuration(const json::value& value, Target target) {
  try {
    target.settings.*Member =
        ParseDuration(std::string_view(value.as_string()));
  } catch (const std::exception&) {
    target.findings.Add(target.place, "expected a duration such as \"30s\"");
  }
}

void ReadIoThreads(const json::value& value, Target target) {
  const int64_t* count = value.if_int64();
  if (count != nullptr && *count >= 1 && *count <= kMaxIoThreads) {
    target.settings.io_threads = static_cast<int>(*count);
  } else {
    target.findings.Add(target.place, "expected a whole number from 1 to " +
                                          std::to_string(kMaxIoThreads));
  }
}

void ReadLogLevel(const json::value& value, Target target) {
  static const std::set<std::string_view> levels{"trace",   "debug", "info",
                                                 "warning", "error", "off"};
  if (value.is_string() && levels.contains(value.get_string())) {
    target.settings.log_level = std::string(value.get_string());
  } else {
    target.findings.Add(target.place,
                        "expected trace, debug, info, warning, error or off");
  }
}

void ReadLogFormat(const json::value& value, Target target) {
  if (value == "text" || value == "json") {
    target.settings.log_format = std::string(value.get_string());
  } else {
    target.findings.Add(target.place, "expected \"text\" or \"json\"");
  }
}

void ReadRole(const json::value& value, Target target) {
  if (value == "entry") {
    target.settings.is_entry = true;
  } else if (value == "control") {
    target.settings.is_control = true;
  } else {
    target.findings.Add(target.place, "expected \"entry\" or \"control\"");
  }
}

// Reads each element of a list with its own place.
void ReadEach(const json::value& value, Target target, Reader read) {
  const json::array* list = value.if_array();
  if (list == nullptr) {
    target.findings.Add(target.place, "expected a list");
    return;
  }
  for (size_t i = 0; i < list->size(); ++i) {
    const std::string place = target.place + "[" + std::to_string(i) + "]";
    read((*list)[i], {target.settings, place, target.findings});
  }
}

void ReadRoles(const json::value& value, Target target) {
  ReadEach(value, target, &ReadRole);
}

void ReadSeed(const json::value& value, Target target) {
  const json::string* text = value.if_string();
  if (text == nullptr || !ParseAddress(*text)) {
    target.findings.Add(target.place, kExpectedAddress);
    return;
  }
  target.settings.seeds.emplace_back(*text);
}

void ReadSeeds(const json::value& value, Target target) {
  ReadEach(value, target, &ReadSeed);
}

template <auto Member>
void ReadBound(const json::value& value, Target target) {
  try {
    target.settings.dispatch_bounds.*Member =
        ParseDuration(std::string_view(value.as_string()));
  } catch (const std::exception&) {
    target.findings.Add(target.place, "expected a duration such as \"30s\"");
  }
}

void ReadRemoteDataFactor(const json::value& value, Target target) {
  const double factor = value.is_number() ? value.to_number<double>() : 0;
  if (factor >= 1) {
    target.settings.dispatch_bounds.remote_data_factor = factor;
  } else {
    target.findings.Add(target.place, "expected a number of at least 1");
  }
}

void ReadMechanism(const json::value& value, Target target) {
  const json::string* text = value.if_string();
  const auto mechanism =
      text == nullptr ? std::nullopt
                      : scheduling::FindMechanism(std::string_view(*text));
  if (!mechanism) {
    target.findings.Add(target.place, "expected the name of a mechanism");
    return;
  }
  target.settings.mechanisms.SwitchOff(*mechanism);
}

void ReadMechanisms(const json::value& value, Target target) {
  ReadEach(value, target, &ReadMechanism);
}

struct PeerKey {
  std::string_view name;
  std::string ControlPeer::*member;
};

constexpr std::array<PeerKey, 3> kPeerKeys{{
    {"name", &ControlPeer::name},
    {"address", &ControlPeer::address},
    {"availability_zone", &ControlPeer::availability_zone},
}};

void ReadPeerMember(const json::key_value_pair& member,
                    ControlPeer& peer,
                    Target target) {
  const std::string place = target.place + "." + std::string(member.key());
  for (const PeerKey& key : kPeerKeys) {
    if (key.name != member.key()) {
      continue;
    }
    if (member.value().is_string()) {
      peer.*key.member = std::string(member.value().get_string());
    } else {
      target.findings.Add(place, "expected a text");
    }
    return;
  }
  target.findings.Add(place, "unknown key");
}

void ReadPeer(const json::value& value, Target target) {
  const json::object* members = value.if_object();
  if (members == nullptr) {
    target.findings.Add(target.place, "expected an object");
    return;
  }
  ControlPeer peer;
  for (const auto& member : *members) {
    ReadPeerMember(member, peer, target);
  }
  if (peer.name.empty()) {
    target.findings.Add(target.place + ".name", "expected a name");
  }
  if (peer.availability_zone.empty()) {
    target.findings.Add(target.place + ".availability_zone", "expected a name");
  }
  const auto address = ParseAddress(peer.address);
  if (!address || address->port == 0) {
    target.findings.Add(target.place + ".address", kExpectedAddress);
  }
  target.settings.control_peers.push_back(std::move(peer));
}

void ReadPeers(const json::value& value, Target target) {
  ReadEach(value, target, &ReadPeer);
}

constexpr auto kInnerTls = &DaemonSettings::inner_tls;
constexpr auto kCallerTls = &DaemonSettings::caller_tls;
constexpr auto kOperatorTls = &DaemonSettings::operator_tls;

constexpr std::array kKeys{
    Key{"cluster", &ReadText<&DaemonSettings::cluster>},
    Key{"name", &ReadText<&DaemonSettings::name>},
    Key{"region", &ReadText<&DaemonSettings::region>},
    Key{"availability_zone", &ReadText<&DaemonSettings::availability_zone>},
    Key{"roles", &ReadRoles},
    Key{"io_threads", &ReadIoThreads},
    Key{"drain_grace", &ReadDuration<&DaemonSettings::drain_grace>},
    Key{"trace_file", &ReadText<&DaemonSettings::trace_file>},
    Key{"addresses.inner", &ReadAddress<&DaemonSettings::inner_address>},
    Key{"addresses.inner_reached_at",
        &ReadAddress<&DaemonSettings::inner_reached_at>},
    Key{"addresses.caller", &ReadAddress<&DaemonSettings::caller_address>},
    Key{"addresses.operator", &ReadAddress<&DaemonSettings::operator_address>},
    Key{"addresses.jobs", &ReadAddress<&DaemonSettings::jobs_address>},
    Key{"addresses.readiness",
        &ReadAddress<&DaemonSettings::readiness_address>},
    Key{"addresses.scheduling",
        &ReadAddress<&DaemonSettings::scheduling_address>},
    Key{"addresses.metrics", &ReadAddress<&DaemonSettings::metrics_address>},
    Key{"addresses.hosts", &ReadAddress<&DaemonSettings::hosts_address>},
    Key{"control.seeds", &ReadSeeds},
    Key{"control.admits_newcomers",
        &ReadBoolean<&DaemonSettings::admits_newcomers>},
    Key{"control.guards_zones", &ReadBoolean<&DaemonSettings::guards_zones>},
    Key{"trusted_network.inner",
        &ReadBoolean<&DaemonSettings::is_inner_trusted>},
    Key{"trusted_network.scheduling",
        &ReadBoolean<&DaemonSettings::is_scheduling_trusted>},
    Key{"scheduling.longest_lease",
        &ReadBound<&dispatch::DispatchBounds::longest_lease>},
    Key{"scheduling.maintenance",
        &ReadBound<&dispatch::DispatchBounds::maintenance>},
    Key{"scheduling.job_memory",
        &ReadBound<&dispatch::DispatchBounds::job_memory>},
    Key{"scheduling.remote_data_factor", &ReadRemoteDataFactor},
    Key{"scheduling.without", &ReadMechanisms},
    Key{"control.data_folder", &ReadText<&DaemonSettings::data_folder>},
    Key{"control.may_bootstrap", &ReadBoolean<&DaemonSettings::may_bootstrap>},
    Key{"control.peers", &ReadPeers},
    Key{"keys.cluster_key_file", &ReadText<&DaemonSettings::cluster_key_file>},
    Key{"keys.operator_tokens_file",
        &ReadText<&DaemonSettings::operator_tokens_file>},
    Key{"log.level", &ReadLogLevel},
    Key{"log.format", &ReadLogFormat},
    Key{"operators.allow_drills", &ReadBoolean<&DaemonSettings::allows_drills>},
    Key{"tls.inner.certificate_file",
        &ReadText<kInnerTls, &TlsFiles::certificate_file>},
    Key{"tls.inner.key_file", &ReadText<kInnerTls, &TlsFiles::key_file>},
    Key{"tls.inner.ca_file", &ReadText<kInnerTls, &TlsFiles::ca_file>},
    Key{"tls.caller.terminated_by_balancer",
        &ReadBoolean<&DaemonSettings::is_caller_tls_at_balancer>},
    Key{"tls.caller.certificate_file",
        &ReadText<kCallerTls, &TlsFiles::certificate_file>},
    Key{"tls.caller.key_file", &ReadText<kCallerTls, &TlsFiles::key_file>},
    Key{"tls.caller.client_ca_file",
        &ReadText<kCallerTls, &TlsFiles::client_ca_file>},
    Key{"tls.caller.ca_file", &ReadText<kCallerTls, &TlsFiles::ca_file>},
    Key{"tls.operator.certificate_file",
        &ReadText<kOperatorTls, &TlsFiles::certificate_file>},
    Key{"tls.operator.key_file", &ReadText<kOperatorTls, &TlsFiles::key_file>},
    Key{"tls.operator.client_ca_file",
        &ReadText<kOperatorTls, &TlsFiles::client_ca_file>},
    Key{"tls.operator.ca_file", &ReadText<kOperatorTls, &TlsFiles::ca_file>},
};

const Key* FindKey(std::string_view path) {
  for (const Key& key : kKeys) {
    if (key.path == path) {
      return &key;
    }
  }
  return nullptr;
}

bool IsSectionPath(const std::string& path) {
  for (const Key& key : kKeys) {
    if (key.path.starts_with(path + ".")) {
      return true;
    }
  }
  return false;
}

// Reads the members of one (nested) section; `path` is "" or ends in a dot.
void ReadSection(const json::object& members,
                 const std::string& path,
                 Target target) {
  for (const auto& member : members) {
    const std::string key_path = path + std::string(member.key());
    const std::string place = target.place + ": " + key_path;
    const Target inner{target.settings, place, target.findings};
    if (const Key* key = FindKey(key_path)) {
      key->read(member.value(), inner);
    } else if (!IsSectionPath(key_path)) {
      target.findings.Add(place, "unknown key");
    } else if (const json::object* section = member.value().if_object()) {
      ReadSection(*section, key_path + ".", target);
    } else {
      target.findings.Add(place, "expected an object");
    }
  }
}

/// What a daemon's file lacks for its roles.
class RoleCheck {
 public:
  RoleCheck(const DaemonSettings& settings,
            const std::string& place,
            FindingList& findings)
      : m_settings(settings), m_place(place), m_findings(findings) {}

  void Run() {
    Require(m_settings.name, "name", "expected a name");
    Require(m_settings.availability_zone, "availability_zone",
            "expected a name");
    Require(m_settings.cluster, "cluster", "expected a name");
    if (!m_settings.is_entry && !m_settings.is_control) {
      Add("roles", "expected \"entry\", \"control\" or both");
    }
    CheckPeers();
    CheckRoles();
    CheckKeys();
    CheckInnerTls();
    CheckSchedulingTrust();
    CheckTls(m_settings.caller_tls, "tls.caller");
    CheckTls(m_settings.operator_tls, "tls.operator");
  }

 private:
  void Add(const std::string& key, const std::string& text) {
    m_findings.Add(m_place + ": " + key, text);
  }

  void Require(const std::string& value,
               const std::string& key,
               const std::string& text) {
    if (value.empty()) {
      Add(key, text);
    }
  }

  void CheckPeers() {
    if (m_settings.control_peers.empty()) {
      Add("control.peers", "expected at least one control host, or seeds");
    }
    std::set<std::string> names;
    for (const ControlPeer& peer : m_settings.control_peers) {
      if (!names.insert(peer.name).second) {
        Add("control.peers", "\"" + peer.name + "\" stands twice");
      }
    }
  }

  void CheckRoles() {
    if (m_settings.is_control) {
      Require(m_settings.data_folder, "control.data_folder",
              "expected a folder: a control host keeps its state there");
      Require(m_settings.inner_address, "addresses.inner", kExpectedAddress);
    }
    const bool is_job_entry =
        m_settings.is_entry && !m_settings.jobs_address.empty();
    if (is_job_entry) {
      Require(m_settings.readiness_address, "addresses.readiness",
              kExpectedAddress);
    } else if (m_settings.is_entry) {
      Require(m_settings.caller_address, "addresses.caller", kExpectedAddress);
      Require(m_settings.operator_address, "addresses.operator",
              kExpectedAddress);
    }
  }

  // These listeners speak plain HTTP and ask for no proof.
  void CheckSchedulingTrust() {
    for (const std::string* address :
         {&m_settings.jobs_address, &m_settings.readiness_address,
          &m_settings.scheduling_address, &m_settings.metrics_address}) {
      if (IsOffLoopback(*address) && !m_settings.is_scheduling_trusted) {
        Add("trusted_network.scheduling",
            "expected true: " + *address + " is served off loopback");
      }
    }
  }

  bool IsInnerOpen() const {
    if (m_settings.is_inner_trusted) {
      return false;
    }
    bool is_open = IsOffLoopback(m_settings.inner_address) ||
                   IsOffLoopback(m_settings.inner_reached_at);
    for (const ControlPeer& peer : m_settings.control_peers) {
      is_open = is_open || IsOffLoopback(peer.address);
    }
    return is_open;
  }

  void CheckKeys() {
    if (IsInnerOpen() && m_settings.cluster_key_file.empty()) {
      Add("keys.cluster_key_file",
          "expected a file: the inner protocol leaves loopback");
    }
    if (IsOffLoopback(m_settings.operator_address) &&
        m_settings.operator_tokens_file.empty()) {
      Add("keys.operator_tokens_file",
          "expected a file: operators are served off loopback");
    }
    if (IsOffLoopback(m_settings.operator_address)) {
      Require(m_settings.operator_tls.certificate_file,
              "tls.operator.certificate_file",
              "expected a file: tokens go off loopback");
    }
    if (IsOffLoopback(m_settings.caller_address) &&
        !m_settings.is_caller_tls_at_balancer) {
      Require(m_settings.caller_tls.certificate_file,
              "tls.caller.certificate_file",
              "expected a file, or terminated_by_balancer: callers come from "
              "off loopback");
    }
  }

  void CheckInnerTls() {
    const TlsFiles& files = m_settings.inner_tls;
    const bool is_off = files.certificate_file.empty() &&
                        files.key_file.empty() && files.ca_file.empty();
    const bool is_whole = !files.certificate_file.empty() &&
                          !files.key_file.empty() && !files.ca_file.empty();
    if (!is_off && !is_whole) {
      Add("tls.inner",
          "expected certificate_file, key_file and ca_file together");
    }
    if (is_off && IsInnerOpen()) {
      Add("tls.inner", "expected files: the inner protocol leaves loopback");
    }
  }

  void CheckTls(const TlsFiles& files, const std::string& key) {
    if (files.certificate_file.empty() != files.key_file.empty()) {
      Add(key, "expected certificate_file and key_file together");
    }
    if (!files.client_ca_file.empty() && files.certificate_file.empty()) {
      Add(key, "expected certificate_file with client_ca_file");
    }
  }

  const DaemonSettings& m_settings;
  const std::string& m_place;
  FindingList& m_findings;
};

// A seed is known by its inner address, which stands for its name as well.
void AddSeedPeers(DaemonSettings& settings) {
  const size_t port = settings.inner_address.rfind(':');
  if (port == std::string::npos) {
    return;
  }
  for (const std::string& seed : settings.seeds) {
    const std::string address =
        seed.substr(0, seed.rfind(':')) + settings.inner_address.substr(port);
    settings.control_peers.push_back({address, address, ""});
  }
}

}  // namespace

bool IsOffLoopback(const std::string& address) {
  const auto parsed = ParseAddress(address);
  return parsed && !parsed->is_loopback;
}

DaemonSettings ParseDaemonSettings(const std::string& text,
                                   const std::string& place) {
  FindingList findings;
  json::error_code error;
  const json::value root = json::parse(text, error);
  if (error || !root.is_object()) {
    const std::string why = error ? ": " + error.message() : "";
    throw FindingsError({{place, "expected a JSON object" + why}});
  }
  DaemonSettings settings;
  ReadSection(root.get_object(), "", {settings, place, findings});
  AddSeedPeers(settings);
  RoleCheck(settings, place, findings).Run();
  findings.ThrowIfAny();
  return settings;
}

DaemonSettings ReadDaemonSettings(const std::string& file) {
  const std::ifstream in(file, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) {
    throw FindingsError({{file, "expected a readable file"}});
  }
  return ParseDaemonSettings(text.str(), file);
}

}  // namespace laurelhall::settings
