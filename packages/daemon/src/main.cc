#include "run_daemon_p.h"

int main(int argc, char** argv) {
  return laurelhall::daemon::RunDaemon(argc, argv, nullptr);
}
