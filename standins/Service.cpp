// A stand-in for a plain service. It counts how often each call runs, so that a test can detect one that ran twice.

#include "Endpoint.h"

#include <boost/json.hpp>
#include <gflags/gflags.h>

#include <cstdlib>
#include <map>

DEFINE_string(listen, "127.0.0.1:0", "IP:port to listen on");
DEFINE_string(platform, "", "IP:port of the platform");
DEFINE_string(id, "service", "name in the instance list");
DEFINE_string(serves, "booking", "name of the service");
DEFINE_string(zone, "zone-a", "availability zone");
DEFINE_int32(delay_ms, 2, "time that a call takes, in milliseconds");
DEFINE_int32(capacity, 64, "number of calls at once, as stated in the instance list");

namespace json = boost::json;

namespace {

/// A call with this text in its body makes the process exit.
constexpr const char *CrashMark = "CRASH";
/// A call with this text in its body or its URL takes SlowDelay.
constexpr const char *SlowMark = "SLOW";
constexpr std::chrono::milliseconds SlowDelay{1500};

/// Answers calls, and counts for each body of a POST how often it ran; GET /executed returns the counts.
class Service
{
public:
    explicit Service(net::EventLoop &loop)
        : loop_(loop)
    {
    }

    net::HttpServer *server = nullptr;
    wire::EndpointInfo info;

    void handle(net::ExchangeId id, net::HttpRequest request)
    {
        if (request.target == "/load") {
            const json::object load{{"endpoint", info.id}, {"incarnation", info.incarnation}, {"in_flight", inFlight_}, {"leaving", draining_}};
            server->respond(id, {200, {}, json::serialize(load)});
        } else if (request.target == "/executed") {
            json::object counts;
            for (const auto &[body, count] : executionCounts_) {
                counts[body] = count;
            }
            server->respond(id, {200, {}, json::serialize(counts)});
        } else if (request.target == "/control/drain") {
            draining_ = true;
            server->respond(id, {200, {}, "draining"});
        } else if (draining_) {
            server->respond(id, {503, {{"X-Not-Run", "yes"}, {"X-Leaving", "yes"}}, "leaving"});
        } else {
            run(id, std::move(request));
        }
    }

    /// A call runs to its end even if its client has closed the connection.
    void abort(net::ExchangeId)
    {
    }

private:
    /// Counts a call and answers it after its delay.
    void run(net::ExchangeId id, net::HttpRequest request)
    {
        ++inFlight_;
        if (request.method == "POST") {
            ++executionCounts_[request.body];
        }
        if (request.body.find(CrashMark) != std::string::npos) {
            std::_Exit(1);
        }
        const bool slow = request.body.find(SlowMark) != std::string::npos || request.target.find(SlowMark) != std::string::npos;
        const auto delay = slow ? SlowDelay : std::chrono::milliseconds(FLAGS_delay_ms);
        loop_.after(delay, [this, id, request = std::move(request)]() {
            --inFlight_;
            const json::object answer{{"service", info.id}, {"target", request.target}, {"echo", request.body}, {"number", ++answerCount_}};
            server->respond(id, {200, {{"Content-Type", "application/json"}}, json::serialize(answer)});
        });
    }

    net::EventLoop &loop_;
    /// Number of runs by the body of the POST.
    std::map<std::string, int> executionCounts_;
    int inFlight_ = 0;
    int answerCount_ = 0;
    bool draining_ = false;
};

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    net::EventLoop loop;
    Service service(loop);
    service.info.id = FLAGS_id;
    service.info.kind = wire::EndpointKind::Service;
    service.info.zone = FLAGS_zone;
    service.info.serves = FLAGS_serves;
    service.info.capacity = static_cast<std::uint32_t>(FLAGS_capacity);
    service.info.stepMicros = static_cast<std::uint32_t>(FLAGS_delay_ms) * 1000;
    standin::serve(loop, service, FLAGS_listen, FLAGS_platform);
    return 0;
}
