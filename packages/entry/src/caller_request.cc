#include "caller_request_p.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <set>

#include "laurelhall/net/bearer.h"

namespace laurelhall::entry {
namespace {

constexpr std::string_view kServicesPrefix = "/v1/services/";
constexpr std::string_view kRequestsPart = "/requests";
constexpr std::string_view kOwnPrefix = "laurelhall-";
constexpr size_t kMaxNameBytes = 100;
constexpr size_t kMaxKeyBytes = 200;
constexpr Millis kMaxTimeout{std::chrono::hours(24)};

struct PriorityWord {
  std::string_view word;
  model::Priority priority;
};

constexpr std::array<PriorityWord, static_cast<size_t>(model::Priority::kCount)>
    kPriorityWords{{{"urgent", model::Priority::kUrgent},
                    {"standard", model::Priority::kStandard},
                    {"batch", model::Priority::kBatch}}};

std::string ToLower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char c) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  });
  return lower;
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
                  c == '-' || c == '_' || c == '.';
         });
}

const model::Organisation* Find(const model::Config& config,
                                const std::string& name) {
  const auto found = config.organisations.find(name);
  return found == config.organisations.end() ? nullptr : &found->second;
}

const model::Organisation* FindByToken(const model::Config& config,
                                       const std::string& hash) {
  const model::Organisation* found = nullptr;
  for (const auto& [name, organisation] : config.organisations) {
    if (net::IsSameSecret(organisation.token_hash, hash)) {
      found = &organisation;
    }
  }
  return found;
}

// Whom the client's certificate or else its token speaks for.
const model::Organisation* FindProven(const net::HttpRequest& request,
                                      const model::Config& config) {
  const model::Organisation* certified = Find(config, request.client_name);
  return certified != nullptr ? certified
                              : FindByToken(config, net::BearerHash(request));
}

// What is proven goes before what is said; saying alone is enough for an
// organisation without a token, where that is allowed.
const model::Organisation& Identify(const net::HttpRequest& request,
                                    const model::Config& config,
                                    bool allows_unproven) {
  const std::string name(request.headers.Get("Laurelhall-Organisation"));
  const model::Organisation* found = FindProven(request, config);
  if (found == nullptr && allows_unproven) {
    const model::Organisation* named = Find(config, name);
    found = named != nullptr && named->token_hash.empty() ? named : nullptr;
  }
  if (found == nullptr || (!name.empty() && name != found->name)) {
    throw RefusedRequest(ProblemKind::kUnauthorised,
                         "expected Laurelhall-Organisation to name an "
                         "organisation, with its own bearer token or client "
                         "certificate if it has one");
  }
  return *found;
}

model::Priority ReadPriority(const net::HttpRequest& request) {
  const std::string_view given = request.headers.Get("Laurelhall-Priority");
  if (given.empty()) {
    return model::Priority::kStandard;
  }
  for (const PriorityWord& known : kPriorityWords) {
    if (known.word == given) {
      return known.priority;
    }
  }
  throw RefusedRequest(
      ProblemKind::kBadRequest,
      "Laurelhall-Priority: expected urgent, standard or batch");
}

Millis ReadTimeout(const net::HttpRequest& request, Millis otherwise) {
  const std::string_view given = request.headers.Get("Laurelhall-Deadline");
  if (given.empty()) {
    return otherwise;
  }
  int64_t millis = 0;
  const char* end = given.data() + given.size();
  const auto [next, error] = std::from_chars(given.data(), end, millis);
  if (error != std::errc() || next != end || millis <= 0 ||
      millis > kMaxTimeout.count()) {
    throw RefusedRequest(
        ProblemKind::kBadRequest,
        "Laurelhall-Deadline: expected milliseconds from now, at most a day");
  }
  return Millis(millis);
}

std::string ReadKey(const net::HttpRequest& request) {
  const auto& fields = request.headers.fields;
  const auto is_key = [](const auto& field) {
    return ToLower(field.first) == "idempotency-key";
  };
  const auto count = std::count_if(fields.begin(), fields.end(), is_key);
  std::string key(request.headers.Get("Idempotency-Key"));
  const bool is_visible = std::all_of(
      key.begin(), key.end(), [](char c) { return c > ' ' && c < 0x7f; });
  if (count > 1 || (count == 1 && key.empty()) || key.size() > kMaxKeyBytes ||
      !is_visible) {
    throw RefusedRequest(ProblemKind::kBadRequest,
                         "Idempotency-Key: expected once, 1 to 200 visible "
                         "characters");
  }
  return key;
}

void AddDigestPart(XXH3_state_t* state, std::string_view part) {
  const uint64_t size = part.size();
  XXH3_128bits_update(state, &size, sizeof(size));
  XXH3_128bits_update(state, part.data(), part.size());
}

std::string DigestOf(const net::HttpRequest& request,
                     const std::string& target) {
  XXH3_state_t* state = XXH3_createState();
  XXH3_128bits_reset(state);
  AddDigestPart(state, request.method);
  AddDigestPart(state, target);
  AddDigestPart(state, request.body);
  const XXH128_hash_t hash = XXH3_128bits_digest(state);
  XXH3_freeState(state);
  return std::to_string(hash.high64) + "-" + std::to_string(hash.low64);
}

// Names that the caller's Connection field binds to this one connection.
std::set<std::string> ConnectionNames(const net::HttpHeaders& headers) {
  std::set<std::string> names;
  std::string name;
  for (const char c : ToLower(headers.Get("Connection")) + ",") {
    if (c == ',') {
      names.insert(std::exchange(name, {}));
    } else if (c != ' ' && c != '\t') {
      name += c;
    }
  }
  return names;
}

// What this host says itself, or what concerns this connection only, is not
// taken from callers; the server's codec drops the lengths.
net::HttpHeaders PassedOn(const net::HttpHeaders& headers, bool has_token) {
  const std::set<std::string> bound = ConnectionNames(headers);
  net::HttpHeaders passed;
  for (const auto& [name, value] : headers.fields) {
    const std::string lower = ToLower(name);
    const bool is_own = lower.starts_with(kOwnPrefix) ||
                        lower == "x-request-id" || lower == "host" ||
                        lower == "proxy-authorization" ||
                        (has_token && lower == "authorization");
    if (!is_own && !bound.contains(lower)) {
      passed.fields.emplace_back(name, value);
    }
  }
  return passed;
}

}  // namespace

std::optional<CallerPath> ParseCallerPath(std::string_view target) {
  if (!target.starts_with(kServicesPrefix)) {
    return std::nullopt;
  }
  target.remove_prefix(kServicesPrefix.size());
  const size_t end = target.find(kRequestsPart);
  if (end == std::string_view::npos || !IsName(target.substr(0, end))) {
    return std::nullopt;
  }
  const std::string_view rest = target.substr(end + kRequestsPart.size());
  if (!rest.empty() && rest.front() != '/' && rest.front() != '?') {
    return std::nullopt;
  }
  const std::string root = rest.starts_with('/') ? "" : "/";
  return CallerPath{std::string(target.substr(0, end)),
                    root + std::string(rest)};
}

CallerRequest ParseCallerRequest(const CallerPath& path,
                                 const net::HttpRequest& request,
                                 const model::Config& config,
                                 bool allows_unproven) {
  const auto service = config.services.find(path.service);
  const model::Organisation& organisation =
      Identify(request, config, allows_unproven);
  if (service == config.services.end()) {
    throw RefusedRequest(ProblemKind::kUnknownService,
                         "no service of this name is set up");
  }
  CallerRequest read;
  read.service = path.service;
  read.target = path.target;
  read.organisation = organisation.name;
  read.key = ReadKey(request);
  read.priority = ReadPriority(request);
  read.timeout =
      ReadTimeout(request, service->second.requests.default_deadline);
  read.digest = read.is_keyed() ? DigestOf(request, path.target) : "";
  read.headers = PassedOn(request.headers, !organisation.token_hash.empty());
  return read;
}

}  // namespace laurelhall::entry
