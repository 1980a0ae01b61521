#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <thread>
#include <vector>

#include "laurelhall/net/io_threads.h"

namespace laurelhall::net {

class AsioTimerService;

struct IoThreads::Impl {
  explicit Impl(int thread_count);
  ~Impl();

  boost::asio::io_context context;
  std::unique_ptr<AsioTimerService> timers;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  std::vector<std::thread> threads;
};

}  // namespace laurelhall::net
