#include "relayhost/RelayHost.h"

#include "base/Time.h"

#include <sstream>

namespace relayhost {

std::string RelayHost::metricsText() const
{
    const relay::RelayCounters &counters = kernel_.counters();
    std::ostringstream text;
    const auto counter = [&](const char *name, std::uint64_t value) {
        text << "# TYPE trefoilport_" << name << "_total counter\ntrefoilport_" << name << "_total " << value << "\n";
    };
    counter("calls", counters.calls);
    counter("attempts", counters.attempts);
    counter("retries", counters.retries);
    counter("rejected", counters.rejected);
    counter("failed", counters.failed);
    counter("streams_resumed", counters.streamsResumed);
    counter("streams_broken", counters.streamsBroken);
    counter("streams_ended", counters.streamsEnded);
    counter("reports", counters.reports);
    counter("orders", counters.orders);
    counter("callers_gone", counters.callersGone);
    counter("log_lines_left_out", log_.droppedLines());
    text << "# TYPE trefoilport_open_calls gauge\ntrefoilport_open_calls " << kernel_.openCalls() << "\n";
    text << "# TYPE trefoilport_config_version gauge\ntrefoilport_config_version " << kernel_.configVersion() << "\n";
    text << "# TYPE trefoilport_planner gauge\ntrefoilport_planner " << (kernel_.isPlanner(base::readBootTimeClock()) ? 1 : 0) << "\n";
    text << firstEventLatency_.exposition("trefoilport_first_event_seconds");
    text << eventIntervals_.exposition("trefoilport_between_events_seconds");
    text << plainAnswerLatency_.exposition("trefoilport_plain_answer_seconds");
    for (const relay::EndpointView &endpoint : kernel_.endpoints()) {
        text << "trefoilport_endpoint_open{endpoint=\"" << endpoint.id << "\",state=\"" << endpoint.state << "\",layers=\"" << endpoint.layers.first << "-"
             << endpoint.layers.end << "\"} " << endpoint.openRequests << "\n";
    }
    return text.str();
}

} // namespace relayhost
