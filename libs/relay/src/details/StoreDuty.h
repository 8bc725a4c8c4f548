#pragma once

#include "details/PeerLoads.h"

#include <array>

namespace relay {

/// Decides whether this instance reads the store itself or relies on instances that do, so that the calls to the store don't grow with the
/// fleet.
///
/// A few instances read. The others ask one of them again and again how old its knowledge is. The answer counts from the moment of the
/// question, whatever delays it: knowledge is never taken for younger than it is. Who gets no good answer in time reads by itself.
class StoreDuty
{
public:
    StoreDuty(const PeerLoads &peers, RelayDriver &driver);

    /// What this instance knows, and as of when.
    struct Knowledge {
        std::uint64_t configVersion = 0;
        Instant configAt{0};
        std::uint64_t endpointsHash = 0;
        std::uint64_t endpointsRevision = 0;
        Instant endpointsAt{0};
    };

    void tick(Instant now, const std::string &own, const Knowledge &known);

    /// The answer to another's question; none if this instance knows nothing yet.
    std::optional<wire::FreshnessReply> answerTo(const wire::FreshnessRequest &question, Instant now, const Knowledge &known) const;

    /// Takes an answer: `known` becomes younger where the other's knowledge is the same.
    void onAnswer(const wire::FreshnessReply &answer, Instant now, Knowledge &known);

    /// Whether the answer is to a late question of this instance.
    bool isAnswerToMe(const wire::FreshnessReply &answer) const;

    /// The knowledge is too old to rely on.
    static bool isStale(Instant now, const Knowledge &known);

    /// Another instance's digest names what it knows.
    void onStoreUpdate(const wire::RelayDigest &digest, const std::string &own, Instant now, const Knowledge &known);

    /// One of the instances that read the store for all, as far as this one can tell.
    bool isReader() const
    {
        return isReader_;
    }

private:
    void ask(const std::string &instance, const std::string &own, Instant now, const Knowledge &known);
    void refreshEndpoints(Instant now);

    const PeerLoads &peers_;
    RelayDriver &driver_;
    bool follows_ = true;
    bool isReader_ = false;
    Instant startedAt_{0};
    /// The latest revision of the list of endpoints that another has named, and since when it is waited for.
    std::uint64_t updateRevision_ = 0;
    Instant updateAt_{0};
    Instant askedForNewsAt_{0};
    Instant nextRequest_{0};
    Instant refreshedAt_{0};
    std::uint64_t nextNumber_ = 1;
    /// When the latest questions were sent, by number.
    std::array<Instant, 16> requestedAt_{};
};

} // namespace relay
