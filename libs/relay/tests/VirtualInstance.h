#pragma once

#include "VirtualFleet.h"

/// One instance: its kernel, and what the process around the kernel remembers.
struct VirtualFleet::Instance {
    std::string node;
    std::string zone;
    std::unique_ptr<Driver> driver;
    std::unique_ptr<relay::RelayKernel> kernel;
    /// Grows with each start and end, so that what belongs to an earlier life is dropped.
    std::uint64_t life = 0;
    bool alive = false;
    bool ready = false;
    bool stopping = false;
    bool follows = true;
    bool configRests = false;
    bool endpointsRest = false;
    std::uint64_t configVersion = 0;
    relay::Instant startedAt{0};
    relay::Instant frozenUntil{0};
    relay::Instant troubledAt{0};
    /// Whole answers that have arrived, by attempt: the request's id and the status.
    std::map<relay::AttemptId, std::pair<std::string, int>> answers;
};

/// Carries out the actions of one instance's kernel in the virtual fleet.
class VirtualFleet::Driver : public relay::RelayDriver
{
public:
    Driver(VirtualFleet &fleet, std::size_t index)
        : fleet_(fleet)
        , index_(index)
    {
    }

    void send(relay::Dispatch dispatch) override;
    void cancel(relay::AttemptId attempt) override;
    void reject(relay::CallId call, const relay::Rejection &rejection) override;
    void forward(relay::CallId call, relay::AttemptId attempt) override;
    void beginStream(relay::CallId call, relay::AttemptId attempt) override;
    void endStream(relay::CallId call) override;
    void breakStream(relay::CallId call) override;
    void readReport(const std::string &endpoint, const std::string &address) override;
    void sendOrder(const relay::PlacementOrder &order) override;
    void sendDetour(const relay::Detour &detour) override;
    void readLease() override;
    void writeLease(const relay::LeaseRecord &record, std::uint64_t expectedRevision) override;
    void sendDigest(const std::vector<std::string> &addresses, const wire::RelayDigest &digest) override;
    void sendFreshnessRequest(const std::string &address, const wire::FreshnessRequest &question) override;
    void sendFreshnessReply(const std::string &address, const wire::FreshnessReply &answer) override;
    void followStore(bool follow) override;
    void refreshConfig() override;
    void refreshEndpoints() override;
    void setReady(bool ready) override;
    void closeConnections() override;
    void exit() override;
    void record(const relay::Decision &decision) override;

private:
    void sendMessage(const std::string &address, const wire::RelayMessage &message);
    Instance &self();

    VirtualFleet &fleet_;
    const std::size_t index_;
};

template<typename Answer>
void VirtualFleet::ask(std::size_t instance,
                       const std::string &node,
                       relay::Ms timeout,
                       std::function<std::optional<Answer>()> serve,
                       std::function<void(const std::optional<Answer> &)> done)
{
    const std::uint64_t life = instances_[instance]->life;
    const std::string from = instances_[instance]->node;
    const auto isOver = std::make_shared<bool>(false);
    const auto finish = [this, instance, life, isOver, done](const std::optional<Answer> &answer) {
        inInstance(instance, life, [isOver, done, answer]() {
            if (!*isOver) {
                *isOver = true;
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
