#pragma once

#include "heatherquay/transport/http_message.hpp"

#include <chrono>
#include <memory>
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace heatherquay::transport::detail
{

/// Response of a handler that runs beside its connection, so that the connection need not wait for it.
struct PendingResponse
{
    explicit PendingResponse(const boost::asio::any_io_executor &executor)
        : finishedTimer(executor, boost::asio::steady_timer::time_point::max())
    {
    }

    void finish(HttpResponse result)
    {
        if (!finished) {
            finished = true;
            response = std::move(result);
            finishedTimer.cancel();
        }
    }

    HttpResponse response;
    bool finished{};
    boost::asio::steady_timer finishedTimer; ///< Cancelled when the response is there.
};

/// Cancels the read operations of a connection when a request is not received in time. Runs on its strand.
class ReceiveTimer : public std::enable_shared_from_this<ReceiveTimer>
{
public:
    ReceiveTimer(boost::beast::tcp_stream &stream, std::chrono::milliseconds timeout)
        : m_stream(stream)
        , m_timer(stream.get_executor(), timeout)
    {
    }

    void start()
    {
        m_timer.async_wait([self = shared_from_this()](const boost::beast::error_code &error) {
            if (!error && !self->m_stopped) {
                self->m_expired = true;
                self->m_stream.cancel();
            }
        });
    }

    void stop()
    {
        m_stopped = true;
        m_timer.cancel();
    }

    bool expired() const
    {
        return m_expired;
    }

private:
    boost::beast::tcp_stream &m_stream;
    boost::asio::steady_timer m_timer;
    bool m_stopped{};
    bool m_expired{};
};

} // namespace heatherquay::transport::detail
