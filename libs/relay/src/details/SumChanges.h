#pragma once

#include "relay/RelayKernel.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace relay {

/// The sums of loads that this instance sends to others within one scope, as numbered versions. Each receiver names the version that it has, and gets what has
/// changed since then, so that a lost digest is made up for by the next one. Endpoints are numbered by slots, which their receivers learn along with the first
/// load.
class SumSender
{
public:
    /// Takes the loads of a new version, which come in the order of their slots, without those that are 0. Of the differences to the last version, the `limit`
    /// largest are taken over; the others are kept for later ones, and gain weight with time.
    void publish(const std::vector<wire::EndpointLoad> &loads, std::uint64_t number, std::size_t limit);

    /// Returns true if the changes since a version are known: this process has sent that version.
    bool knows(std::uint64_t number) const
    {
        return number != 0 && number >= firstNumber_ && number <= number_;
    }
    /// Returns the loads that have changed since a version, or all that aren't 0 if it isn't known.
    std::vector<wire::EndpointLoad> changesSince(std::uint64_t number) const;

private:
    /// An endpoint's load in the last version, and the versions in which it was last changed and in which it last became more than 0.
    struct Slot {
        wire::EndpointLoad load;
        std::uint64_t changedAt = 0;
        std::uint64_t namedAt = 0;
    };
    /// A slot that has another load than the last version has.
    struct Difference {
        wire::EndpointLoad load;
        double weight = 0;
    };
    void addDifference(std::vector<Difference> &differences, const wire::EndpointLoad &load) const;

    std::vector<Slot> slots_;
    std::uint64_t firstNumber_ = 0;
    std::uint64_t number_ = 0;
};

/// The sums of loads that this instance has from others, to which their changes are applied.
class SumReceiver
{
public:
    /// Returns the digest's loads: for a numbered sum, the complete ones. Nothing if the digest leads on from a sum that this instance doesn't have, or if it
    /// isn't later than the known one. The sender then learns from the next digest what this instance has.
    std::optional<std::vector<wire::EndpointLoad>> take(const wire::RelayDigest &digest, Instant now);
    /// Forgets the sum of an instance.
    void forget(const std::string &sender);
    /// Forgets the sums that have had no digest since then.
    void forgetBefore(Instant time);
    /// Returns the numbers of the known sums.
    std::vector<wire::ReceivedSum> received() const;

private:
    struct Sum {
        wire::DigestScope scope = wire::DigestScope::Instance;
        std::uint64_t number = 0;
        Instant receivedAt{0};
        /// Loads by slot, with the endpoints that they belong to.
        std::map<std::uint32_t, wire::EndpointLoad> loads;
    };

    static void apply(Sum &sum, const std::vector<wire::EndpointLoad> &changes);

    std::map<std::string, Sum> sums_;
};

} // namespace relay
