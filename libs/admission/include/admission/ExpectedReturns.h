#pragma once

#include "admission/Flow.h"

#include <unordered_map>
#include <vector>

namespace admission {

/// Remembers the requests that were rejected with a retry time, at this and at other instances, so that they are recognised when they return. Requests are
/// given by a short hash of their content: two may have the same one, which only admits a request that might have been rejected.
class ExpectedReturns
{
public:
    /// Notes a request that this instance rejects.
    void onRejected(std::uint32_t request, Ms retryAfter, Instant now);
    /// Takes the rejected requests of another instance's digest.
    void onNews(const std::vector<std::uint32_t> &requests, Instant now);
    /// Returns whether the request was rejected before and is expected to return now. It is forgotten, since it returns once only.
    bool takeReturn(std::uint32_t request, Instant now);
    /// Returns the requests that this instance itself has rejected since the last call, and those that it has learned of since, from any instance. Each is
    /// returned once, so that digests of aggregators don't repeat it in turns.
    struct News {
        std::vector<std::uint32_t> own;
        std::vector<std::uint32_t> all;
    };
    News takeNews(Instant now);
    std::size_t size() const
    {
        return expiry_.size();
    }

private:
    /// Returns false if the request is known already, or if there is no space.
    bool note(std::uint32_t request, Instant expiresAt, Instant now);

    std::unordered_map<std::uint32_t, Instant> expiry_;
    News news_;
};

} // namespace admission
