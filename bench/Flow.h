#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// The workloads of the load generator and the measurements taken of them.
namespace load {

/// A workload: calls that share an API key, a model, a call class, a size and a rate.
struct Flow {
    std::string name = "flow";
    /// API key that the calls are authorized with; it identifies the team.
    std::string key = "demo-key";
    std::string model = "tutor";
    /// Number of layers of the model, needed to compute the expected text.
    std::uint32_t layers = 12;
    /// Sent as the service tier: "interactive" or "batch".
    std::string callClass = "interactive";
    /// Mean arrivals per second of a Poisson process; 0 starts all `count` calls at once at the start of the run.
    double rate = 10;
    /// Maximum number of calls; 0 means no maximum, so that calls arrive during the whole run.
    std::uint32_t count = 0;
    std::uint32_t promptWords = 8;
    /// Number of tokens to generate for each call.
    std::uint32_t tokens = 16;
    /// Maximum time from the intended start of a call to its first token for the call to count in FlowResult::met.
    std::int64_t deadlineMs = 3000;
};

/// Parses flows of the form "name=a,rate=5,tokens=20;name=b,...". Properties that aren't given keep their defaults. An unknown property ends
/// the program with a message; a malformed number throws std::invalid_argument or std::out_of_range.
std::vector<Flow> parseFlows(const std::string &text);

/// A collection of values with exact quantiles. Keeps every value. Add all values before the first quantile is computed.
class Samples
{
public:
    void add(double value)
    {
        values_.push_back(value);
    }

    std::size_t count() const
    {
        return values_.size();
    }

    /// The value at rank q of the sorted values, with q in [0, 1] (nearest rank); 0 if there are no values.
    double quantile(double q) const;

    double max() const
    {
        return quantile(1.0);
    }

private:
    mutable std::vector<double> values_;
    mutable bool sorted_ = false;
};

/// Outcomes and latencies of the calls of a flow. Every call that was started ends in exactly one of whole, wrong, incomplete, broken and
/// refused.
struct FlowResult {
    /// Calls started.
    std::uint32_t sent = 0;
    /// Calls that ended normally with the expected text.
    std::uint32_t whole = 0;
    /// Calls that ended normally with a text other than the expected one.
    std::uint32_t wrong = 0;
    /// Calls whose stream was ended by an error event.
    std::uint32_t incomplete = 0;
    /// Calls that ended without a response, or whose stream stopped without an end marker.
    std::uint32_t broken = 0;
    /// Calls that were answered with a status other than 200, by error kind; "?" if the body isn't JSON.
    std::map<std::string, std::uint32_t> refused;
    /// Calls whose first token arrived within the deadline, whatever their outcome.
    std::uint32_t met = 0;
    /// Tokens received by all calls, whatever their outcome.
    std::uint64_t tokens = 0;
    /// Time from the intended start of a call to its first token.
    Samples firstTokenMs;
    /// Time between consecutive tokens of a call.
    Samples betweenTokensMs;
    /// Tokens received by the calls that are counted in `whole`.
    std::uint64_t wholeTokens = 0;
};

/// Number of tokens received in each time slice of the run, for rates and charts.
class ThroughputSeries
{
public:
    static constexpr std::chrono::milliseconds SliceDuration{100};

    /// Counts tokens that were received at a time, measured from the start of the run.
    void add(std::chrono::nanoseconds sinceStart, std::uint64_t tokens);

    /// Mean tokens per second between two times since the start, both rounded down to whole slices. Ends at the last slice that has data; 0 if
    /// no slice is left.
    double rate(std::chrono::milliseconds from, std::chrono::milliseconds to) const;

    /// The earliest time since the start by which this ratio of all tokens was received, rounded up to whole slices.
    std::chrono::milliseconds timeOfDeliveredRatio(double ratio) const;

    /// A line chart of tokens per second over time, as an SVG document.
    std::string toSvg(const std::string &title) const;

private:
    std::vector<std::uint64_t> slices_;
};

} // namespace load
