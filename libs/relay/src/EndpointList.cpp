#include "details/EndpointList.h"

#include "base/Hash.h"

#include <algorithm>
#include <set>

namespace relay {

namespace {

/// Number of removed endpoints that are kept in the history; older ones are dropped from it.
constexpr std::size_t MaxRemoved = 256;
/// Bits of a layer number in a record.
constexpr unsigned LayerIndexBits = 32;

wire::EndpointRecord toRecord(const EndpointEntry &entry)
{
    return {entry.id,
            entry.service,
            entry.address,
            entry.zone,
            entry.incarnation,
            entry.draining,
            entry.slots,
            entry.accelerator,
            entry.layers.first,
            entry.layers.end,
            entry.modelVersion};
}

EndpointEntry toEntry(const wire::EndpointRecord &record)
{
    return {record.id,
            record.service,
            record.address,
            record.zone,
            record.incarnation,
            record.draining,
            record.slots,
            record.accelerator,
            {record.firstLayer, record.endLayer},
            record.modelVersion};
}

} // namespace

bool EndpointList::replace(const std::vector<EndpointEntry> &entries, wire::StoreVersion version)
{
    const std::uint64_t revision = version.revision;
    if (revision < version_.revision) {
        return false;
    }
    if (version_.revision == 0) {
        knownSince_ = revision;
    }
    std::set<std::string> present;
    for (const EndpointEntry &entry : entries) {
        present.insert(entry.id);
        put(toRecord(entry), revision);
    }
    std::vector<std::string> gone;
    for (const auto &[id, listed] : listed_) {
        if (!present.contains(id)) {
            gone.push_back(id);
        }
    }
    for (const std::string &id : gone) {
        remove(id, revision);
    }
    version_ = version;
    return true;
}

bool EndpointList::apply(const wire::EndpointListChanges &changes, wire::StoreVersion version)
{
    const std::uint64_t revision = version.revision;
    if (revision <= version_.revision) {
        return false;
    }
    if (version_.revision == 0) {
        knownSince_ = revision;
    }
    for (const wire::EndpointRecord &record : changes.changed) {
        put(record, revision);
    }
    for (const std::string &id : changes.removed) {
        remove(id, revision);
    }
    version_ = version;
    return true;
}

void EndpointList::put(const wire::EndpointRecord &record, std::uint64_t revision)
{
    Listed &listed = listed_[record.id];
    if (listed.changedAt == 0 || listed.record != record) {
        listed = {record, revision};
        std::erase_if(removed_, [&](const Removed &removed) { return removed.id == record.id; });
    }
}

void EndpointList::remove(const std::string &id, std::uint64_t revision)
{
    if (listed_.erase(id) == 0) {
        return;
    }
    removed_.push_back({id, revision});
    if (removed_.size() > MaxRemoved) {
        knownSince_ = std::max(knownSince_, removed_.front().removedAt);
        removed_.pop_front();
    }
}

std::optional<wire::EndpointListChanges> EndpointList::changesSince(wire::StoreVersion version) const
{
    const std::uint64_t revision = version.revision;
    const bool isWholeList = revision == 0;
    if (version_.revision == 0 || (revision < knownSince_ && !isWholeList)) {
        return std::nullopt;
    }
    wire::EndpointListChanges changes;
    for (const auto &[id, listed] : listed_) {
        if (listed.changedAt > revision) {
            changes.changed.push_back(listed.record);
        }
    }
    for (const Removed &removed : removed_) {
        if (removed.removedAt > revision) {
            changes.removed.push_back(removed.id);
        }
    }
    return changes;
}

std::vector<EndpointEntry> EndpointList::entries() const
{
    std::vector<EndpointEntry> entries;
    entries.reserve(listed_.size());
    for (const auto &[id, listed] : listed_) {
        entries.push_back(toEntry(listed.record));
    }
    return entries;
}

std::uint64_t EndpointList::hash() const
{
    std::uint64_t hash = listed_.size() + 1;
    for (const auto &[id, listed] : listed_) {
        const wire::EndpointRecord &record = listed.record;
        hash = base::hashOf(record.address, base::mixBits(base::hashOf(id, hash)));
        hash = base::mixBits(hash ^ record.incarnation);
        hash = base::mixBits(hash ^ (record.draining ? 1U : 0U));
        hash = base::mixBits(hash ^ (static_cast<std::uint64_t>(record.firstLayer) << LayerIndexBits | record.endLayer));
        hash = base::mixBits(hash ^ record.modelVersion);
    }
    return hash;
}

} // namespace relay
