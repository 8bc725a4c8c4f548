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
    std::vector<wire::EndpointRecord> records;
    records.reserve(entries.size());
    for (const EndpointEntry &entry : entries) {
        records.push_back(toRecord(entry));
    }
    return replaceRecords(records, version);
}

bool EndpointList::replaceRecords(const std::vector<wire::EndpointRecord> &records, wire::StoreVersion version)
{
    if (version < version_) {
        return false;
    }
    if (version_.revision == 0 || version.epoch != version_.epoch) {
        listed_.clear();
        removed_.clear();
        knownSince_ = version.revision;
    }
    std::set<std::string> present;
    for (const wire::EndpointRecord &record : records) {
        present.insert(record.id);
        put(record, version.revision);
    }
    std::vector<std::string> gone;
    for (const auto &[id, listed] : listed_) {
        if (!present.contains(id)) {
            gone.push_back(id);
        }
    }
    for (const std::string &id : gone) {
        remove(id, version.revision);
    }
    version_ = version;
    return true;
}

bool EndpointList::apply(const wire::EndpointListChanges &changes, wire::StoreVersion version)
{
    if (version <= version_) {
        return false;
    }
    if (changes.isComplete || version_.revision == 0) {
        return replaceRecords(changes.changed, version);
    }
    if (version.epoch != version_.epoch) {
        return false;
    }
    for (const wire::EndpointRecord &record : changes.changed) {
        put(record, version.revision);
    }
    for (const std::string &id : changes.removed) {
        remove(id, version.revision);
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
    if (version_.revision == 0 || version.epoch > version_.epoch) {
        return std::nullopt;
    }
    wire::EndpointListChanges changes;
    changes.isComplete = version.revision == 0 || version.epoch < version_.epoch || version.revision < knownSince_;
    for (const auto &[id, listed] : listed_) {
        if (changes.isComplete || listed.changedAt > version.revision) {
            changes.changed.push_back(listed.record);
        }
    }
    for (const Removed &removed : removed_) {
        if (!changes.isComplete && removed.removedAt > version.revision) {
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
