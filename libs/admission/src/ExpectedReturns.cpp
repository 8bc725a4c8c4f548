#include "admission/ExpectedReturns.h"

#include <utility>

namespace admission {

namespace {

/// Time beyond the retry time for which a return is expected: transfers and the caller's own delay.
constexpr Ms ReturnSlack{1500};
/// How long a request of another instance's digest is expected to return. Digests don't state retry times, which are a third of a caller's time limit at most.
constexpr Ms NewsLifetime{8000};
/// Limit on the remembered requests, for the memory that they take: some 200 KB.
constexpr std::size_t MaxRequests = 4096;
/// Limit on the requests in one digest. Those beyond are recognised by this instance only.
constexpr std::size_t MaxNews = 64;

} // namespace

bool ExpectedReturns::note(std::uint32_t request, Instant expiresAt, Instant now)
{
    const auto known = expiry_.find(request);
    const bool isNew = known == expiry_.end() || now >= known->second;
    if (known == expiry_.end() && expiry_.size() >= MaxRequests) {
        return false;
    }
    expiry_[request] = expiresAt;
    return isNew;
}

void ExpectedReturns::onRejected(std::uint32_t request, Ms retryAfter, Instant now)
{
    if (note(request, now + retryAfter + ReturnSlack, now) && news_.own.size() < MaxNews) {
        news_.own.push_back(request);
    }
}

void ExpectedReturns::onNews(const std::vector<std::uint32_t> &requests, Instant now)
{
    for (const std::uint32_t request : requests) {
        const auto known = expiry_.find(request);
        const bool isKnown = known != expiry_.end() && now < known->second;
        if (!isKnown && note(request, now + NewsLifetime, now) && news_.all.size() < MaxNews) {
            news_.all.push_back(request);
        }
    }
}

bool ExpectedReturns::takeReturn(std::uint32_t request, Instant now)
{
    const auto known = expiry_.find(request);
    if (known == expiry_.end()) {
        return false;
    }
    const bool isExpected = now < known->second;
    expiry_.erase(known);
    return isExpected;
}

ExpectedReturns::News ExpectedReturns::takeNews(Instant now)
{
    std::erase_if(expiry_, [&](const auto &entry) { return now >= entry.second; });
    News news = std::exchange(news_, {});
    news.all.insert(news.all.end(), news.own.begin(), news.own.end());
    return news;
}

} // namespace admission
