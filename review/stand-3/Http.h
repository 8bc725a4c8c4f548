// A small blocking HTTP/1.1 over TCP on loopback addresses, one thread a connection.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace stand {

using Headers = std::vector<std::pair<std::string, std::string>>;
using Ms = std::chrono::milliseconds;

/// Milliseconds since the start of this process, by the steady clock.
double nowMs();
void sleepMs(double ms);

struct Address {
    std::string host;
    int port = 0;
    std::string text() const
    {
        return host + ":" + std::to_string(port);
    }
};

struct Request {
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
    /// Returns the first value of a header field; empty without one.
    std::string header(std::string_view name) const;
    std::string path() const
    {
        return target.substr(0, target.find('?'));
    }
    /// Returns the value of "name=" in the query; empty without one.
    std::string query(const std::string &name) const;
};

struct Response {
    int status = 0;
    Headers headers;
    std::string body;
    std::string header(std::string_view name) const;
};

/// A TCP connection with a read buffer.
class Channel
{
public:
    explicit Channel(int fd)
        : fd_(fd)
    {
    }
    ~Channel();
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    bool send(std::string_view bytes);
    /// Reads a line without its line break; none if the connection ends before.
    std::optional<std::string> readLine();
    bool readBytes(std::size_t count, std::string &bytes);
    /// Reads until the connection ends. Returns false if it was reset.
    bool readToEnd(std::string &bytes);
    void setTimeout(double ms);
    /// Ends the connection with a reset.
    void reset();
    /// Ends the sending and the receiving side, so that blocked calls return.
    void shut();
    /// Returns whether the peer has closed or reset the connection.
    bool isPeerGone() const;
    bool wasTimeout() const
    {
        return timedOut_;
    }
    int fd() const
    {
        return fd_;
    }

private:
    bool fill();

    std::atomic<int> fd_;
    std::string buffer_;
    std::size_t at_ = 0;
    bool timedOut_ = false;
};

/// Opens a connection; null if that fails within the time.
std::shared_ptr<Channel> connectTo(const Address &address, double timeoutMs);

std::optional<Request> readRequest(Channel &channel);
std::string responseText(const Response &response, bool close = false);

/// How a request of a client has ended.
enum class End { Answered, NoConnection, Timeout, Closed };

struct Outcome {
    End end = End::NoConnection;
    Response response;
    /// The whole body has arrived.
    bool isWhole = false;
    double sentAt = 0;
    double endedAt = 0;
    std::string text() const;
};

/// Sends a request over a new connection and reads the response. `onData` sees parts of the body as they come.
Outcome call(const Address &address, const Request &request, double timeoutMs, const std::function<void(const std::string &)> &onData = {});
std::string requestText(const Request &request);
/// Reads the response of a request that was sent.
void readResponse(Channel &channel, const std::string &method, Outcome &outcome, const std::function<void(const std::string &)> &onData = {});

/// Listens on an address; each connection has a thread.
class Server
{
public:
    using Handler = std::function<void(Channel &)>;

    Server(const std::string &host, int port, Handler handler);
    ~Server();
    Address address() const
    {
        return address_;
    }
    /// Listens again, at the same address, after stop().
    void start();
    /// Resets all connections.
    void resetAll();
    /// Stops listening and resets all connections.
    void stop();

private:
    void acceptLoop(int fd);

    Handler handler_;
    Address address_;
    std::atomic<int> fd_{-1};
    std::thread thread_;
    std::mutex mutex_;
    std::set<std::shared_ptr<Channel>> open_;
    std::atomic<int> threads_{0};
};

} // namespace stand
