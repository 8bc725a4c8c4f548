#include "InstanceFleet.h"

#include <algorithm>

using namespace relay;

namespace {

constexpr Ms TimeLimit{20000};

} // namespace

void InstanceFleet::request(std::size_t instance, std::uint64_t lastPart, std::uint64_t fingerprint, std::uint64_t otherPart)
{
    CallArrival arrival;
    arrival.call = ++lastCall_;
    arrival.requestId = "request-" + std::to_string(lastCall_);
    arrival.host = "api.example";
    arrival.path = "/stream/x";
    arrival.keySha256 = "key-a";
    arrival.timeLimit = TimeLimit;
    arrival.promptTokens = 200;
    arrival.answerTokens = 50;
    arrival.fingerprint = fingerprint != 0 ? fingerprint : 1'000'000 + lastCall_;
    arrival.sharedPromptParts = {CommonPart, lastPart};
    if (otherPart != 0) {
        arrival.sharedPromptParts.insert(arrival.sharedPromptParts.begin() + 1, otherPart);
    }
    lastPartOfCall_[{instance, arrival.call}] = lastPart;
    requestTimes_.push_back(now);
    asked_[{instance, arrival.call}] = {now, false};
    arrivals_[{instance, arrival.call}] = arrival;
    versionAtArrival_[{instance, arrival.call}] = instances[instance]->kernel->configVersion();
    instances[instance]->kernel->onCall(now, arrival);
}

void InstanceFleet::collectBegunStreams()
{
    for (std::size_t i = 0; i < instances.size(); ++i) {
        Instance &instance = *instances[i];
        for (; instance.processedStreams < instance.driver.begunStreams.size(); ++instance.processedStreams) {
            if (const auto asked = asked_.find({i, instance.driver.begunStreams[instance.processedStreams]}); asked != asked_.end()) {
                asked->second.hasBegun = true;
            }
        }
    }
}

void InstanceFleet::collectRejections()
{
    for (std::size_t i = 0; i < instances.size(); ++i) {
        Instance &instance = *instances[i];
        for (; instance.processedRejections < instance.driver.rejected.size(); ++instance.processedRejections) {
            const base::ErrorKind kind = instance.driver.rejected[instance.processedRejections].rejection.kind;
            const auto handedOver = handedOver_.find({i, instance.driver.rejected[instance.processedRejections].call});
            if (handedOver != handedOver_.end()) {
                AnswerHead head;
                head.peerError = kind;
                head.peerConfigVersion = instance.driver.rejected[instance.processedRejections].rejection.configVersion;
                instances[handedOver->second.first]->kernel->onAnswer(now, handedOver->second.second, head);
            }
            if (kind == base::ErrorKind::Quarantined || kind == base::ErrorKind::PromptPartQuarantined) {
                quarantined_.push_back({now, i});
            }
        }
    }
}

std::size_t InstanceFleet::sentSince(std::uint64_t lastPart, Instant since) const
{
    return static_cast<std::size_t>(
        std::count_if(sent_.begin(), sent_.end(), [&](const Observation &seen) { return seen.lastPart == lastPart && seen.at >= since; }));
}

std::size_t InstanceFleet::sentTo(std::size_t endpoint, Instant since, Instant until) const
{
    return static_cast<std::size_t>(std::count_if(sent_.begin(), sent_.end(), [&](const Observation &seen) {
        return seen.endpoint == endpoints[endpoint].entry.id && seen.at >= since && seen.at < until;
    }));
}

std::size_t InstanceFleet::maxSentTo(std::size_t endpoint, Instant since, Ms span) const
{
    std::size_t most = 0;
    for (Instant from = since; from + span <= now; from += 4 * Step) {
        most = std::max(most, sentTo(endpoint, from, from + span));
    }
    return most;
}

double InstanceFleet::maxRetriesBeyond(double ratio, Ms span) const
{
    const auto within = [](const std::vector<Instant> &times, Instant from, Instant until) {
        return static_cast<double>(std::lower_bound(times.begin(), times.end(), until) - std::lower_bound(times.begin(), times.end(), from));
    };
    double most = 0;
    for (const Instant from : retryTimes_) {
        double requests = 0;
        for (const Instant earlier : {Instant{0}, Instant(span) / 2, Instant(span)}) {
            requests = std::max(requests, within(requestTimes_, from - earlier, from - earlier + span));
        }
        most = std::max(most, within(retryTimes_, from, from + span) - ratio * requests);
    }
    return most;
}

std::size_t InstanceFleet::retriesSince(Instant since) const
{
    return static_cast<std::size_t>(std::count_if(retryTimes_.begin(), retryTimes_.end(), [&](Instant at) { return at >= since; }));
}

std::size_t InstanceFleet::handedOverTo(std::size_t instance) const
{
    return static_cast<std::size_t>(std::count_if(handedOver_.begin(), handedOver_.end(), [&](const auto &entry) { return entry.first.first == instance; }));
}

std::pair<std::size_t, std::size_t> InstanceFleet::begunOf(std::size_t instance, Instant since, Instant until) const
{
    std::pair<std::size_t, std::size_t> counts;
    for (const auto &[key, asked] : asked_) {
        if (key.first == instance && asked.at >= since && asked.at < until) {
            ++counts.first;
            counts.second += asked.hasBegun ? 1 : 0;
        }
    }
    return counts;
}

std::size_t InstanceFleet::begunSince(std::uint64_t lastPart, Instant since) const
{
    return static_cast<std::size_t>(
        std::count_if(begun_.begin(), begun_.end(), [&](const Observation &seen) { return seen.lastPart == lastPart && seen.at >= since; }));
}

std::size_t InstanceFleet::quarantinedSince(std::size_t instance, Instant since) const
{
    return static_cast<std::size_t>(
        std::count_if(quarantined_.begin(), quarantined_.end(), [&](const Quarantined &entry) { return entry.instance == instance && entry.at >= since; }));
}

std::optional<Instant> InstanceFleet::fatalCrash(std::size_t n) const
{
    return n <= fatalCrashes_.size() ? std::optional(fatalCrashes_[n - 1]) : std::nullopt;
}
