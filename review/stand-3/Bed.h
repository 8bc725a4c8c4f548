// What the cases have in common: three instances before three model runners and three runners of the booking desk.
#pragma once

#include "Fleet.h"

namespace stand {

/// What run.sh returns.
enum ExitCode { Held = 0, Broken = 1, CannotRun = 2 };

struct Bed {
    explicit Bed(Record &record, int fronts = 3);
    ~Bed();
    /// Starts the instances, waits until they are ready and until each answers a lookup and, unless the manifest has no route for it yet, a stream.
    bool start(bool hasStreams = true);
    Front &front(int index)
    {
        return *fronts[static_cast<std::size_t>(index) % fronts.size()];
    }

    Record &record;
    std::string folder;
    Store store;
    std::vector<std::unique_ptr<Runner>> tutors;
    std::vector<std::unique_ptr<Runner>> desks;
    std::vector<std::unique_ptr<Front>> fronts;
    /// Addresses of the store that the instances are given; the store's own if there are fewer.
    std::vector<Address> storeViews;
};

/// Returns whether the disruption is to be left out (TROUBLE=0).
bool isTroubleOff();

/// Results of requests that were sent by a client in a thread.
struct Sent {
    std::string id;
    int front = 0;
    Outcome outcome;
};

/// Clients that send requests at a steady rate, each over a new connection, to the instances in turn.
class Traffic
{
public:
    using Make = std::function<Request()>;
    Traffic(Bed &bed, Make make, double perSecond, double timeoutMs);
    ~Traffic();
    /// Stops and waits for what is under way.
    void stop();
    std::vector<Sent> results();

private:
    void send(const Request &request, int front);

    Bed &bed_;
    Make make_;
    double timeoutMs_;
    std::atomic<bool> stops_{false};
    std::atomic<int> open_{0};
    std::mutex mutex_;
    std::vector<Sent> results_;
    std::thread thread_;
};

} // namespace stand
