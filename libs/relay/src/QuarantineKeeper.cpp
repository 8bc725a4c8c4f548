#include "details/QuarantineKeeper.h"

namespace relay {

namespace {

/// A write that has failed, or a read, is repeated after this time.
constexpr Ms RepeatPeriod{1000};

QuarantineRecord recordOf(std::uint64_t signature, const CrashEvidence &evidence, Instant now)
{
    QuarantineRecord record{signature, {}};
    for (const auto &[crash, crashedAt] : evidence.openCrashesOf(signature)) {
        record.crashes.push_back({crash, std::chrono::duration_cast<Ms>(now - crashedAt)});
    }
    return record;
}

} // namespace

void QuarantineKeeper::onConfirmed(std::uint64_t signature)
{
    kept_.try_emplace(signature);
}

void QuarantineKeeper::onAcquitted(std::uint64_t signature)
{
    acquitted_.insert(signature);
    kept_.erase(signature);
}

QuarantineKeeper::Due QuarantineKeeper::takeDue(const CrashEvidence &evidence, Instant now)
{
    Due due;
    due.removed.assign(acquitted_.begin(), acquitted_.end());
    acquitted_.clear();
    for (auto entry = kept_.begin(); entry != kept_.end();) {
        auto &[signature, kept] = *entry;
        const CrashEvidence::Conviction *conviction = evidence.conviction(signature);
        if (conviction == nullptr) {
            if (kept.written > 0) {
                due.removed.push_back(signature);
            }
            entry = kept_.erase(entry);
            continue;
        }
        if (kept.pending == 0 && kept.written != conviction->crashes && now >= kept.nextWriteAt) {
            kept.pending = conviction->crashes;
            kept.nextWriteAt = now + RepeatPeriod;
            due.written.push_back(recordOf(signature, evidence, now));
        }
        ++entry;
    }
    return due;
}

void QuarantineKeeper::onWritten(std::uint64_t signature, bool ok)
{
    const auto found = kept_.find(signature);
    if (found != kept_.end()) {
        found->second.written = ok ? found->second.pending : found->second.written;
        found->second.pending = 0;
    }
}

bool QuarantineKeeper::isReadDue(Instant now)
{
    if (hasRead_ || now < nextReadAt_) {
        return false;
    }
    nextReadAt_ = now + RepeatPeriod;
    return true;
}

std::vector<std::uint64_t> QuarantineKeeper::onRead(const std::vector<QuarantineRecord> &records, CrashEvidence &evidence, Instant now)
{
    hasRead_ = true;
    std::vector<std::uint64_t> old;
    for (const QuarantineRecord &record : records) {
        for (const QuarantineRecord::Crash &crash : record.crashes) {
            evidence.add(record.signature, {crash.crash, 0, now - Instant(crash.age)});
        }
    }
    evidence.expire(now);
    for (const QuarantineRecord &record : records) {
        if (evidence.conviction(record.signature) == nullptr) {
            old.push_back(record.signature);
        }
    }
    return old;
}

} // namespace relay
