#include "HeadStore.h"

#include "platform/PlatformClient.h"
#include "wire/Codec.h"

namespace {

const char *const HeadKey = "config/head";

} // namespace

HeadStore::HeadStore(net::Address platform)
    : platform_(std::move(platform))
{
}

std::string HeadStore::Head::problem() const
{
    return isDamaged ? std::string(HeadKey) + ", version " + std::to_string(version) + ", can't be decoded" : "the object API does not answer";
}

HeadStore::Head HeadStore::read() const
{
    net::EventLoop loop;
    platform::PlatformClient client(loop, platform_);
    platform::ReadResult result;
    client.read(HeadKey, [&](platform::ReadResult got) {
        result = std::move(got);
        loop.stop();
    });
    loop.run();
    Head head{result.status, result.version, {}, false};
    if (result.status == wire::StoreStatus::Ok) {
        auto decoded = wire::decodeConfigHead(result.value);
        if (!base::isOk(decoded)) {
            head.status = wire::StoreStatus::Unavailable;
            head.isDamaged = true;
            return head;
        }
        head.head = std::get<wire::ConfigHead>(std::move(decoded));
    }
    return head;
}

wire::StoreStatus HeadStore::write(const wire::ConfigHead &head, std::uint64_t expected) const
{
    net::EventLoop loop;
    platform::PlatformClient client(loop, platform_);
    wire::StoreStatus status = wire::StoreStatus::Ambiguous;
    client.write(HeadKey, wire::encode(head), expected, [&](const platform::WriteResult &got) {
        status = got.status;
        loop.stop();
    });
    loop.run();
    return status;
}
