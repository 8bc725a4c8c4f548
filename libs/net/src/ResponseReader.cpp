#include "details/ResponseReader.h"

#include "details/HeaderFields.h"
#include "details/MessageEnd.h"

namespace net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::size_t ReadBufferBytes = 16 * 1024;
/// Interim headers that are skipped before the header of the response.
constexpr int MaxInterimHeaders = 16;

} // namespace

asio::awaitable<std::optional<Headers>> ResponseReader::readOneHeader()
{
    beast::error_code error;
    co_await http::async_read_header(socket_, buffer_, *parser_, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        progress_.part = parser_->got_some() || buffer_.size() > 0 ? ResponsePart::Header : progress_.part;
        co_return std::nullopt;
    }
    co_return headersOf(parser_->get());
}

asio::awaitable<std::optional<Headers>> ResponseReader::readHeader()
{
    for (int interim = 0; interim <= MaxInterimHeaders; ++interim) {
        parser_.emplace();
        parser_->body_limit(call_.bodyLimit);
        parser_->skip(call_.request.method == "HEAD");
        auto headers = co_await readOneHeader();
        const bool isInterim = headers && http::to_status_class(parser_->get().result_int()) == http::status_class::informational;
        if (!isInterim) {
            const bool isClear = headers && hasClearEnd(*headers, parser_->get().version() >= Http11);
            co_return isClear ? headers : std::nullopt;
        }
        progress_.part = ResponsePart::Header;
        if (parser_->get().result() == http::status::switching_protocols) {
            break;
        }
    }
    co_return std::nullopt;
}

void ResponseReader::beginResponse()
{
    progress_.part = ResponsePart::Body;
    progress_.bodyBytes = 0;
    if (const auto length = parser_->content_length()) {
        progress_.statedBytes = *length;
    }
}

asio::awaitable<bool> ResponseReader::readBody(const DataHandler &onData)
{
    beast::error_code error;
    std::string chunk(ReadBufferBytes, '\0');
    while (!parser_->is_done()) {
        parser_->get().body().data = chunk.data();
        parser_->get().body().size = chunk.size();
        parser_->get().body().more = true;
        co_await http::async_read_some(socket_, buffer_, *parser_, asio::redirect_error(asio::use_awaitable, error));
        const std::size_t receivedBytes = chunk.size() - parser_->get().body().size;
        progress_.bodyBytes += receivedBytes;
        if (receivedBytes > 0 && !isCancelled_) {
            onData(chunk.substr(0, receivedBytes));
        }
        if (error == http::error::need_buffer) {
            error = {};
        }
        if (error || isCancelled_) {
            co_return false;
        }
    }
    co_return true;
}

} // namespace net
