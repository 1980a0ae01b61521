#include "process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <system_error>
#include <thread>

namespace laurelhall::scenario {
namespace {

constexpr Millis kPollPeriod{5};
constexpr int kExecFailed = 127;

int OpenToAppend(const std::filesystem::path& file) {
  const int descriptor =
      open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (descriptor < 0) {
    throw std::system_error(errno, std::generic_category(), file.string());
  }
  return descriptor;
}

// Runs in the child: only what is safe after a fork of many threads.
[[noreturn]] void Become(char* const* arguments, int output, int errors) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  dup2(output, STDOUT_FILENO);
  dup2(errors, STDERR_FILENO);
  sigset_t none;
  sigemptyset(&none);
  sigprocmask(SIG_SETMASK, &none, nullptr);
  execv(arguments[0], arguments);
  _exit(kExecFailed);
}

}  // namespace

Process::Process(const ProcessInit& init) {
  std::vector<char*> arguments;
  for (const std::string& argument : init.arguments) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  const int output = OpenToAppend(init.output);
  const int errors = OpenToAppend(init.errors);
  m_pid = fork();
  if (m_pid == 0) {
    Become(arguments.data(), output, errors);
  }
  const int error = errno;
  close(output);
  close(errors);
  if (m_pid < 0) {
    throw std::system_error(error, std::generic_category(), "fork");
  }
}

Process::~Process() {
  Kill();
}

void Process::Signal(int signal_number) {
  if (is_running()) {
    kill(m_pid, signal_number);
  }
}

void Process::Kill() {
  if (is_running()) {
    kill(m_pid, SIGKILL);
    Reap(0);
  }
}

std::optional<int> Process::WaitExit(Millis timeout) {
  const auto last = std::chrono::steady_clock::now() + timeout;
  while (is_running() && std::chrono::steady_clock::now() < last) {
    std::this_thread::sleep_for(kPollPeriod);
  }
  return m_exit_code;
}

bool Process::is_running() {
  if (!m_exit_code) {
    Reap(WNOHANG);
  }
  return !m_exit_code;
}

void Process::Reap(int options) {
  int status = 0;
  if (waitpid(m_pid, &status, options) == m_pid) {
    m_exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
}

}  // namespace laurelhall::scenario
