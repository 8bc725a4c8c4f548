#include "VirtualFleet.h"

using relay::Instant;
using relay::Ms;

namespace {

/// Period between two copies of the store, and for how long a copy is kept.
constexpr Ms CopyPeriod{500};
constexpr Ms CopyLifetime{10000};
/// A restored store has a copy that is at least MinCopyAge old, and up to CopyAgeRangeMs older.
constexpr Ms MinCopyAge{1000};
constexpr std::uint64_t CopyAgeRangeMs = 7000;
/// The operator writes the newest configuration again within this time after a restore.
constexpr std::uint64_t RewriteRangeMs = 1500;
constexpr Ms RewriteRetryPeriod{200};

} // namespace

void VirtualFleet::keepCopies()
{
    if (!store_.down) {
        copies_.emplace_back(time_.now(), store_);
    }
    while (copies_.size() > 1 && copies_.front().first < time_.now() - CopyLifetime) {
        copies_.pop_front();
    }
    time_.after(CopyPeriod, [this]() { keepCopies(); });
}

void VirtualFleet::restoreStore(Ms away)
{
    const Instant copiedBefore = time_.now() - MinCopyAge - Ms(draw(CopyAgeRangeMs));
    store_.down = true;
    store_.downUntil = std::max(store_.downUntil, time_.now() + away);
    time_.after(away, [this, copiedBefore]() {
        auto copy = copies_.begin();
        for (auto it = copies_.begin(); it != copies_.end() && it->first <= copiedBefore; ++it) {
            copy = it;
        }
        Store restored = copy->second;
        restored.epoch = store_.epoch + 1;
        restored.downUntil = store_.downUntil;
        restored.down = time_.now() < store_.downUntil;
        // How instances register again is up to the host, which this simulation has not.
        restored.instances = store_.instances;
        store_ = restored;
        copies_.clear();
        copies_.emplace_back(time_.now(), store_);
        // The operator writes a lost revocation again before the store serves: until then no instance can know of it.
        if (store_.config->teamOfKey.size() != makeConfig()->teamOfKey.size()) {
            store_.config = makeConfig();
            ++store_.revision;
        } else {
            time_.after(Ms(draw(RewriteRangeMs)), [this]() { rewriteConfig(); });
        }
    });
}

void VirtualFleet::rewriteConfig()
{
    if (store_.down) {
        return time_.after(RewriteRetryPeriod, [this]() { rewriteConfig(); });
    }
    store_.config = makeConfig();
    ++store_.revision;
}
