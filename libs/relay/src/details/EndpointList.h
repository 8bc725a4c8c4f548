#pragma once

#include "relay/Endpoint.h"
#include "wire/RelayDigest.h"

#include <deque>
#include <map>
#include <optional>

namespace relay {

/// The store's list of endpoints up to a version of the store, with a history of changes.
///
/// An instance that knows the list up to some version can get the later changes from any instance that knows a later version, without a read
/// of the store. A change may be sent twice, since instances see it at different versions; it is never left out.
class EndpointList
{
public:
    /// Replaces the whole list by one that was read from the store. Returns false, without any change, if the version is older than the known one.
    bool replace(const std::vector<EndpointEntry> &entries, wire::StoreVersion version);

    /// Applies changes that lead from a known version to the given one, or takes the whole list. Returns false, without any change, if the version isn't
    /// later than the known one, or if changes lead to another epoch: what the copy lacks isn't among them.
    bool apply(const wire::EndpointListChanges &changes, wire::StoreVersion version);

    /// Returns the changes after a version; the whole list if the history doesn't reach back that far: it begins anew with each epoch. Nothing if the
    /// version is of a later epoch, or if no list is known yet.
    std::optional<wire::EndpointListChanges> changesSince(wire::StoreVersion version) const;

    /// Returns all listed endpoints, ordered by id.
    std::vector<EndpointEntry> entries() const;

    /// Version of the store up to which the list is known; revision 0 before the first list.
    wire::StoreVersion version() const
    {
        return version_;
    }

    /// Returns a hash of the content, without the version: equal for equal lists.
    std::uint64_t hash() const;

private:
    struct Listed {
        wire::EndpointRecord record;
        /// Revision, in the present epoch, at which the last change of the record was seen. The store may have changed it at an earlier one.
        std::uint64_t changedAt = 0;
    };
    struct Removed {
        std::string id;
        /// Revision at which the endpoint was first seen to be missing.
        std::uint64_t removedAt = 0;
    };

    /// Replaces the whole list; see replace(). The history begins anew with each epoch, since it can't lead from one to the next.
    bool replaceRecords(const std::vector<wire::EndpointRecord> &records, wire::StoreVersion version);
    /// Records a new or changed endpoint; does nothing if the record is unchanged.
    void put(const wire::EndpointRecord &record, std::uint64_t revision);
    /// Moves an endpoint to the history of removed ones; does nothing if it isn't listed.
    void remove(const std::string &id, std::uint64_t revision);

    /// Listed endpoints by id.
    std::map<std::string, Listed> listed_;
    /// Removed endpoints in the order of their revisions.
    std::deque<Removed> removed_;
    /// The earliest revision since which all changes are known.
    std::uint64_t knownSince_ = 0;
    wire::StoreVersion version_;
};

} // namespace relay
