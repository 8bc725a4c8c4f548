#include "details/Quarantine.h"

#include <algorithm>

namespace trefoilport {

Quarantine::Quarantine(std::string observer)
    : observer_(std::move(observer))
{
}

void Quarantine::addCrash(std::uint64_t fingerprint, base::Instant now, std::chrono::milliseconds duration)
{
    CrashReport &report = crashReports_[fingerprint][observer_];
    ++report.crashCount;
    report.expiresAt = now + duration;
    updates_.push_back(fingerprint);
}

void Quarantine::merge(const wire::CrashNotice &notice, const SentAt &sentAt, base::Instant now)
{
    if (notice.observer == observer_ || notice.observer.empty()) {
        return;
    }
    CrashReport &report = crashReports_[notice.fingerprint][notice.observer];
    if (sentAt < report.sentAt) {
        return; // A later message has overtaken this one.
    }
    report = {notice.crashCount, now + std::chrono::milliseconds(notice.remainingMs), sentAt};
}

void Quarantine::clear(std::uint64_t fingerprint)
{
    const auto found = crashReports_.find(fingerprint);
    if (found == crashReports_.end()) {
        return;
    }
    const auto own = found->second.find(observer_);
    if (own != found->second.end() && own->second.crashCount > 0) {
        own->second.crashCount = 0;
        updates_.push_back(fingerprint);
    }
}

std::uint32_t Quarantine::crashCount(std::uint64_t fingerprint, base::Instant now) const
{
    const auto found = crashReports_.find(fingerprint);
    if (found == crashReports_.end()) {
        return 0;
    }
    std::uint32_t total = 0;
    for (const auto &[observer, report] : found->second) {
        total += report.expiresAt > now ? report.crashCount : 0;
    }
    return total;
}

wire::CrashNotice Quarantine::noticeOf(std::uint64_t fingerprint, const CrashReport &report, base::Instant now) const
{
    const auto remaining = std::max<std::int64_t>(0, base::toMs(report.expiresAt - now));
    return {fingerprint, observer_, report.crashCount, static_cast<std::uint32_t>(remaining)};
}

std::vector<wire::CrashNotice> Quarantine::takeUpdates(base::Instant now)
{
    std::vector<wire::CrashNotice> notices;
    for (const std::uint64_t fingerprint : updates_) {
        const auto found = crashReports_.find(fingerprint);
        if (found != crashReports_.end() && found->second.count(observer_) > 0) {
            notices.push_back(noticeOf(fingerprint, found->second.at(observer_), now));
        }
    }
    updates_.clear();
    return notices;
}

std::vector<wire::CrashNotice> Quarantine::notices(base::Instant now, std::size_t limit) const
{
    std::vector<wire::CrashNotice> out;
    for (const auto &[fingerprint, byObserver] : crashReports_) {
        const auto own = byObserver.find(observer_);
        if (own != byObserver.end() && out.size() < limit) {
            out.push_back(noticeOf(fingerprint, own->second, now));
        }
    }
    return out;
}

void Quarantine::tick(base::Instant now)
{
    for (auto it = crashReports_.begin(); it != crashReports_.end();) {
        std::erase_if(it->second, [now](const auto &entry) { return entry.second.expiresAt <= now; });
        it = it->second.empty() ? crashReports_.erase(it) : std::next(it);
    }
}

} // namespace trefoilport
