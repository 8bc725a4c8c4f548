#include "Flow.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <iostream>
#include <numeric>
#include <sstream>

namespace load {

namespace {

constexpr int UsageErrorExitCode = 2;
/// Sizes of the chart, in pixels.
constexpr int PlotWidth = 800;
constexpr int PlotHeight = 240;
constexpr int PlotMargin = 40;

/// Sets one property of a flow from its text. An unknown name ends the program; a malformed number throws.
void setProperty(Flow &flow, const std::string &name, const std::string &value)
{
    if (name == "name") {
        flow.name = value;
    } else if (name == "key") {
        flow.key = value;
    } else if (name == "model") {
        flow.model = value;
    } else if (name == "layers") {
        flow.layers = static_cast<std::uint32_t>(std::stoul(value));
    } else if (name == "class") {
        flow.callClass = value;
    } else if (name == "rate") {
        flow.rate = std::stod(value);
    } else if (name == "count") {
        flow.count = static_cast<std::uint32_t>(std::stoul(value));
    } else if (name == "words") {
        flow.promptWords = static_cast<std::uint32_t>(std::stoul(value));
    } else if (name == "tokens") {
        flow.tokens = static_cast<std::uint32_t>(std::stoul(value));
    } else if (name == "deadline_ms") {
        flow.deadlineMs = std::stol(value);
    } else {
        std::cerr << "trefoil-load: '" << name << "' is not a property of a flow; see --help\n";
        std::exit(UsageErrorExitCode);
    }
}

} // namespace

std::vector<Flow> parseFlows(const std::string &text)
{
    std::vector<Flow> flows;
    std::istringstream list(text);
    for (std::string part; std::getline(list, part, ';');) {
        Flow flow;
        std::istringstream fields(part);
        for (std::string field; std::getline(fields, field, ',');) {
            const auto equals = field.find('=');
            setProperty(flow, field.substr(0, equals), equals == std::string::npos ? "" : field.substr(equals + 1));
        }
        flows.push_back(flow);
    }
    return flows;
}

double Samples::quantile(double q) const
{
    if (values_.empty()) {
        return 0;
    }
    if (!sorted_) {
        std::sort(values_.begin(), values_.end());
        sorted_ = true;
    }
    const auto last = static_cast<double>(values_.size() - 1);
    return values_[static_cast<std::size_t>(std::lround(q * last))];
}

void ThroughputSeries::add(std::chrono::nanoseconds sinceStart, std::uint64_t tokens)
{
    const auto slice = static_cast<std::size_t>(std::max<std::int64_t>(0, sinceStart / SliceDuration));
    if (slices_.size() <= slice) {
        slices_.resize(slice + 1, 0);
    }
    slices_[slice] += tokens;
}

double ThroughputSeries::rate(std::chrono::milliseconds from, std::chrono::milliseconds to) const
{
    const auto first = std::min(static_cast<std::size_t>(from / SliceDuration), slices_.size());
    const auto last = std::min(static_cast<std::size_t>(to / SliceDuration), slices_.size());
    if (last <= first) {
        return 0;
    }
    const auto sum = std::accumulate(slices_.begin() + static_cast<std::ptrdiff_t>(first), slices_.begin() + static_cast<std::ptrdiff_t>(last), 0.0);
    return sum / (static_cast<double>(last - first) * std::chrono::duration<double>(SliceDuration).count());
}

std::chrono::milliseconds ThroughputSeries::timeOfDeliveredRatio(double ratio) const
{
    const double total = std::accumulate(slices_.begin(), slices_.end(), 0.0);
    double sum = 0;
    std::size_t slice = 0;
    while (slice < slices_.size() && sum < ratio * total) {
        sum += static_cast<double>(slices_[slice++]);
    }
    return slice * SliceDuration;
}

std::string ThroughputSeries::toSvg(const std::string &title) const
{
    const double perSecond = 1.0 / std::chrono::duration<double>(SliceDuration).count();
    const std::uint64_t peak = slices_.empty() ? 1 : std::max<std::uint64_t>(1, *std::max_element(slices_.begin(), slices_.end()));
    std::ostringstream svg;
    svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << PlotWidth << "\" height=\"" << PlotHeight << "\">\n";
    svg << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n<text x=\"" << PlotMargin << "\" y=\"20\" font-size=\"14\">" << title << "</text>\n";
    svg << "<text x=\"2\" y=\"" << PlotMargin << "\" font-size=\"10\">" << static_cast<double>(peak) * perSecond << "</text>\n";
    svg << "<text x=\"" << PlotWidth - PlotMargin << "\" y=\"" << PlotHeight - 10 << "\" font-size=\"10\">" << static_cast<double>(slices_.size()) / perSecond
        << " s</text>\n";
    svg << "<polyline fill=\"none\" stroke=\"steelblue\" points=\"";
    for (std::size_t i = 0; i < slices_.size(); ++i) {
        const double x = PlotMargin + static_cast<double>(i) * (PlotWidth - 2 * PlotMargin) / static_cast<double>(slices_.size());
        const double y = PlotHeight - PlotMargin - static_cast<double>(slices_[i]) * (PlotHeight - 2 * PlotMargin) / static_cast<double>(peak);
        svg << x << "," << y << " ";
    }
    svg << "\"/>\n</svg>\n";
    return svg.str();
}

} // namespace load
