#include "InstanceFleet.h"

using namespace relay;

wire::RelayMessage InstanceFleet::received(const wire::RelayMessage &message, const Instance &sender, const Instance &receiver)
{
    std::string bytes = wire::encode(message);
    bytes = sender.landing != nullptr ? sender.landing->known(bytes) : bytes;
    bytes = receiver.landing != nullptr ? receiver.landing->known(bytes) : bytes;
    return base::valueOf(wire::decodeRelayMessage(bytes));
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
