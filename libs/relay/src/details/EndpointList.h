#pragma once

#include "relay/Endpoint.h"
#include "wire/RelayDigest.h"

#include <deque>
#include <map>
#include <optional>

namespace relay {

/// The endpoints as the store lists them, up to a revision, with what has changed since earlier ones.
///
/// Whoever knows the list up to some revision gets the changes since then from any instance that knows it up to a later one, without asking
/// the store. A change may be told twice, since instances see it at different revisions; it is never left out.
class EndpointList
{
public:
    /// Takes the whole list. False if it is older than what is known; nothing changes then.
    bool replace(const std::vector<EndpointEntry> &entries, std::uint64_t revision);

    /// Takes the changes up to a later revision since one that is known. False if nothing changes.
    bool apply(const wire::EndpointListChanges &changes, std::uint64_t revision);

    /// The changes since a revision; none if it is before the first list or too long ago.
    std::optional<wire::EndpointListChanges> since(std::uint64_t revision) const;

    std::vector<EndpointEntry> entries() const;

    std::uint64_t revision() const
    {
        return revision_;
    }

    /// The same for lists with the same content.
    std::uint64_t hash() const;

private:
    struct Listed {
        wire::EndpointRecord record;
        /// Up to this revision the change to it may have come.
        std::uint64_t changedAt = 0;
    };
    struct Removed {
        std::string id;
        std::uint64_t removedAt = 0;
    };

    void put(const wire::EndpointRecord &record, std::uint64_t revision);
    void remove(const std::string &id, std::uint64_t revision);

    std::map<std::string, Listed> listed_;
    /// By revision.
    std::deque<Removed> removed_;
    /// Changes since earlier revisions than this are not known.
    std::uint64_t knownSince_ = 0;
    std::uint64_t revision_ = 0;
};

} // namespace relay
