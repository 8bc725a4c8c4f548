#include "relayhost/RelayHost.h"

#include "base/Time.h"

#include <boost/json.hpp>

#include <array>
#include <sstream>

namespace relayhost {

namespace {

/// The error kinds with which requests are refused that never come to the kernel.
constexpr std::array UnreadableKinds = {base::ErrorKind::BadRequest,
                                        base::ErrorKind::HeaderTooLarge,
                                        base::ErrorKind::BodyTooLarge,
                                        base::ErrorKind::RequestTimeout,
                                        base::ErrorKind::Overloaded,
                                        base::ErrorKind::Stopping,
                                        base::ErrorKind::AnswerIncomplete,
                                        base::ErrorKind::Internal};

} // namespace

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
    counter("reservations_without_capacity", counters.reservationsWithoutCapacity);
    counter("reports", counters.reports);
    counter("checks", counters.checks);
    counter("handed_over", counters.handedOver);
    counter("taken_over", counters.takenOver);
    counter("orders", counters.orders);
    counter("callers_gone", counters.callersGone);
    counter("exchanges_unanswered", unansweredExchanges_);
    counter("mesh_messages_dropped", meshMessages_.dropped());
    counter("log_lines_left_out", log_.droppedLines());
    text << "# TYPE trefoilport_open_calls gauge\ntrefoilport_open_calls " << kernel_.openCalls() << "\n";
    text << "# TYPE trefoilport_config_version gauge\ntrefoilport_config_version " << kernel_.configVersion() << "\n";
    text << "# TYPE trefoilport_planner gauge\ntrefoilport_planner " << (kernel_.isPlanner(base::readBootTimeClock()) ? 1 : 0) << "\n";
    text << "# TYPE trefoilport_reaches_endpoints gauge\ntrefoilport_reaches_endpoints " << (kernel_.reachesEndpoints() ? 1 : 0) << "\n";
    text << "# TYPE trefoilport_quarantined gauge\ntrefoilport_quarantined " << kernel_.quarantine(base::readBootTimeClock()).size() << "\n";
    text << "# TYPE trefoilport_unreadable_requests_total counter\n";
    for (const base::ErrorKind kind : UnreadableKinds) {
        text << "trefoilport_unreadable_requests_total{reason=\"" << base::nameOf(kind) << "\"} " << unreadableRequests_.at(static_cast<std::size_t>(kind))
             << "\n";
    }
    text << "# TYPE trefoilport_connections_turned_away_total counter\n";
    for (const auto &[reason, name] : net::TurnedAwayNames) {
        text << "trefoilport_connections_turned_away_total{reason=\"" << name << "\"} " << turnedAway_.at(static_cast<std::size_t>(reason)) << "\n";
    }
    text << heldMetricsText();
    text << admissionMetricsText();
    text << firstEventLatency_.exposition("trefoilport_first_event_seconds");
    text << eventIntervals_.exposition("trefoilport_between_events_seconds");
    text << plainAnswerLatency_.exposition("trefoilport_plain_answer_seconds");
    for (const relay::EndpointView &endpoint : kernel_.endpoints()) {
        text << "trefoilport_endpoint_open{endpoint=\"" << endpoint.id << "\",state=\"" << endpoint.state << "\",layers=\"" << endpoint.layers.first << "-"
             << endpoint.layers.end << "\"} " << endpoint.openRequests << "\n";
    }
    return text.str();
}

std::string RelayHost::admissionMetricsText() const
{
    const std::vector<relay::AdmissionView> levels = kernel_.admissionLevels();
    std::ostringstream text;
    const auto family = [&](const char *name, const char *type, const auto &valueOf) {
        text << "# TYPE trefoilport_admission_" << name << " " << type << "\n";
        for (const relay::AdmissionView &level : levels) {
            text << "trefoilport_admission_" << name << "{service=\"" << level.service << "\",priority=\"" << level.priority << "\"} " << valueOf(level)
                 << "\n";
        }
    };
    if (!levels.empty()) {
        family("share", "gauge", [](const relay::AdmissionView &level) { return level.share; });
        family("offered_work", "gauge", [](const relay::AdmissionView &level) { return level.offered; });
        family("admitted_work", "gauge", [](const relay::AdmissionView &level) { return level.admitted; });
        family("rejected_total", "counter", [](const relay::AdmissionView &level) { return level.rejected; });
    }
    return text.str();
}

std::string RelayHost::heldMetricsText() const
{
    std::ostringstream text;
    const auto family = [&](const char *name, const char *type, const auto &valueOf) {
        text << "# TYPE trefoilport_" << name << " " << type << "\n";
        for (const auto &[peerKind, label] : net::PeerKindNames) {
            text << "trefoilport_" << name << "{holder=\"" << label << "\"} " << valueOf(peerKind) << "\n";
        }
    };
    family("held_bytes", "gauge", [&](net::PeerKind peerKind) { return held_.bytes(peerKind); });
    family("held_bytes_most", "gauge", [&](net::PeerKind peerKind) { return held_.mostBytes(peerKind); });
    family("peers_over_limit_total", "counter", [&](net::PeerKind peerKind) { return held_.ended(peerKind); });
    return text.str();
}

std::string RelayHost::statusText() const
{
    boost::json::array quarantine;
    for (const relay::QuarantineView &view : kernel_.quarantine(base::readBootTimeClock())) {
        quarantine.push_back(boost::json::object{{"signature", std::to_string(view.signature)},
                                                 {"crashes", view.crashes},
                                                 {"since_ms", view.age.count()},
                                                 {"last_crash_ms", view.lastCrashAge.count()},
                                                 {"failed_probes", view.failedProbes},
                                                 {"next_probe_ms", view.nextProbeIn.count()}});
    }
    return boost::json::serialize(boost::json::object{{"instance", settings_.node},
                                                      {"zone", settings_.zone},
                                                      {"revision", kernel_.configVersion()},
                                                      {"ready", ready_},
                                                      {"reaches_endpoints", kernel_.reachesEndpoints()},
                                                      {"open_calls", kernel_.openCalls()},
                                                      {"quarantine", quarantine}});
}

} // namespace relayhost
