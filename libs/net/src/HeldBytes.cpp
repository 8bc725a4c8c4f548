#include "net/HeldBytes.h"

#include <algorithm>
#include <unordered_set>

namespace net {

struct HeldBytes::Entry : std::enable_shared_from_this<Entry> {
    std::shared_ptr<Ledger> ledger;
    PeerKind kind = PeerKind::Caller;
    /// Shares that were made later have a higher number.
    std::uint64_t number = 0;
    std::function<void()> end;
    std::size_t bytes = 0;
    /// Bytes that it hasn't released since it was ended.
    std::size_t releasingBytes = 0;
    bool isEnded = false;
};

struct HeldBytes::Ledger {
    explicit Ledger(EventLoop &eventLoop)
        : loop(eventLoop)
    {
    }

    /// What one kind's shares have in common.
    struct Account {
        /// Those that weren't ended.
        std::unordered_set<Entry *> entries;
        std::size_t bytes = 0;
        std::size_t mostBytes = 0;
        std::uint64_t ended = 0;
    };

    Account &accountOf(PeerKind kind)
    {
        return accounts[static_cast<std::size_t>(kind)];
    }

    /// Counts other bytes for an entry.
    void count(Entry &entry, std::size_t bytes);
    /// Counts what an ended entry has yet to release.
    void countReleasing(Entry &entry, std::size_t bytes);
    /// Takes an entry out of its account.
    void remove(Entry &entry);
    /// Ends shares until the kind's rest and the rest of all are within their bounds.
    void enforce(PeerKind kind);
    /// Returns the account's entry that goes first; null if none holds anything.
    static Entry *firstToEnd(const Account &account);
    /// Returns the entry of all accounts that goes first; null if none holds anything.
    Entry *firstToEnd() const;
    /// Ends a share.
    void end(Entry &entry, HeldBound bound);

    EventLoop &loop;
    HeldLimits limits;
    EndedHandler onEnded;
    std::array<Account, PeerKindCount> accounts;
    std::size_t bytes = 0;
    std::size_t releasingBytes = 0;
    std::uint64_t nextNumber = 0;
};

namespace {

/// Returns whichever of two entries goes first; either may be null.
template<typename Entry>
Entry *firstOf(Entry *one, Entry *other)
{
    if (!one || !other) {
        return one ? one : other;
    }
    return std::pair(one->bytes, one->number) > std::pair(other->bytes, other->number) ? one : other;
}

} // namespace

void HeldBytes::Ledger::count(Entry &entry, std::size_t newBytes)
{
    Account &account = accountOf(entry.kind);
    account.bytes += newBytes - entry.bytes;
    bytes += newBytes - entry.bytes;
    entry.bytes = newBytes;
}

void HeldBytes::Ledger::countReleasing(Entry &entry, std::size_t newBytes)
{
    releasingBytes += newBytes - entry.releasingBytes;
    entry.releasingBytes = newBytes;
}

void HeldBytes::Ledger::remove(Entry &entry)
{
    count(entry, 0);
    accountOf(entry.kind).entries.erase(&entry);
}

void HeldBytes::Ledger::enforce(PeerKind kind)
{
    Account &account = accountOf(kind);
    while (account.bytes > limits.of(kind)) {
        end(*firstToEnd(account), HeldBound::Kind);
    }
    while (bytes > limits.all) {
        end(*firstToEnd(), HeldBound::All);
    }
    account.mostBytes = std::max(account.mostBytes, account.bytes);
}

HeldBytes::Entry *HeldBytes::Ledger::firstToEnd(const Account &account)
{
    Entry *first = nullptr;
    for (Entry *entry : account.entries) {
        first = firstOf(first, entry);
    }
    return first;
}

HeldBytes::Entry *HeldBytes::Ledger::firstToEnd() const
{
    Entry *first = nullptr;
    for (const Account &account : accounts) {
        first = firstOf(first, firstToEnd(account));
    }
    return first;
}

void HeldBytes::Ledger::end(Entry &entry, HeldBound bound)
{
    const std::size_t heldBytes = entry.bytes;
    remove(entry);
    countReleasing(entry, heldBytes);
    entry.isEnded = true;
    ++accountOf(entry.kind).ended;
    if (onEnded) {
        loop.post([report = onEnded, kind = entry.kind, heldBytes, bound]() { report(kind, heldBytes, bound); });
    }
    loop.post([weak = entry.weak_from_this()]() {
        // Kept while its callback runs, which may release the share.
        const std::shared_ptr<Entry> ended = weak.lock();
        if (ended && ended->end) {
            ended->end();
        }
    });
}

HeldBytes::HeldBytes(EventLoop &loop, const HeldLimits &limits, EndedHandler onEnded)
    : ledger_(std::make_shared<Ledger>(loop))
{
    ledger_->limits = limits;
    ledger_->onEnded = std::move(onEnded);
}

HeldBytes::~HeldBytes() = default;

HeldBytes::Share HeldBytes::share(PeerKind kind, std::function<void()> end)
{
    auto entry = std::make_shared<Entry>();
    entry->ledger = ledger_;
    entry->kind = kind;
    entry->number = ledger_->nextNumber++;
    entry->end = std::move(end);
    ledger_->accountOf(kind).entries.insert(entry.get());
    return Share(std::move(entry));
}

void HeldBytes::setLimits(const HeldLimits &limits)
{
    ledger_->limits = limits;
    for (const auto &[kind, name] : PeerKindNames) {
        ledger_->enforce(kind);
    }
}

std::size_t HeldBytes::bytes(PeerKind kind) const
{
    return ledger_->accountOf(kind).bytes;
}

std::size_t HeldBytes::bytes() const
{
    return ledger_->bytes;
}

std::size_t HeldBytes::releasingBytes() const
{
    return ledger_->releasingBytes;
}

std::size_t HeldBytes::mostBytes(PeerKind kind) const
{
    return ledger_->accountOf(kind).mostBytes;
}

std::uint64_t HeldBytes::ended(PeerKind kind) const
{
    return ledger_->accountOf(kind).ended;
}

HeldBytes::Share::Share(std::shared_ptr<Entry> entry)
    : entry_(std::move(entry))
{
}

HeldBytes::Share::~Share()
{
    release();
}

HeldBytes::Share::Share(Share &&other) noexcept
    : entry_(std::move(other.entry_))
{
}

HeldBytes::Share &HeldBytes::Share::operator=(Share &&other) noexcept
{
    if (this != &other) {
        release();
        entry_ = std::move(other.entry_);
    }
    return *this;
}

void HeldBytes::Share::set(std::size_t bytes)
{
    if (!entry_) {
        return;
    }
    if (entry_->isEnded) {
        return entry_->ledger->countReleasing(*entry_, std::min(entry_->releasingBytes, bytes));
    }
    entry_->ledger->count(*entry_, bytes);
    entry_->ledger->enforce(entry_->kind);
}

std::size_t HeldBytes::Share::bytes() const
{
    return entry_ ? entry_->bytes : 0;
}

bool HeldBytes::Share::isEnded() const
{
    return entry_ && entry_->isEnded;
}

void HeldBytes::Share::release()
{
    if (entry_ && entry_->isEnded) {
        entry_->ledger->countReleasing(*entry_, 0);
    } else if (entry_) {
        entry_->ledger->remove(*entry_);
    }
    entry_.reset();
}

} // namespace net
