// The daemon as it is, on a disk that refuses writes when a test says so.

#include "refusing_disk.h"
#include "run_daemon_p.h"

int main(int argc, char** argv) {
  laurelhall::scenario::RefusingDisk disk;
  return laurelhall::daemon::RunDaemon(argc, argv, &disk);
}
