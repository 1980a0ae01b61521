// The daemon as it is, on a disk that refuses writes while a test's flag is
// set.

#include "refusing_disk.h"
#include "run_daemon_p.h"

int main(int argc, char** argv) {
  laurelhall::scenario::RefusingDisk disk;
  return laurelhall::daemon::RunDaemon(argc, argv, &disk);
}
