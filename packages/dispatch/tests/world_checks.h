#pragma once

#include <doctest/doctest.h>

#include <string>

#include "world.h"

namespace laurelhall::dispatch {

/// Fails the test case for each guarantee that the world saw broken.
inline void CheckNoViolations(const World& world) {
  for (const std::string& violation : world.violations()) {
    FAIL_CHECK(violation);
  }
}

}  // namespace laurelhall::dispatch
