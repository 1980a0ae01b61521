#pragma once

namespace laurelhall::storage {
class FileSystem;
}

namespace laurelhall::daemon {

/// The program: reads the command line, then runs until it is told to stop.
///
/// @param files Holds the data folder; null: the machine's own.
/// @returns The exit code, where no daemon was run; else the process ends.
/// @pre Called once, on the main thread, before other threads are made.
int RunDaemon(int argc, char** argv, storage::FileSystem* files);

}  // namespace laurelhall::daemon
