#include "record/Latency.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <sstream>

namespace record {

namespace acc = boost::accumulators;

namespace {

using Quantile = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;
constexpr double Median = 0.5;
constexpr double P95 = 0.95;
constexpr double P99 = 0.99;

} // namespace

struct Latency::Impl {
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>> totals;
    Quantile median{acc::quantile_probability = Median};
    Quantile p95{acc::quantile_probability = P95};
    Quantile p99{acc::quantile_probability = P99};
};

Latency::Latency()
    : impl_(std::make_unique<Impl>())
{
}

Latency::~Latency() = default;

void Latency::add(std::chrono::nanoseconds duration)
{
    const double seconds = std::chrono::duration<double>(duration).count();
    impl_->totals(seconds);
    impl_->median(seconds);
    impl_->p95(seconds);
    impl_->p99(seconds);
}

std::string Latency::exposition(const std::string &name) const
{
    std::ostringstream out;
    out << "# TYPE " << name << " summary\n";
    if (acc::count(impl_->totals) > 0) {
        out << name << "{quantile=\"0.5\"} " << acc::p_square_quantile(impl_->median) << "\n";
        out << name << "{quantile=\"0.95\"} " << acc::p_square_quantile(impl_->p95) << "\n";
        out << name << "{quantile=\"0.99\"} " << acc::p_square_quantile(impl_->p99) << "\n";
    }
    out << name << "_sum " << acc::sum(impl_->totals) << "\n";
    out << name << "_count " << acc::count(impl_->totals) << "\n";
    return out.str();
}

} // namespace record
