#include "heatherquay/transport/message_reader.hpp"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace heatherquay::transport
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace
{

// A chunk of one byte takes six bytes, so that no body inside the limit is rejected for its chunks alone.
constexpr std::uint64_t inputPerBodyByte = 8;
// The account changes in steps, because it is shared by all connections.
constexpr std::size_t accountStep = 16 * 1024;

std::size_t roundUp(std::size_t bytes)
{
    return (bytes + accountStep - 1) / accountStep * accountStep;
}

} // namespace

template<bool isRequest>
MessageReader<isRequest>::MessageReader(beast::tcp_stream &stream, beast::flat_buffer &buffer,
                                        MemoryBudget::Account *account, std::uint32_t headerBytes,
                                        std::uint64_t bodyBytes)
    : m_stream(stream)
    , m_buffer(buffer)
    , m_account(account)
    , m_headerBytes(headerBytes)
    , m_bodyBytes(bodyBytes)
{
    m_parser.header_limit(headerBytes);
    m_parser.body_limit(bodyBytes);
}

template<bool isRequest>
asio::awaitable<beast::error_code> MessageReader<isRequest>::readHeader()
{
    co_return co_await readUntil(
        [this] {
            return m_parser.is_header_done();
        },
        m_headerBytes, http::error::header_limit);
}

template<bool isRequest>
asio::awaitable<beast::error_code> MessageReader<isRequest>::readBody()
{
    m_parser.eager(true);
    co_return co_await readUntil(
        [this] {
            return m_parser.is_done();
        },
        m_headerBytes + inputPerBodyByte * m_bodyBytes, http::error::body_limit);
}

template<bool isRequest>
template<typename Finished>
asio::awaitable<beast::error_code> MessageReader<isRequest>::readUntil(Finished finished, std::uint64_t inputMax,
                                                                       http::error limitError)
{
    while (!finished()) {
        beast::error_code error;
        std::size_t consumed = 0;
        if (m_buffer.size() > 0) {
            consumed = m_parser.put(m_buffer.data(), error);
            m_buffer.consume(consumed);
            m_input += consumed;
        }
        if (error && error != http::error::need_more) {
            co_return error;
        }
        if (finished()) {
            break;
        }
        if (m_input > inputMax) {
            co_return limitError;
        }
        if (consumed == 0 || error || m_buffer.size() == 0) {
            error = co_await readPiece();
            if (error) {
                co_return error;
            }
        }
    }
    co_return beast::error_code{};
}

template<bool isRequest>
asio::awaitable<beast::error_code> MessageReader<isRequest>::readPiece()
{
    const std::size_t room = m_buffer.max_size() - m_buffer.size();
    if (room == 0) {
        co_return http::error::buffer_overflow;
    }
    const std::size_t piece = std::min(room, std::max(m_buffer.capacity() - m_buffer.size(), inputBufferBytes));
    if (m_account && !m_account->setRequest(bytesHeldWith(piece))) {
        co_return asio::error::no_memory;
    }
    const auto [error, size]
        = co_await m_stream.async_read_some(m_buffer.prepare(piece), asio::as_tuple(asio::use_awaitable));
    m_buffer.commit(size);
    co_return error;
}

template<bool isRequest>
std::size_t MessageReader<isRequest>::bytesHeldWith(std::size_t piece)
{
    const std::string &received = m_parser.get().body();
    const std::size_t body = received.size() + piece;
    // A body grows by doubling, up to a declared length.
    const std::size_t doubled = 2 * body;
    const bool declaresLength = m_parser.is_header_done() && m_parser.content_length();
    const std::size_t declared = declaresLength ? static_cast<std::size_t>(*m_parser.content_length()) : doubled;
    const bool grows = body > received.capacity();
    const std::size_t bodyHeld = grows ? std::max(body, std::min(doubled, declared)) : received.capacity();
    const std::size_t buffer = m_buffer.size() + piece;
    const std::size_t held = bodyHeld + buffer;
    // What fits into a new connection's input buffer is charged with the connection.
    return held <= 3 * inputBufferBytes ? 0 : roundUp(held);
}

template class MessageReader<true>;
template class MessageReader<false>;

} // namespace heatherquay::transport
