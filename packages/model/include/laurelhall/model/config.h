#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "laurelhall/model/fleet.h"

// The settings in force, resolved: inheritance is done, defaults are filled
// in, each value is checked. settings/ makes them out of the shared tree.
namespace laurelhall::model {

/// How requests of a service are admitted, routed and kept.
struct RequestPolicy {
  Millis default_deadline{std::chrono::seconds(30)};
  Millis max_run_time{std::chrono::minutes(5)};  ///< Longest run at a runner.
  int queue_max_requests = 500;                  ///< Per entry host.
  int64_t queue_max_bytes = 64 << 20;            ///< Per entry host.
  int64_t max_request_bytes = 8 << 20;
  int64_t max_answer_bytes = 16 << 20;
  int64_t kept_answer_bytes = 64 << 10;  ///< Larger ones are not kept.
  Millis claim_retention{std::chrono::hours(24)};
  double retry_ratio = 0.1;        ///< Retries allowed per first attempt.
  double max_ejected_share = 0.5;  ///< Of a service's endpoints at once.
};
BOOST_DESCRIBE_STRUCT(RequestPolicy,
                      (),
                      (default_deadline,
                       max_run_time,
                       queue_max_requests,
                       queue_max_bytes,
                       max_request_bytes,
                       max_answer_bytes,
                       kept_answer_bytes,
                       claim_retention,
                       retry_ratio,
                       max_ejected_share))

struct ServiceConfig {
  Service budget;
  RequestPolicy requests;
};
BOOST_DESCRIBE_STRUCT(ServiceConfig, (), (budget, requests))

/// An insurer or a franchisee.
struct Organisation {
  std::string name;
  double weight = 1;       ///< Share of a contended service.
  std::string token_hash;  ///< SHA-256 of its callers' bearer token, or empty.
};
BOOST_DESCRIBE_STRUCT(Organisation, (), (name, weight, token_hash))

/// How one vendor's endpoints say what state they are in.
struct Vendor {
  std::string name;
  std::string form;  ///< "flat" or "nested": where the words stand.
  std::map<std::string, std::string> state_words;  ///< Theirs to ours.
  std::string token_hash;  ///< SHA-256 of its endpoints' token, or empty.
};
BOOST_DESCRIBE_STRUCT(Vendor, (), (name, form, state_words, token_hash))

struct Config {
  uint64_t version = 0;
  std::map<std::string, Pool> pools;
  std::map<std::string, ServiceConfig> services;
  std::map<std::string, Organisation> organisations;
  std::map<std::string, Quota> quotas;
  std::map<std::string, Vendor> vendors;
  MeasureWeights weights;
};
BOOST_DESCRIBE_STRUCT(
    Config,
    (),
    (version, pools, services, organisations, quotas, vendors, weights))

}  // namespace laurelhall::model
