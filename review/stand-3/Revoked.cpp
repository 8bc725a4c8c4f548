// The store comes back from a copy in which a key is still there that was taken away long before. An instance that starts then takes the key.
#include "Cases.h"

#include <csignal>

namespace stand {

int runRevoked(Record &record)
{
    constexpr double RevokeMs = 5000;
    /// Time until the operator writes the newest manifest again.
    constexpr double WrittenAgainMs = 1000;
    const std::string revoked = "anfqasnmgkcuyj8pjbvk";
    Bed bed(record);
    bed.store.put("config", "main", manifest(7, {revoked}));
    if (!bed.start()) {
        return CannotRun;
    }
    const auto ask = [&]() {
        Request request = requestOf("GET", "/desk/read/" + newId(), 2500);
        for (auto &[name, value] : request.headers) {
            value = name == "Api-Key" ? revoked : value;
        }
        return request;
    };
    const auto askAll = [&](int status) {
        bool isSo = true;
        for (auto &front : bed.fronts) {
            const Outcome outcome = call(front->callers(), ask(), 2500);
            record.line(front->name() + " answers the key with " + outcome.text());
            isSo = isSo && outcome.response.status == status;
        }
        return isSo;
    };
    if (!askAll(200)) {
        return CannotRun;
    }
    bed.store.copy();
    sleepMs(1000);
    bed.store.put("config", "main", manifest(9));
    const double ackedAt = nowMs();
    record.line("the manifest without the key is acknowledged");
    sleepMs(RevokeMs + 1500);
    if (!askAll(401)) {
        return CannotRun;
    }
    Front &restarted = bed.front(2);
    restarted.stop();
    if (!isTroubleOff()) {
        bed.store.restore();
        record.line("the store is back from a copy of " + std::to_string(static_cast<int>((nowMs() - ackedAt) / 1000) + 1) + " s ago");
    }
    restarted.start();
    record.line(restarted.name() + " starts again");
    const double from = nowMs();
    int run = 0;
    int sent = 0;
    bool isWritten = false;
    while (nowMs() < from + 4000) {
        if (!isWritten && nowMs() >= from + WrittenAgainMs) {
            isWritten = true;
            bed.store.put("config", "main", manifest(9));
            record.line("the operator has written the manifest without the key again");
        }
        const Request request = ask();
        const Outcome outcome = call(restarted.callers(), request, 2500);
        if (outcome.end != End::NoConnection) {
            ++sent;
            run += outcome.response.status == 200 ? 1 : 0;
            record.line("client with the key got for " + request.header("X-Request-Id") + ": " + outcome.text() + " " + outcome.response.body.substr(0, 120));
        }
        sleepMs(50);
    }
    record.line("requests with the key, sent more than " + std::to_string(static_cast<int>((from - ackedAt) / 1000))
                + " s after the ack: " + std::to_string(sent) + ", run: " + std::to_string(run));
    return sent == 0 ? CannotRun : run > 0 ? Broken : Held;
}

} // namespace stand
