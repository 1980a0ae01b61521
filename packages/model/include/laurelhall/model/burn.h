#pragma once

#include <cstdint>
#include <string>

#include "laurelhall/base/time.h"
#include "laurelhall/model/json.h"

// Service-level samples, as recorded and as the burn of a budget is read from.
namespace laurelhall::model {

/// Requests of one service in one minute, and what spoilt the bad ones.
struct BurnSample {
  std::string service;
  WallTime at{};  ///< Start of the minute.
  int64_t good = 0;
  int64_t bad_failure = 0;
  int64_t bad_wave = 0;
  int64_t bad_overload = 0;
};
BOOST_DESCRIBE_STRUCT(BurnSample,
                      (),
                      (service, at, good, bad_failure, bad_wave, bad_overload))

}  // namespace laurelhall::model
