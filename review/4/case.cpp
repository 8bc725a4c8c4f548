// LOST: an instance that is stopped exits while the end of an answer still waits to be written to a client with a slow link.
#include "Stand.h"

#include <boost/json/src.hpp>

using namespace stand;

namespace {

/// The slowest link that the sheets name: 14 Mbit/s.
constexpr int LinkBytesPerMs = 1750;
constexpr std::size_t AnswerBytes = 12 * 1000 * 1000;
constexpr int GraceMs = 8000;

} // namespace

int main(int argc, char **argv)
{
    const Setting setting = settingOf(argc, argv);
    Record record(setting.record);
    const std::string ip = ownIp();
    Store store(ip);
    const Listener runner(ip, [&](Channel &channel) {
        for (Message request; channel.read(request) && request.complete; request = {}) {
            channel.send(answer(200, {"X-Request-Id: " + request.header("X-Request-Id"), "X-Response-Seal: 3e1b.07"}, std::string(AnswerBytes, 'x')));
        }
    });
    store.put("config", "main", manifest(7, {routeOf("/cufi504/", "safe", "app", 20000, 5000, 1)}, {"app"}));
    store.put("servers", "i-7f3a91c2", entryOf("app", runner.address()));
    Instance instance(setting.program, setting.folder, "front-z-a-1", ip, store.address());
    instance.start();
    if (!instance.waitReady(15000)) {
        record.line("the instance isn't ready");
        finish(2);
    }
    sleepMs(3500);

    const auto channel = connectTo(instance.ip, instance.front, 65536);
    if (!channel) {
        finish(2);
    }
    channel->setReadTimeout(3000);
    const std::string id = randomHex(16);
    const long long sentAt = record.ms();
    channel->send(request("GET", "/cufi504/fi50/2f", id, 20000));
    record.line("sent " + id);
    Message message;
    if (!channel->head(message) || message.status() != 200) {
        record.line("no head of an answer: " + message.first);
        finish(2);
    }
    const std::size_t length = std::strtoul(message.header("Content-Length").c_str(), nullptr, 10);
    std::size_t received = channel->buffer().size();
    channel->buffer().clear();
    long long stoppedAt = 0;
    const long long startedAt = record.ms();
    while (received < length) {
        if (setting.trouble && stoppedAt == 0 && record.ms() >= startedAt + 500) {
            stoppedAt = record.ms();
            instance.kill(SIGTERM);
            record.line("SIGTERM; " + std::to_string(received) + " bytes received so far");
        }
        if (!channel->fill(16384)) {
            break;
        }
        received += channel->buffer().size();
        channel->buffer().clear();
        while (received > static_cast<std::size_t>(record.ms() - startedAt + 1) * LinkBytesPerMs) {
            sleepMs(1);
        }
    }
    const long long endedAt = record.ms();
    record.line("received " + std::to_string(received) + " of " + std::to_string(length) + " bytes, " + std::to_string(endedAt - sentAt) + " ms after the request, "
                + (received < length ? "then the channel ended: " + channel->why() : "complete"));
    if (received < length && stoppedAt > 0) {
        record.line("LOST: the channel ended without a complete answer " + std::to_string(endedAt - stoppedAt) + " ms after the SIGTERM; GraceS is "
                    + std::to_string(GraceMs / 1000) + " s");
    }
    const bool lost = received < length && (!setting.trouble || endedAt < stoppedAt + GraceMs + 1000);
    finish(lost ? 1 : 0);
}
