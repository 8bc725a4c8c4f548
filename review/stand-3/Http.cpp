#include "Http.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace stand {

namespace {

const auto Started = std::chrono::steady_clock::now();

std::string headerIn(const Headers &headers, std::string_view name)
{
    for (const auto &[field, value] : headers) {
        if (field.size() == name.size() && strncasecmp(field.data(), name.data(), name.size()) == 0) {
            return value;
        }
    }
    return "";
}

sockaddr_in addressOf(const std::string &host, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

bool readHeaders(Channel &channel, Headers &headers)
{
    while (auto line = channel.readLine()) {
        if (line->empty()) {
            return true;
        }
        const auto colon = line->find(':');
        if (colon == std::string::npos) {
            return false;
        }
        std::string value = line->substr(colon + 1);
        value.erase(0, value.find_first_not_of(" \t") == std::string::npos ? value.size() : value.find_first_not_of(" \t"));
        headers.emplace_back(line->substr(0, colon), value);
    }
    return false;
}

bool readChunks(Channel &channel, std::string &body, const std::function<void(const std::string &)> &onData)
{
    for (;;) {
        const auto line = channel.readLine();
        if (!line) {
            return false;
        }
        const std::size_t size = std::strtoul(line->c_str(), nullptr, 16);
        if (size == 0) {
            Headers trailer;
            return readHeaders(channel, trailer);
        }
        std::string data;
        if (!channel.readBytes(size, data) || !channel.readLine()) {
            return false;
        }
        body += data;
        if (onData) {
            onData(data);
        }
    }
}

} // namespace

double nowMs()
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - Started).count();
}

void sleepMs(double ms)
{
    if (ms > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
    }
}

std::string Request::header(std::string_view name) const
{
    return headerIn(headers, name);
}

std::string Request::query(const std::string &name) const
{
    const auto mark = target.find('?');
    const auto at = mark == std::string::npos ? mark : target.find(name + "=", mark);
    if (at == std::string::npos) {
        return "";
    }
    const auto start = at + name.size() + 1;
    return target.substr(start, target.find('&', start) - start);
}

std::string Response::header(std::string_view name) const
{
    return headerIn(headers, name);
}

Channel::~Channel()
{
    if (fd_ >= 0) {
        ::close(fd_);
    }
}

bool Channel::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto sent = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool Channel::fill()
{
    if (at_ == buffer_.size()) {
        buffer_.clear();
        at_ = 0;
    }
    char bytes[16384];
    const auto count = ::recv(fd_, bytes, sizeof bytes, 0);
    timedOut_ = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (count <= 0) {
        return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(count));
    return true;
}

std::optional<std::string> Channel::readLine()
{
    for (;;) {
        const auto end = buffer_.find('\n', at_);
        if (end != std::string::npos) {
            std::string line = buffer_.substr(at_, end - at_);
            at_ = end + 1;
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            return line;
        }
        if (!fill()) {
            return std::nullopt;
        }
    }
}

bool Channel::readBytes(std::size_t count, std::string &bytes)
{
    while (buffer_.size() - at_ < count) {
        if (!fill()) {
            return false;
        }
    }
    bytes = buffer_.substr(at_, count);
    at_ += count;
    return true;
}

bool Channel::readToEnd(std::string &bytes)
{
    while (fill()) { }
    bytes = buffer_.substr(at_);
    at_ = buffer_.size();
    return !timedOut_ && errno == 0;
}

void Channel::setTimeout(double ms)
{
    const timeval time{static_cast<time_t>(ms / 1000), static_cast<suseconds_t>(std::max(1.0, (ms - 1000.0 * static_cast<long>(ms / 1000)) * 1000))};
    ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
    ::setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof time);
}

void Channel::reset()
{
    const linger hard{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    // The abort that this causes on Linux (connect to AF_UNSPEC) sends the reset at once, also while another thread uses the descriptor.
    sockaddr unspecified{};
    unspecified.sa_family = AF_UNSPEC;
    static_cast<void>(::connect(fd_, &unspecified, sizeof unspecified));
}

void Channel::shut()
{
    ::shutdown(fd_, SHUT_RDWR);
}

bool Channel::isPeerGone() const
{
    char byte = 0;
    const auto count = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

std::shared_ptr<Channel> connectTo(const Address &address, double timeoutMs)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return nullptr;
    }
    auto channel = std::make_shared<Channel>(fd);
    channel->setTimeout(timeoutMs);
    const auto target = addressOf(address.host, address.port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
        return nullptr;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return channel;
}

std::optional<Request> readRequest(Channel &channel)
{
    auto line = channel.readLine();
    if (!line) {
        return std::nullopt;
    }
    Request request;
    const auto first = line->find(' ');
    const auto last = line->rfind(' ');
    if (first == std::string::npos || last <= first) {
        return std::nullopt;
    }
    request.method = line->substr(0, first);
    request.target = line->substr(first + 1, last - first - 1);
    if (!readHeaders(channel, request.headers)) {
        return std::nullopt;
    }
    if (const std::string length = request.header("Content-Length"); !length.empty()) {
        if (!channel.readBytes(std::strtoul(length.c_str(), nullptr, 10), request.body)) {
            return std::nullopt;
        }
    } else if (request.header("Transfer-Encoding") == "chunked" && !readChunks(channel, request.body, {})) {
        return std::nullopt;
    }
    return request;
}

std::string responseText(const Response &response, bool close)
{
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + " X\r\n";
    for (const auto &[name, value] : response.headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n" + (close ? "Connection: close\r\n" : "") + "\r\n" + response.body;
    return text;
}

std::string requestText(const Request &request)
{
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : request.headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    return text + "\r\n" + request.body;
}

std::string Outcome::text() const
{
    switch (end) {
    case End::Answered:
        return std::to_string(response.status) + (isWhole ? "" : " cut");
    case End::NoConnection:
        return "no connection";
    case End::Timeout:
        return "no answer in time";
    case End::Closed:
        return "closed without an answer";
    }
    return "";
}

void readResponse(Channel &channel, const std::string &method, Outcome &outcome, const std::function<void(const std::string &)> &onData)
{
    const auto line = channel.readLine();
    outcome.end = End::Closed;
    if (line && line->size() > 12) {
        outcome.response.status = std::atoi(line->c_str() + 9);
        Response &response = outcome.response;
        if (readHeaders(channel, response.headers)) {
            outcome.end = End::Answered;
            const std::string length = response.header("Content-Length");
            if (method == "HEAD" || response.status == 204) {
                outcome.isWhole = true;
            } else if (response.header("Transfer-Encoding") == "chunked") {
                outcome.isWhole = readChunks(channel, response.body, onData);
            } else if (!length.empty()) {
                outcome.isWhole = channel.readBytes(std::strtoul(length.c_str(), nullptr, 10), response.body);
            } else {
                outcome.isWhole = channel.readToEnd(response.body);
            }
        }
    }
    if (outcome.end == End::Closed && channel.wasTimeout()) {
        outcome.end = End::Timeout;
    }
    outcome.endedAt = nowMs();
}

Outcome call(const Address &address, const Request &request, double timeoutMs, const std::function<void(const std::string &)> &onData)
{
    Outcome outcome;
    outcome.sentAt = nowMs();
    const auto channel = connectTo(address, std::min(timeoutMs, 1000.0));
    if (!channel) {
        outcome.endedAt = nowMs();
        return outcome;
    }
    channel->setTimeout(timeoutMs);
    if (!channel->send(requestText(request))) {
        outcome.end = End::Closed;
        outcome.endedAt = nowMs();
        return outcome;
    }
    readResponse(*channel, request.method, outcome, onData);
    return outcome;
}

Server::Server(const std::string &host, int port, Handler handler)
    : handler_(std::move(handler))
    , address_{host, port}
{
    start();
}

Server::~Server()
{
    stop();
}

void Server::start()
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = addressOf(address_.host, address_.port);
    if (::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || ::listen(fd, 1024) != 0) {
        ::close(fd);
        throw std::runtime_error("can't listen on " + address_.text());
    }
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    address_.port = ntohs(address.sin_port);
    fd_ = fd;
    thread_ = std::thread([this, fd]() { acceptLoop(fd); });
}

void Server::resetAll()
{
    const std::lock_guard lock(mutex_);
    for (const auto &channel : open_) {
        channel->reset();
    }
}

void Server::stop()
{
    const int fd = fd_.exchange(-1);
    if (fd < 0) {
        return;
    }
    ::shutdown(fd, SHUT_RDWR);
    resetAll();
    thread_.join();
    ::close(fd);
    resetAll();
    while (threads_ > 0) {
        sleepMs(1);
    }
}

void Server::acceptLoop(int fd)
{
    while (fd_ == fd) {
        const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
            if (fd_ != fd) {
                return;
            }
            sleepMs(1);
            continue;
        }
        const int on = 1;
        ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        auto channel = std::make_shared<Channel>(accepted);
        {
            const std::lock_guard lock(mutex_);
            open_.insert(channel);
        }
        ++threads_;
        std::thread([this, channel]() {
            handler_(*channel);
            {
                const std::lock_guard lock(mutex_);
                open_.erase(channel);
            }
            --threads_;
        }).detach();
    }
}

} // namespace stand
