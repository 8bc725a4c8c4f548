#pragma once

#include <chrono>
#include <memory>
#include <string>

namespace record {

/// Running quantiles of a duration by the P² algorithm, in constant memory. Not thread-safe.
class Latency
{
public:
    Latency();
    ~Latency();

    void add(std::chrono::nanoseconds duration);

    /// Lines of the Prometheus text exposition for a summary of that name, in seconds.
    std::string exposition(const std::string &name) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace record
