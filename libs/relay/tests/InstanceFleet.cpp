#include "InstanceFleet.h"

#include <variant>

using namespace relay;

namespace {

/// Endpoints that hold each half of the layers.
constexpr int HoldersPerHalf = 8;
/// Time from the dispatch of a request to its first event.
constexpr Ms FirstEventDelay{75};
constexpr Ms TimeLimit{20000};

std::string nameOf(std::size_t instance)
{
    return "instance-" + std::to_string(instance);
}

std::string addressOf(std::size_t instance)
{
    return nameOf(instance) + ":1";
}

std::string handOverAddressOf(std::size_t instance)
{
    return nameOf(instance) + ":2";
}

} // namespace

InstanceFleet::InstanceFleet(std::size_t instanceCount, LandingOf landingOf)
    : landingOf_(std::move(landingOf))
{
    for (int i = 0; i < HoldersPerHalf; ++i) {
        endpoints.push_back({RelayTestBed::engineEntry("low-" + std::to_string(i), "zone-a", {0, RelayTestBed::HalfLayers})});
        endpoints.push_back({RelayTestBed::engineEntry("high-" + std::to_string(i), "zone-a", {RelayTestBed::HalfLayers, 2 * RelayTestBed::HalfLayers})});
    }
    for (std::size_t i = 0; i < instanceCount; ++i) {
        addInstance();
    }
}

std::size_t InstanceFleet::addInstance()
{
    instances.push_back(std::make_unique<Instance>());
    instances.back()->landing = landingOf_(instances.size() - 1);
    join(*instances.back(), instances.size() - 1);
    return instances.size() - 1;
}

void InstanceFleet::restart(std::size_t instance)
{
    replace(instance, landingOf_(instance));
}

void InstanceFleet::replace(std::size_t instance, const OlderSchema *landing)
{
    std::erase_if(runs_, [&](const Run &run) { return run.instance == instance; });
    instances[instance] = std::make_unique<Instance>();
    instances[instance]->landing = landing;
    join(*instances[instance], instance);
}

void InstanceFleet::takeDown(std::size_t instance)
{
    std::erase_if(runs_, [&](const Run &run) { return run.instance == instance; });
    instances[instance]->isDown = true;
}

void InstanceFleet::join(Instance &instance, std::size_t number)
{
    RelaySettings settings = RelayTestBed::settings();
    settings.node = nameOf(number);
    settings.instance = nameOf(number) + "/" + std::to_string(++storeRevision_);
    settings.meshAddress = addressOf(number);
    settings.handOverAddress = handsOver(instance) ? handOverAddressOf(number) : "";
    numberOfAddress_[settings.meshAddress] = number;
    numberOfAddress_[handOverAddressOf(number)] = number;
    if (handsOver(instance)) {
        listedHandOvers_[number] = settings.handOverAddress;
    }
    settings.seed = number + 1;
    instance.kernel = std::make_unique<RelayKernel>(settings, instance.driver);
    instance.kernel->onConfig(now, now, config_);
    instance.kernel->onEndpoints(now, listedEntries(), {0, ++storeRevision_});
    for (const auto &each : instances) {
        if (each->kernel) {
            tellInstances(*each);
        }
    }
}

void InstanceFleet::tellInstances(Instance &instance)
{
    std::vector<InstanceEntry> entries;
    for (std::size_t i = 0; i < instances.size(); ++i) {
        entries.push_back({nameOf(i), addressOf(i), "zone-a", handsOver(instance) ? listedHandOvers_[i] : ""});
    }
    instance.kernel->onInstances(now, entries);
}

bool InstanceFleet::handsOver(const Instance &instance)
{
    return instance.landing == nullptr || instance.landing->handsOver();
}

wire::RelayMessage InstanceFleet::received(const wire::RelayMessage &message, const Instance &sender, const Instance &receiver)
{
    std::string bytes = wire::encode(message);
    bytes = sender.landing != nullptr ? sender.landing->known(bytes) : bytes;
    bytes = receiver.landing != nullptr ? receiver.landing->known(bytes) : bytes;
    return base::valueOf(wire::decodeRelayMessage(bytes));
}

std::vector<EndpointEntry> InstanceFleet::listedEntries() const
{
    std::vector<EndpointEntry> entries;
    for (const Endpoint &endpoint : endpoints) {
        entries.push_back(endpoint.entry);
    }
    return entries;
}

void InstanceFleet::report(std::size_t instance, std::uint64_t fingerprint, const std::vector<std::uint64_t> &crashes)
{
    wire::RelayDigest digest;
    digest.instance = "outside";
    for (const std::uint64_t crash : crashes) {
        digest.crashReports.push_back({fingerprint, crash});
    }
    instances[instance]->kernel->onPeerMessage(now, digest);
}

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

void InstanceFleet::step()
{
    now += Step;
    for (Endpoint &endpoint : endpoints) {
        if (endpoint.downUntil.count() != 0 && now >= endpoint.downUntil) {
            endpoint.downUntil = Instant{0};
            ++endpoint.entry.incarnation;
        }
    }
    deliverDigests();
    answerReports();
    answerChecks();
    cutRuns();
    beginRuns();
    processDispatches();
    ++storeRevision_;
    for (const auto &instance : instances) {
        if (instance->isDown) {
            continue;
        }
        instance->kernel->onConfig(now, now, now < instance->readsConfigFrom ? nullptr : config_);
        instance->kernel->onEndpoints(now, listedEntries(), {0, storeRevision_});
        instance->kernel->onTick(now);
    }
    deliverHandOvers();
    serveQuarantines();
    processDispatches();
    collectRejections();
    collectBegunStreams();
}

void InstanceFleet::serveQuarantines()
{
    for (const auto &instance : instances) {
        if (!handsOver(*instance)) {
            continue;
        }
        for (; instance->processedQuarantineWrites < instance->driver.quarantineWrites.size(); ++instance->processedQuarantineWrites) {
            const QuarantineRecord &record = instance->driver.quarantineWrites[instance->processedQuarantineWrites];
            quarantines_[record.signature] = {now, record};
            instance->kernel->onQuarantineWritten(record.signature, true);
        }
        for (; instance->processedQuarantineRemovals < instance->driver.quarantineRemovals.size(); ++instance->processedQuarantineRemovals) {
            quarantines_.erase(instance->driver.quarantineRemovals[instance->processedQuarantineRemovals]);
        }
        if (instance->answeredQuarantineReads < instance->driver.quarantineReads) {
            instance->answeredQuarantineReads = instance->driver.quarantineReads;
            std::vector<QuarantineRecord> records;
            for (const auto &[signature, kept] : quarantines_) {
                records.push_back(kept.second);
                for (QuarantineRecord::Crash &crash : records.back().crashes) {
                    crash.age += std::chrono::duration_cast<Ms>(now - kept.first);
                }
            }
            instance->kernel->onQuarantines(now, records);
        }
    }
}

void InstanceFleet::deliverHandOvers()
{
    for (std::size_t from = 0; from < instances.size(); ++from) {
        Instance &sender = *instances[from];
        for (; sender.processedHandOvers < sender.driver.handOvers.size(); ++sender.processedHandOvers) {
            const HandOver order = sender.driver.handOvers[sender.processedHandOvers];
            const std::size_t to = numberOfAddress_.at(order.address);
            const bool isListening = !instances[to]->isDown && handsOver(*instances[to]);
            misdirectedHandOvers += handsOver(*instances[to]) ? 0 : 1;
            if (!isListening || instances[to]->isCutOff || sender.isCutOff) {
                sender.kernel->onFailure(now, order.attempt, AttemptFailure::NotSent);
                continue;
            }
            CallArrival arrival = arrivals_.at({from, order.call});
            lastPartOfCall_[{to, ++lastCall_}] = lastPartOfCall_.at({from, order.call});
            arrival.call = lastCall_;
            arrival.isHandedOver = true;
            arrival.priorRuns = order.runs;
            arrival.configVersion = order.configVersion;
            arrival.timeLimit = order.timeLeft;
            arrival.lastEventId = order.lastEventId;
            handedOver_[{to, arrival.call}] = {from, order.attempt};
            versionAtArrival_[{to, arrival.call}] = versionAtArrival_.at({from, order.call});
            instances[to]->kernel->onCall(now, arrival);
        }
    }
    for (std::size_t i = 0; i < instances.size(); ++i) {
        returnStreams(i);
    }
}

void InstanceFleet::returnStreams(std::size_t instance)
{
    Instance &server = *instances[instance];
    for (; server.processedEnds < server.driver.endedStreams.size(); ++server.processedEnds) {
        const auto found = handedOver_.find({instance, server.driver.endedStreams[server.processedEnds]});
        if (found != handedOver_.end()) {
            const auto [origin, attempt] = found->second;
            instances[origin]->kernel->onEvent(now, attempt, 1);
            instances[origin]->kernel->onStreamEnd(now, attempt);
        }
    }
}

InstanceFleet::Endpoint &InstanceFleet::endpointOf(const std::string &id)
{
    return *std::find_if(endpoints.begin(), endpoints.end(), [&](const Endpoint &endpoint) { return endpoint.entry.id == id; });
}

void InstanceFleet::deliverDigests()
{
    for (std::size_t from = 0; from < instances.size(); ++from) {
        Instance &sender = *instances[from];
        for (; sender.deliveredDigests < sender.driver.digests.size(); ++sender.deliveredDigests) {
            // By the receiver's landing, since decoding is what takes most of the time.
            std::map<const OlderSchema *, wire::RelayMessage> messages;
            for (const std::string &receiver : sender.driver.digestReceivers[sender.deliveredDigests]) {
                const std::size_t to = numberOfAddress_.at(receiver);
                Instance &target = *instances[to];
                if (!sender.isCutOff && !target.isCutOff && !target.isDown) {
                    auto message = messages.find(target.landing);
                    if (message == messages.end()) {
                        message = messages.emplace(target.landing, received(sender.driver.digests[sender.deliveredDigests], sender, target)).first;
                    }
                    target.kernel->onPeerMessage(now, message->second);
                }
            }
        }
    }
}

void InstanceFleet::answerReports()
{
    for (const auto &instance : instances) {
        for (; instance->answeredReports < instance->driver.reportRequests.size(); ++instance->answeredReports) {
            const Endpoint &endpoint = endpointOf(instance->driver.reportRequests[instance->answeredReports]);
            if (endpoint.downUntil.count() != 0 || instance->endpointCut != EndpointCut::None) {
                instance->kernel->onReport(now, endpoint.entry.id, std::nullopt);
                continue;
            }
            EndpointReport report;
            report.incarnation = endpoint.entry.incarnation;
            report.layers = endpoint.entry.layers;
            instance->kernel->onReport(now, endpoint.entry.id, report);
        }
    }
}

void InstanceFleet::answerChecks()
{
    for (const auto &instance : instances) {
        for (; instance->answeredChecks < instance->driver.checks.size(); ++instance->answeredChecks) {
            const Endpoint &endpoint = endpointOf(instance->driver.checks[instance->answeredChecks]);
            CheckOutcome outcome = endpoint.downUntil.count() != 0 ? CheckOutcome::Unreachable : CheckOutcome::Answered;
            if (instance->endpointCut != EndpointCut::None) {
                outcome = instance->endpointCut == EndpointCut::Silent ? CheckOutcome::NoAnswer : CheckOutcome::Unreachable;
            }
            instance->kernel->onCheck(now, endpoint.entry.id, outcome);
        }
    }
}

void InstanceFleet::cutRuns()
{
    std::vector<Run> reset;
    std::erase_if(runs_, [&](const Run &run) {
        const EndpointCut cut = instances[run.instance]->endpointCut;
        if (cut == EndpointCut::Reset) {
            reset.push_back(run);
        }
        return cut != EndpointCut::None;
    });
    for (const Run &run : reset) {
        instances[run.instance]->kernel->onFailure(now, run.attempt, AttemptFailure::Broken);
    }
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

void InstanceFleet::processDispatches()
{
    for (std::size_t i = 0; i < instances.size(); ++i) {
        Instance &instance = *instances[i];
        for (; instance.processedDispatches < instance.driver.sent.size(); ++instance.processedDispatches) {
            const Dispatch dispatch = instance.driver.sent[instance.processedDispatches];
            sentByOlderConfig_ += instance.kernel->configVersion() < versionAtArrival_.at({i, dispatch.call}) ? 1 : 0;
            if (++dispatchesOfCall_[{i, dispatch.call}] > 1) {
                retryTimes_.push_back(now);
            }
            if (endpointOf(dispatch.endpoint).fails) {
                AnswerHead error;
                error.status = 500;
                instance.kernel->onAnswer(now, dispatch.attempt, error);
                continue;
            }
            if (instance.endpointCut == EndpointCut::Silent) {
                continue;
            }
            if (endpointOf(dispatch.endpoint).downUntil.count() != 0 || instance.endpointCut == EndpointCut::Reset) {
                instance.kernel->onFailure(now, dispatch.attempt, AttemptFailure::NotSent);
                continue;
            }
            sent_.push_back({now, lastPartOfCall_.at({i, dispatch.call}), dispatch.endpoint});
            if (endpointOf(dispatch.endpoint).isDamaged) {
                instance.kernel->onFailure(now, dispatch.attempt, AttemptFailure::Malformed);
                continue;
            }
            runs_.push_back({i, dispatch.attempt, dispatch.call, dispatch.endpoint, now + FirstEventDelay});
        }
    }
}

void InstanceFleet::beginRuns()
{
    for (std::size_t i = 0; i < runs_.size();) {
        const Run run = runs_[i];
        if (instances[run.instance]->driver.wasCancelled(run.attempt)) {
            runs_.erase(runs_.begin() + static_cast<std::ptrdiff_t>(i));
            continue;
        }
        if (now < run.firstEventAt) {
            ++i;
            continue;
        }
        const std::uint64_t lastPart = lastPartOfCall_.at({run.instance, run.call});
        if (lastPart == FatalPart && ++fatalRuns_ % runsPerCrash == 0) {
            fatalCrashes_.push_back(now);
            crash(endpointOf(run.endpoint));
            i = 0;
            continue;
        }
        runs_.erase(runs_.begin() + static_cast<std::ptrdiff_t>(i));
        begun_.push_back({now, lastPart, run.endpoint});
        AnswerHead head;
        head.status = 200;
        head.verified = true;
        head.requestLimit = endpointOf(run.endpoint).requestLimit;
        instances[run.instance]->kernel->onHead(now, run.attempt, head);
        instances[run.instance]->kernel->onEvent(now, run.attempt, 1);
        instances[run.instance]->kernel->onStreamEnd(now, run.attempt);
    }
}

void InstanceFleet::crash(std::size_t endpoint)
{
    crash(endpoints[endpoint]);
}

void InstanceFleet::crash(Endpoint &endpoint)
{
    endpoint.downUntil = now + RestartTime;
    std::vector<Run> lost;
    std::erase_if(runs_, [&](const Run &run) {
        const bool isLost = run.endpoint == endpoint.entry.id;
        if (isLost) {
            lost.push_back(run);
        }
        return isLost;
    });
    for (const Run &run : lost) {
        instances[run.instance]->kernel->onFailure(now, run.attempt, AttemptFailure::Broken);
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
