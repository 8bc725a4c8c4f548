#pragma once

#include "net/HttpServer.h"
#include "relay/RelayDriver.h"

#include <concepts>

namespace relayhost {

/// Something that sends responses to callers, as net::HttpServer does.
template<typename Server>
concept ResponseSender = requires(Server server, net::ExchangeId id, const net::HttpResponse &response, const net::Headers &headers, const std::string &data)
{
    server.respond(id, response);
    server.beginStream(id, 200, headers);
    server.writeChunk(id, data);
    server.endStream(id);
    server.abort(id);
};

/// The response to one caller's request; nothing else writes to the caller's connection.
///
/// A stream belongs to one attempt from its first byte on. Only this attempt may write to it, and only its end lets the stream look complete; everything else
/// cuts the connection, so that the caller recognizes the response as incomplete.
template<ResponseSender Server>
class CallerResponse
{
public:
    /// Prepares the response to the request of an exchange; sends nothing yet. The server must outlive this object.
    CallerResponse(Server &server, net::ExchangeId exchange)
        : server_(server)
        , exchange_(exchange)
    {
    }

    /// Sends a complete response. Returns false if a stream has begun or the response has ended; a stream is cut.
    bool answer(const net::HttpResponse &response)
    {
        if (state_ != State::None) {
            return cut();
        }
        state_ = State::Ended;
        server_.respond(exchange_, response);
        return true;
    }

    /// Begins a stream, which belongs to the attempt. Returns false, and cuts the connection, if the response has begun.
    bool begin(relay::AttemptId attempt, int status, const net::Headers &headers)
    {
        if (state_ != State::None) {
            return cut();
        }
        state_ = State::Streaming;
        writer_ = attempt;
        server_.beginStream(exchange_, status, headers);
        return true;
    }

    /// Hands a stream that has begun over to the attempt that resumes it; does nothing before.
    void handOver(relay::AttemptId attempt)
    {
        writer_ = attempt;
    }

    /// Sends events of the attempt's stream. Returns false, and cuts the connection, if the stream doesn't belong to the attempt.
    bool write(relay::AttemptId attempt, const std::string &events)
    {
        if (!isWriter(attempt)) {
            return cut();
        }
        server_.writeChunk(exchange_, events);
        return true;
    }

    /// Ends the attempt's stream as complete. Returns false, and cuts the connection, if the stream doesn't belong to the attempt.
    bool end(relay::AttemptId attempt)
    {
        if (!isWriter(attempt)) {
            return cut();
        }
        state_ = State::Ended;
        server_.endStream(exchange_);
        return true;
    }

    /// Closes the connection in the middle of the response, unless it has ended. Returns false.
    bool cut()
    {
        if (state_ != State::Ended) {
            state_ = State::Ended;
            server_.abort(exchange_);
        }
        return false;
    }

private:
    /// What was sent of the response.
    enum class State {
        None,
        /// The status and headers of a stream, and perhaps some events.
        Streaming,
        /// Nothing more is sent.
        Ended,
    };

    /// Returns true if a stream has begun that belongs to the attempt.
    bool isWriter(relay::AttemptId attempt) const
    {
        return state_ == State::Streaming && attempt == writer_;
    }

    Server &server_;
    net::ExchangeId exchange_;
    State state_ = State::None;
    /// The attempt that the stream belongs to.
    relay::AttemptId writer_ = 0;
};

} // namespace relayhost
