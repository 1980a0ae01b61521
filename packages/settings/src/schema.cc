#include "schema_p.h"

#include <array>
#include <type_traits>
#include <utility>

namespace laurelhall::settings {
namespace {

namespace json = boost::json;
using model::MeasureWeights;
using model::Organisation;
using model::Pool;
using model::Quota;
using model::RequestPolicy;
using model::Resources;
using model::Service;
using model::ServiceConfig;
using model::Vendor;

constexpr double kSecond = 1000;
constexpr double kHour = 3600 * kSecond;
constexpr double kDay = 24 * kHour;
constexpr double kMegabyte = 1 << 20;
constexpr double kGigabyte = 1 << 30;
constexpr size_t kTokenHashLength = 64;  // SHA-256 in hexadecimal.

template <typename T>
struct MemberPointer;
template <typename OwnerType, typename ValueType>
struct MemberPointer<ValueType OwnerType::*> {
  using Owner = OwnerType;
  using Value = ValueType;
};

// Follows member pointers from the record's struct to one member.
template <auto First, auto... Rest, typename AnyRecord>
decltype(auto) Reach(AnyRecord& record) {
  using Owner = typename MemberPointer<decltype(First)>::Owner;
  auto& owner = std::get<Owner>(record);
  return ((owner.*First).*....*Rest);
}

template <typename T>
constexpr SettingType TypeOf() {
  if constexpr (std::is_same_v<T, Millis>) {
    return SettingType::kDuration;
  } else if constexpr (std::is_same_v<T, bool>) {
    return SettingType::kBoolean;
  } else if constexpr (std::is_integral_v<T>) {
    return SettingType::kInteger;
  } else if constexpr (std::is_floating_point_v<T>) {
    return SettingType::kNumber;
  } else if constexpr (std::is_same_v<T, std::string>) {
    return SettingType::kText;
  } else if constexpr (std::is_same_v<T, std::vector<std::string>>) {
    return SettingType::kNames;
  } else {
    return SettingType::kWords;
  }
}

template <auto... Path>
void SetMember(Record& record, const json::value& value) {
  auto& member = Reach<Path...>(record);
  using Value = std::remove_reference_t<decltype(member)>;
  if constexpr (std::is_same_v<Value, Millis>) {
    member = ParseDuration(std::string_view(value.as_string()));
  } else if constexpr (std::is_floating_point_v<Value>) {
    member = value.to_number<Value>();
  } else {
    member = json::value_to<Value>(value);
  }
}

template <auto... Path>
json::value GetMember(const Record& record) {
  const auto& member = Reach<Path...>(record);
  using Value = std::remove_cvref_t<decltype(member)>;
  if constexpr (std::is_same_v<Value, Millis>) {
    return json::value(FormatDuration(member));
  } else {
    return json::value_from(member);
  }
}

template <auto... Path>
Setting Row(std::string_view section,
            std::string_view name,
            Bounds bounds,
            std::string_view description,
            Setting::Check special = nullptr) {
  const Record* none = nullptr;
  using Value = std::remove_cvref_t<decltype(Reach<Path...>(*none))>;
  return {section,     name,    TypeOf<Value>(),     bounds,
          description, special, &SetMember<Path...>, &GetMember<Path...>};
}

std::optional<std::string> CheckForm(const json::value& value) {
  const std::string_view text = value.get_string();
  if (text == "flat" || text == "nested") {
    return std::nullopt;
  }
  return "expected \"flat\" or \"nested\"";
}

std::optional<std::string> CheckTokenHash(const json::value& value) {
  const std::string_view text = value.get_string();
  const bool is_hex =
      text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
  if (text.empty() || (text.size() == kTokenHashLength && is_hex)) {
    return std::nullopt;
  }
  return "expected a SHA-256 of 64 lower-case hexadecimal digits, or \"\"";
}

std::vector<Setting> PoolSettings() {
  return {
      Row<&Pool::target_hosts>("pools", "target_hosts", {0, 100'000},
                               "Hosts that the load needs, without buffer."),
      Row<&Pool::may_lend>("pools", "may_lend", {},
                           "Whether its buffer hosts may serve other pools."),
      Row<&Pool::host_shape, &Resources::processors>(
          "pools", "host_processors", {0, 4096},
          "Processors that a host must offer at least to join."),
      Row<&Pool::host_shape, &Resources::memory_gb>(
          "pools", "host_memory_gb", {0, 65'536},
          "Memory in GB that a host must offer at least to join."),
      Row<&Pool::host_shape, &Resources::accelerators>(
          "pools", "host_accelerators", {0, 1024},
          "Accelerators that a host must offer at least to join."),
      Row<&Pool::maintenance_period>(
          "pools", "maintenance_period", {kHour, 400 * kDay},
          "Longest time between two maintenances of a host."),
      Row<&Pool::drain_timeout>(
          "pools", "drain_timeout", {kSecond, 7 * kDay},
          "How long a draining host may take until it is empty."),
      Row<&Pool::warm_up>("pools", "warm_up", {0, kDay},
                          "How long a returned host warms up before it counts "
                          "as capacity."),
  };
}

std::vector<Setting> BudgetSettings() {
  return {
      Row<&ServiceConfig::budget, &Service::organisation>(
          "services", "organisation", {},
          "The organisation that the service is for; empty if it is shared."),
      Row<&ServiceConfig::budget, &Service::pools>(
          "services", "pools", {}, "Pools whose hosts run the service."),
      Row<&ServiceConfig::budget, &Service::min_available>(
          "services", "min_available", {0, 100'000},
          "Hosts that must be available at any moment."),
      Row<&ServiceConfig::budget, &Service::max_away_share>(
          "services", "max_away_share", {0, 1},
          "Largest share of its hosts that may be away, planned and failed "
          "together."),
      Row<&ServiceConfig::budget, &Service::objective>(
          "services", "objective", {0.5, 0.999999},
          "Share of requests that must succeed over the window."),
      Row<&ServiceConfig::budget, &Service::objective_window>(
          "services", "objective_window", {kHour, 90 * kDay},
          "Window over which the objective is measured."),
  };
}

std::vector<Setting> RequestSettings() {
  return {
      Row<&ServiceConfig::requests, &RequestPolicy::default_deadline>(
          "services", "default_deadline", {1, kDay},
          "Deadline of a request that names none."),
      Row<&ServiceConfig::requests, &RequestPolicy::max_run_time>(
          "services", "max_run_time", {1, 7 * kDay},
          "Longest run of one request at a runner."),
      Row<&ServiceConfig::requests, &RequestPolicy::queue_max_requests>(
          "services", "queue_max_requests", {0, 1'000'000},
          "Requests that may wait at one entry host."),
      Row<&ServiceConfig::requests, &RequestPolicy::queue_max_bytes>(
          "services", "queue_max_bytes", {0, 64 * kGigabyte},
          "Bytes of requests that may wait at one entry host."),
      Row<&ServiceConfig::requests, &RequestPolicy::max_request_bytes>(
          "services", "max_request_bytes", {0, kGigabyte},
          "Largest body of a request."),
      Row<&ServiceConfig::requests, &RequestPolicy::max_answer_bytes>(
          "services", "max_answer_bytes", {0, kGigabyte},
          "Largest body of an answer."),
      Row<&ServiceConfig::requests, &RequestPolicy::kept_answer_bytes>(
          "services", "kept_answer_bytes", {0, 4 * kMegabyte},
          "Largest answer that is kept for resends of its request."),
      Row<&ServiceConfig::requests, &RequestPolicy::claim_retention>(
          "services", "claim_retention", {kSecond, 30 * kDay},
          "How long an idempotency key and its answer are kept."),
      Row<&ServiceConfig::requests, &RequestPolicy::retry_ratio>(
          "services", "retry_ratio", {0, 1},
          "Retries allowed per first attempt."),
      Row<&ServiceConfig::requests, &RequestPolicy::max_ejected_share>(
          "services", "max_ejected_share", {0, 1},
          "Largest share of the endpoints that is ejected at once."),
  };
}

std::vector<Setting> OtherSettings() {
  return {
      Row<&Organisation::weight>("organisations", "weight", {0.01, 1000},
                                 "Share of a contended service."),
      Row<&Organisation::token_hash>(
          "organisations", "token_hash", {},
          "SHA-256 of its callers' bearer token; empty admits any caller on "
          "loopback, and none elsewhere but by client certificate.",
          &CheckTokenHash),
      Row<&Quota::guaranteed, &Resources::processors>(
          "quotas", "processors", {0, 10'000'000}, "Guaranteed processors."),
      Row<&Quota::guaranteed, &Resources::memory_gb>(
          "quotas", "memory_gb", {0, 100'000'000}, "Guaranteed memory in GB."),
      Row<&Quota::guaranteed, &Resources::accelerators>(
          "quotas", "accelerators", {0, 1'000'000}, "Guaranteed accelerators."),
      Row<&Quota::may_borrow>("quotas", "may_borrow", {},
                              "Whether the team may use what others leave."),
      Row<&Vendor::form>("vendors", "form", {},
                         "Where the state stands in the vendor's "
                         "announcements: \"flat\" or \"nested\".",
                         &CheckForm),
      Row<&Vendor::state_words>("vendors", "state_words", {},
                                "The vendor's words for ready, leaving and "
                                "gone."),
      Row<&Vendor::token_hash>(
          "vendors", "token_hash", {},
          "SHA-256 of the bearer token of its endpoints' announcements; empty "
          "admits any endpoint on loopback, and none elsewhere but by client "
          "certificate.",
          &CheckTokenHash),
      Row<&MeasureWeights::buffer>("weights", "buffer", {0, 1000},
                                   "Weight of buffer capacity."),
      Row<&MeasureWeights::rollout_time>("weights", "rollout_time", {0, 1000},
                                         "Weight of a roll-out's time."),
      Row<&MeasureWeights::host_moves>("weights", "host_moves", {0, 1000},
                                       "Weight of the number of host moves."),
  };
}

std::vector<Setting> AllSettings() {
  std::vector<Setting> all;
  for (const auto& rows :
       {PoolSettings(), BudgetSettings(), RequestSettings(), OtherSettings()}) {
    all.insert(all.end(), rows.begin(), rows.end());
  }
  return all;
}

// A record of `Owner` whose member `Name` is the node's name.
template <auto Name>
Record MakeNamed(const std::string& node) {
  typename MemberPointer<decltype(Name)>::Owner made;
  made.*Name = node;
  return made;
}

Record MakeService(const std::string& node) {
  ServiceConfig made;
  made.budget.name = node;
  return made;
}

Record MakeWeights(const std::string&) {
  return MeasureWeights{};
}

template <auto Table>
void StoreNamed(model::Config& config, const std::string& node, Record record) {
  using Map = typename MemberPointer<decltype(Table)>::Value;
  (config.*Table)[node] = std::get<typename Map::mapped_type>(record);
}

void StoreWeights(model::Config& config, const std::string&, Record record) {
  config.weights = std::get<MeasureWeights>(record);
}

const std::array<Section, 6> kSections{{
    {"pools", true, true, "Pools of hosts.", &MakeNamed<&Pool::name>,
     &StoreNamed<&model::Config::pools>},
    {"services", true, true,
     "Services, their availability budgets and how their requests are handled.",
     &MakeService, &StoreNamed<&model::Config::services>},
    {"organisations", true, false, "Insurers and franchisees.",
     &MakeNamed<&Organisation::name>,
     &StoreNamed<&model::Config::organisations>},
    {"quotas", true, false, "What each team is guaranteed of the fleet.",
     &MakeNamed<&Quota::team>, &StoreNamed<&model::Config::quotas>},
    {"vendors", true, false, "How each vendor's endpoints state themselves.",
     &MakeNamed<&Vendor::name>, &StoreNamed<&model::Config::vendors>},
    {"weights", false, false, "Weights of the three measures.", &MakeWeights,
     &StoreWeights},
}};

}  // namespace

std::span<const Section> Sections() {
  return kSections;
}

std::span<const Setting> Settings() {
  static const std::vector<Setting> settings = AllSettings();
  return settings;
}

const Section* FindSection(std::string_view section) {
  for (const Section& candidate : Sections()) {
    if (candidate.name == section) {
      return &candidate;
    }
  }
  return nullptr;
}

const Setting* FindSetting(std::string_view section, std::string_view name) {
  for (const Setting& candidate : Settings()) {
    if (candidate.section == section && candidate.name == name) {
      return &candidate;
    }
  }
  return nullptr;
}

}  // namespace laurelhall::settings
