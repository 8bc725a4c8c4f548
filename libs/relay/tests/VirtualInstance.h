#pragma once

#include "VirtualFleet.h"

/// One instance: its kernel and the state of the process around it.
struct VirtualFleet::Instance {
    std::string node;
    std::string zone;
    std::unique_ptr<Driver> driver;
    std::unique_ptr<relay::RelayKernel> kernel;
    /// Grows with each start and each end of the process, so that tasks of an earlier process can be recognised and dropped.
    std::uint64_t generation = 0;
    bool alive = false;
    bool ready = false;
    bool stopping = false;
    /// The kernel wants the store to be read continuously.
    bool followsStore = false;
    /// No read of the configuration, or of the endpoint list, is under way or scheduled.
    bool configReadsPaused = false;
    bool endpointReadsPaused = true;
    /// Number of starts.
    std::size_t starts = 0;
    relay::Instant startedAt{0};
    relay::Instant frozenUntil{0};
    /// Time of the latest start, or end of the latest freeze.
    relay::Instant interruptedAt{0};
    /// Complete answers that have arrived: the id of the answered request and the status, by attempt.
    std::map<relay::AttemptId, std::pair<std::string, int>> answers;
};

/// Executes the actions of one instance's kernel in the virtual fleet.
class VirtualFleet::Driver : public relay::RelayDriver
{
public:
    /// Time that an instance waits for an answer of the store.
    static constexpr relay::Ms StoreTimeout{900};

    /// `index` is the position of the instance in the fleet.
    Driver(VirtualFleet &fleet, std::size_t index)
        : fleet_(fleet)
        , index_(index)
    {
    }

    void send(relay::Dispatch dispatch) override;
    void handOver(relay::HandOver order) override;
    void cancel(relay::AttemptId attempt) override;
    void reject(relay::CallId call, const relay::Rejection &rejection) override;
    void forward(relay::CallId call, relay::AttemptId attempt) override;
    void beginStream(relay::CallId call, relay::AttemptId attempt) override;
    void endStream(relay::CallId call, relay::AttemptId attempt) override;
    void continueStream(relay::CallId call, relay::AttemptId attempt) override;
    void breakStream(relay::CallId call) override;
    void readReport(const std::string &endpoint, const std::string &address) override;
    void checkEndpoint(const relay::EndpointCheck &check) override;
    void sendOrder(const relay::PlacementOrder &order) override;
    void sendDetour(const relay::Detour &detour) override;
    void readLease() override;
    void writeLease(const relay::LeaseRecord &record, std::uint64_t expectedRevision) override;
    void readQuarantines() override;
    void writeQuarantine(const relay::QuarantineRecord &record) override;
    void removeQuarantine(std::uint64_t signature) override;
    void sendDigest(const std::vector<std::string> &addresses, const wire::RelayDigest &digest) override;
    void sendFreshnessRequest(const std::string &address, const wire::FreshnessRequest &request) override;
    void sendFreshnessReply(const std::string &address, const wire::FreshnessReply &reply) override;
    void followStore(relay::Ms spread) override;
    void unfollowStore() override;
    void refreshConfig() override;
    void refreshEndpoints() override;
    void setReady(bool ready) override;
    void closeConnections() override;
    void stopAccepting() override;
    std::size_t unfinishedExchanges() const override;
    void exit() override;
    void record(const relay::Decision &decision) override;

private:
    /// Sends a message to the instance with that mesh address; it is lost if a partition separates the two.
    void sendMessage(const std::string &address, const wire::RelayMessage &message);
    Instance &self();

    VirtualFleet &fleet_;
    const std::size_t index_;
};

template<typename Answer>
void VirtualFleet::query(std::size_t instance,
                         const std::string &node,
                         relay::Ms timeout,
                         std::function<std::optional<Answer>()> serve,
                         std::function<void(const std::optional<Answer> &)> done)
{
    const std::uint64_t generation = instances_[instance]->generation;
    const std::string from = instances_[instance]->node;
    const auto isFinished = std::make_shared<bool>(false);
    const auto finish = [this, instance, generation, isFinished, done](const std::optional<Answer> &answer) {
        runInInstance(instance, generation, [isFinished, done, answer]() {
            if (!*isFinished) {
                *isFinished = true;
                done(answer);
            }
        });
    };
    time_.after(timeout, [finish]() { finish(std::nullopt); });
    time_.after(delay(), [this, from, node, serve, finish]() {
        if (!reaches(from, node)) {
            return;
        }
        const std::optional<Answer> answer = serve();
        time_.after(delay(), [this, from, node, answer, finish]() {
            if (answer && reaches(from, node)) {
                finish(answer);
            }
        });
    });
}
