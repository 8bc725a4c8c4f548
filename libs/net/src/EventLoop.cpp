#include "net/EventLoop.h"

#include "details/EventLoopImpl.h"

#include <exception>

namespace net {

EventLoop::EventLoop()
    : impl_(std::make_unique<Impl>())
{
}

EventLoop::~EventLoop() = default;

void EventLoop::run()
{
    for (bool hasEnded = false; !hasEnded;) {
        try {
            impl_->io.run();
            hasEnded = true;
        } catch (const std::exception &exception) {
            if (!report_) {
                throw;
            }
            report_(exception.what());
        }
    }
}

void EventLoop::reportExceptions(std::function<void(std::string_view)> report)
{
    report_ = std::move(report);
}

void EventLoop::stop()
{
    impl_->io.stop();
}

void EventLoop::post(std::function<void()> task)
{
    boost::asio::post(impl_->io, std::move(task));
}

void EventLoop::after(std::chrono::nanoseconds delay, std::function<void()> task)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(impl_->io, delay);
    timer->async_wait([timer, task = std::move(task)](const boost::system::error_code &error) {
        if (!error) {
            task();
        }
    });
}

EventLoop::Impl &EventLoop::impl()
{
    return *impl_;
}

} // namespace net
