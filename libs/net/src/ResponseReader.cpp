#include "details/ResponseReader.h"

#include "details/HeaderFields.h"
#include "details/MessageEnd.h"
#include "details/ResponseHead.h"

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
    ReadStep step;
    while (!step.error && !parser_->is_header_done()) {
        step = co_await readStep(socket_, buffer_, *parser_, isCancelled_);
        countHeld();
    }
    if (step.error) {
        noteError(step.error);
        progress_.part = parser_->got_some() || buffer_.size() > 0 ? ResponsePart::Header : progress_.part;
        co_return std::nullopt;
    }
    co_return headersOf(parser_->get());
}

void ResponseReader::noteError(const beast::error_code &error)
{
    // These two are the HTTP library's words for a connection that ended.
    const bool isCut = error == http::error::end_of_stream || error == http::error::partial_message;
    if (const std::string text = systemErrorText(error); !text.empty()) {
        progress_.error = text;
    }
    isMalformed_ = error.category() == http::make_error_code(http::error::bad_value).category() && !isCut;
}

void ResponseReader::countHeld()
{
    held_.set(buffer_.capacity() + (keepsBody_ ? static_cast<std::size_t>(progress_.bodyBytes) : 0));
}

asio::awaitable<std::optional<Headers>> ResponseReader::readHeader()
{
    for (int interim = 0; interim <= MaxInterimHeaders; ++interim) {
        parser_.emplace();
        parser_->header_limit(ResponseHeaderBytes);
        parser_->body_limit(call_.bodyLimit);
        parser_->skip(call_.request.method == "HEAD");
        auto headers = co_await readOneHeader();
        if (headers && !isHttpResponse(status(), *headers)) {
            progress_.part = ResponsePart::Header;
            progress_.error = "no HTTP head, status " + std::to_string(status());
            break;
        }
        const bool isInterim = headers && http::to_status_class(parser_->get().result_int()) == http::status_class::informational;
        if (!isInterim) {
            const bool isClear = headers && hasClearEnd(*headers, parser_->get().version() >= Http11);
            isMalformed_ = isMalformed_ || (headers && !isClear);
            co_return isClear ? headers : std::nullopt;
        }
        progress_.part = ResponsePart::Header;
        if (parser_->get().result() == http::status::switching_protocols) {
            break;
        }
    }
    isMalformed_ = true;
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
    ReadStep step;
    std::string chunk(ReadBufferBytes, '\0');
    std::uint64_t bytesBehindHeader = 0;
    std::uint64_t bodyBytes = 0;
    while (!parser_->is_done()) {
        parser_->get().body().data = chunk.data();
        parser_->get().body().size = chunk.size();
        parser_->get().body().more = true;
        step = co_await readStep(socket_, buffer_, *parser_, isCancelled_);
        const std::size_t receivedBytes = chunk.size() - parser_->get().body().size;
        bytesBehindHeader += step.parsedBytes;
        bodyBytes += receivedBytes;
        progress_.bodyBytes += receivedBytes;
        countHeld();
        if (receivedBytes > 0 && !isCancelled_) {
            onData(chunk.substr(0, receivedBytes));
        }
        if (step.error == http::error::need_buffer) {
            step.error = {};
        }
        if (!step.error && hasTooMuchFraming(bytesBehindHeader, bodyBytes)) {
            step.error = http::error::buffer_overflow;
        }
        if (step.error || isCancelled_) {
            noteError(step.error);
            co_return false;
        }
    }
    co_return true;
}

} // namespace net
