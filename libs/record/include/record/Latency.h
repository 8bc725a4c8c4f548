#pragma once

#include <chrono>
#include <memory>
#include <string>

namespace record {

/// Statistics of a latency over all measurements so far: count, sum, and estimates of the 50 %, 95 % and 99 % quantiles by the P² algorithm,
/// in constant memory. Not thread-safe.
class Latency
{
public:
    Latency();
    ~Latency();

    /// Adds one measurement.
    void add(std::chrono::nanoseconds duration);

    /// Returns the lines of a summary metric with this name in the Prometheus text format, in seconds. The quantiles are left out as long as
    /// there are no measurements.
    std::string exposition(const std::string &name) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace record
