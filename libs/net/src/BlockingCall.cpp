#include "net/HttpClient.h"

namespace net {

BlockingResult callAndWait(ClientCall call)
{
    EventLoop loop;
    HttpClient client(loop);
    BlockingResult result;
    client.fetch(
        std::move(call),
        [&](HttpResponse response) {
            result.ok = true;
            result.response = std::move(response);
            loop.stop();
        },
        [&](CallFailure failure) {
            result.failure = failure;
            loop.stop();
        });
    loop.run();
    return result;
}

} // namespace net
