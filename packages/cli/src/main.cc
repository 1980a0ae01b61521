#include <unistd.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "laurelhall/net/http.h"
#include "session_p.h"

namespace {

using laurelhall::cli::Defaults;
using laurelhall::cli::Environment;

Defaults DefaultsOfEnvironment() {
  Defaults defaults;
  if (const char* server = std::getenv("LAURELHALL_SERVER")) {
    defaults.server = server;
  }
  if (const char* user = std::getenv("USER")) {
    defaults.operator_name = user;
  }
  return defaults;
}

laurelhall::net::HttpResponse Fetch(const std::string& address,
                                    const laurelhall::net::HttpRequest& request,
                                    laurelhall::Millis timeout) {
  return laurelhall::net::Fetch(address, request, timeout);
}

void Sleep(laurelhall::Millis duration) {
  std::this_thread::sleep_for(duration);
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const bool is_terminal =
      ::isatty(STDOUT_FILENO) != 0 && std::getenv("NO_COLOR") == nullptr;
  const Environment environment{Fetch,     Sleep,       std::cout,
                                std::cerr, is_terminal, DefaultsOfEnvironment(),
                                &std::cin};
  return static_cast<int>(
      laurelhall::cli::RunCommandLine(arguments, environment));
}
