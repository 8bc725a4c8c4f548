#include "VirtualInstance.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

using relay::Instant;
using relay::Ms;

namespace {

constexpr Ms EndpointTimeout{350};
constexpr Ms OrderTimeout{700};

} // namespace

VirtualFleet::Instance &VirtualFleet::Driver::self()
{
    return *fleet_.instances_[index_];
}

void VirtualFleet::Driver::send(relay::Dispatch dispatch)
{
    fleet_.deliver(index_, dispatch);
}

void VirtualFleet::Driver::readQuarantines()
{
    // No request of this fleet crashes its endpoints, so that its store keeps no quarantine.
}

void VirtualFleet::Driver::writeQuarantine(const relay::QuarantineRecord &)
{
}

void VirtualFleet::Driver::removeQuarantine(std::uint64_t)
{
}

void VirtualFleet::Driver::handOver(relay::HandOver order)
{
    // Instances of this fleet state no address for hand-overs.
    fleet_.addViolation(self().node + " hands a request over to " + order.instance);
}

void VirtualFleet::Driver::cancel(relay::AttemptId attempt)
{
    const std::uint64_t generation = self().generation;
    const std::string node = self().node;
    fleet_.time_.after(fleet_.delay(), [this, attempt, generation, node]() {
        for (const auto &endpoint : fleet_.endpoints_) {
            std::erase_if(endpoint->runs, [&](const auto &entry) {
                return entry.second.instance == index_ && entry.second.generation == generation && entry.second.attempt == attempt
                    && fleet_.reaches(node, endpoint->entry.id);
            });
        }
    });
}

void VirtualFleet::Driver::reject(relay::CallId call, const relay::Rejection &rejection)
{
    if (Caller *caller = fleet_.callerOf(index_, call)) {
        caller->reportedNotRun = base::errorAnswer(rejection.kind).ran == base::HasRun::No;
        ++fleet_.totals_.rejected;
        fleet_.endCall(*caller, false);
    }
}

void VirtualFleet::Driver::forward(relay::CallId call, relay::AttemptId attempt)
{
    Caller *caller = fleet_.callerOf(index_, call);
    const auto answer = self().answers.find(attempt);
    if (caller == nullptr || answer == self().answers.end()) {
        return fleet_.addViolation("an answer was forwarded for a call that is not open or for an attempt without a complete answer");
    }
    if (answer->second.first != caller->requestId) {
        fleet_.addViolation(caller->requestId + " got the answer of " + answer->second.first);
    }
    fleet_.endCall(*caller, answer->second.second == 200);
}

void VirtualFleet::Driver::beginStream(relay::CallId, relay::AttemptId)
{
}

void VirtualFleet::Driver::endStream(relay::CallId call, relay::AttemptId)
{
    if (Caller *caller = fleet_.callerOf(index_, call)) {
        if (caller->delivered != caller->events) {
            fleet_.addViolation(caller->requestId + " was ended as a whole stream after event " + std::to_string(caller->delivered) + " of "
                                + std::to_string(caller->events));
        }
        fleet_.endCall(*caller, true);
    }
}

void VirtualFleet::Driver::continueStream(relay::CallId, relay::AttemptId)
{
}

void VirtualFleet::Driver::breakStream(relay::CallId call)
{
    if (Caller *caller = fleet_.callerOf(index_, call)) {
        ++fleet_.totals_.broken;
        fleet_.totals_.brokenByRouter += fleet_.isBrokenByRouter(*caller) ? 1 : 0;
        fleet_.endCall(*caller, false);
    }
}

void VirtualFleet::Driver::readReport(const std::string &endpoint, const std::string &)
{
    fleet_.query<relay::EndpointReport>(
        index_,
        endpoint,
        EndpointTimeout,
        [this, endpoint]() { return fleet_.reportOf(endpoint); },
        [this, endpoint](const auto &report) { self().kernel->onReport(fleet_.time_.now(), endpoint, report); });
}

void VirtualFleet::Driver::checkEndpoint(const relay::EndpointCheck &check)
{
    const std::string endpoint = check.endpoint;
    const auto serve = [this, endpoint]() -> std::optional<relay::CheckOutcome> {
        const Endpoint *checked = fleet_.endpointNamed(endpoint);
        if (checked == nullptr || (!checked->alive && !checked->silent)) {
            return relay::CheckOutcome::Unreachable;
        }
        return fleet_.isResponsive(*checked) ? std::optional(relay::CheckOutcome::Answered) : std::nullopt;
    };
    fleet_.query<relay::CheckOutcome>(index_, endpoint, EndpointTimeout, serve, [this, endpoint](const auto &outcome) {
        self().kernel->onCheck(fleet_.time_.now(), endpoint, outcome.value_or(relay::CheckOutcome::NoAnswer));
    });
}

void VirtualFleet::Driver::sendOrder(const relay::PlacementOrder &order)
{
    const auto serve = [this, order]() -> std::optional<relay::OrderOutcome> {
        const Endpoint *endpoint = fleet_.endpointNamed(order.endpoint);
        if (endpoint == nullptr || !endpoint->alive) {
            return std::nullopt;
        }
        if (endpoint->delaysOrders) {
            fleet_.time_.after(Ms(1000 + fleet_.draw(3000)), [this, order]() { fleet_.handleOrder(order); });
            return std::nullopt;
        }
        return fleet_.handleOrder(order);
    };
    fleet_.query<relay::OrderOutcome>(index_, order.endpoint, OrderTimeout, serve, [this, order](const auto &outcome) {
        self().kernel->onOrderAnswer(fleet_.time_.now(), order.endpoint, outcome.value_or(relay::OrderOutcome::NoAnswer));
    });
}

void VirtualFleet::Driver::sendDetour(const relay::Detour &detour)
{
    using Answer = std::pair<relay::OrderOutcome, std::string>;
    ++fleet_.totals_.detours;
    const auto serve = [this, detour]() -> std::optional<Answer> {
        const Endpoint *endpoint = fleet_.endpointNamed(detour.endpoint);
        if (endpoint == nullptr || !fleet_.isResponsive(*endpoint)) {
            return std::nullopt;
        }
        Answer answer;
        answer.first = fleet_.handleDetour(detour, answer.second);
        return answer;
    };
    fleet_.query<Answer>(index_, detour.endpoint, EndpointTimeout, serve, [this, detour](const std::optional<Answer> &answer) {
        const auto outcome = answer ? answer->first : relay::OrderOutcome::NoAnswer;
        self().kernel->onDetourAnswer(fleet_.time_.now(), detour.attempt, outcome, answer ? answer->second : "");
    });
}

void VirtualFleet::Driver::readLease()
{
    using Answer = std::pair<wire::StoreVersion, relay::LeaseRecord>;
    fleet_.query<Answer>(
        index_,
        "store",
        StoreTimeout,
        [this]() {
            return std::optional(Answer{{fleet_.store_.epoch, fleet_.store_.leaseRevision}, fleet_.store_.lease});
        },
        [this](const std::optional<Answer> &lease) {
            if (lease) {
                self().kernel->onLeaseRead(fleet_.time_.now(), lease->first, lease->second);
            }
        });
}

void VirtualFleet::Driver::writeLease(const relay::LeaseRecord &record, std::uint64_t expectedRevision)
{
    const Instant sentAt = fleet_.time_.now();
    const auto serve = [this, record, expectedRevision]() {
        Store &store = fleet_.store_;
        if (store.leaseRevision != expectedRevision) {
            return std::optional(wire::StoreVersion{store.epoch, 0});
        }
        store.lease = record;
        store.leaseRevision = ++store.revision;
        return std::optional(wire::StoreVersion{store.epoch, store.leaseRevision});
    };
    fleet_.query<wire::StoreVersion>(index_, "store", StoreTimeout, serve, [this, sentAt](const auto &version) {
        self().kernel->onLeaseWritten(fleet_.time_.now(), sentAt, version.value_or(wire::StoreVersion{}));
    });
}

void VirtualFleet::Driver::sendMessage(const std::string &address, const wire::RelayMessage &message)
{
    // Encoded and decoded, so that only what the protocol carries reaches the receiver, and of that only what both builds know.
    const std::string encoded = wire::encode(message);
    const std::string bytes = fleet_.isOlder(self(), index_) ? fleet_.older_->known(encoded) : encoded;
    const std::string from = self().node;
    for (std::size_t other = 0; other < fleet_.instances_.size(); ++other) {
        const Instance &receiver = *fleet_.instances_[other];
        if (receiver.node + ":7000" != address) {
            continue;
        }
        const std::uint64_t generation = receiver.generation;
        fleet_.time_.after(fleet_.delay(), [this, other, generation, from, bytes]() {
            if (!fleet_.reaches(from, fleet_.instances_[other]->node)) {
                return;
            }
            fleet_.runInInstance(other, generation, [this, other, bytes]() {
                const bool isOlder = fleet_.isOlder(*fleet_.instances_[other], other);
                const auto decoded = wire::decodeRelayMessage(isOlder ? fleet_.older_->known(bytes) : bytes);
                fleet_.instances_[other]->kernel->onPeerMessage(fleet_.time_.now(), base::valueOf(decoded));
            });
        });
    }
}

void VirtualFleet::Driver::sendDigest(const std::vector<std::string> &addresses, const wire::RelayDigest &digest)
{
    for (const std::string &address : addresses) {
        sendMessage(address, digest);
    }
}

void VirtualFleet::Driver::sendFreshnessRequest(const std::string &address, const wire::FreshnessRequest &request)
{
    sendMessage(address, request);
}

void VirtualFleet::Driver::sendFreshnessReply(const std::string &address, const wire::FreshnessReply &reply)
{
    sendMessage(address, reply);
}

void VirtualFleet::Driver::followStore(Ms spread)
{
    self().followsStore = true;
    const std::uint64_t generation = self().generation;
    const Ms wait(fleet_.draw(static_cast<std::uint64_t>(spread.count()) + 1));
    fleet_.time_.after(wait, [this, generation]() {
        fleet_.runInInstance(index_, generation, [this]() {
            if (self().followsStore) {
                refreshConfig();
                refreshEndpoints();
            }
        });
    });
}

void VirtualFleet::Driver::unfollowStore()
{
    self().followsStore = false;
}

void VirtualFleet::Driver::refreshConfig()
{
    if (self().configReadsPaused) {
        fleet_.readConfig(index_);
    }
}

void VirtualFleet::Driver::refreshEndpoints()
{
    if (self().endpointReadsPaused) {
        fleet_.listEndpoints(index_);
    }
}

void VirtualFleet::Driver::setReady(bool ready)
{
    self().ready = ready;
}

void VirtualFleet::Driver::closeConnections()
{
}

void VirtualFleet::Driver::stopAccepting()
{
}

std::size_t VirtualFleet::Driver::unfinishedExchanges() const
{
    return 0; // Answers arrive at once.
}

void VirtualFleet::Driver::exit()
{
    constexpr Ms StartDelay{300};
    if (!self().stopping) {
        return;
    }
    // Not from within the kernel that exits.
    fleet_.time_.after(Ms(0), [this]() { fleet_.killInstance(index_); });
    fleet_.time_.after(StartDelay, [this]() { fleet_.startInstance(index_); });
}

void VirtualFleet::Driver::record(const relay::Decision &decision)
{
    static const bool isTraced = std::getenv("TREFOIL_TRACE") != nullptr;
    if (decision.event == "lease_taken") {
        ++(fleet_.isOlder(self(), index_) ? fleet_.totals_.leasesOfOlder : fleet_.totals_.leasesOfToday);
    }
    if (isTraced) {
        std::cout << fleet_.time_.now() / Ms(1) << " ms  " << self().node << "  " << decision.event << "  " << decision.requestId << "  " << decision.subject
                  << "  " << decision.detail << "\n";
    }
}
