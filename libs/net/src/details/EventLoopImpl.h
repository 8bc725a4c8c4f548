#pragma once

#include "details/Asio.h"
#include "net/EventLoop.h"

namespace net {

struct EventLoop::Impl {
    /// With a concurrency hint of 1: only one thread runs it.
    boost::asio::io_context io{1};
    /// Keeps run() from returning while there is nothing to do.
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{io.get_executor()};
};

} // namespace net
