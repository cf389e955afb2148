#pragma once

#include "heatherquay/transport/growing_body.hpp"
#include "heatherquay/transport/memory_budget.hpp"

#include <cstddef>
#include <cstdint>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>

namespace heatherquay::transport
{

/// What a connection takes without a request: its socket, the frames of its coroutines and an input buffer.
inline constexpr std::size_t connectionBytes = 16 * 1024;
/// Size of the input buffer of a connection without a request.
inline constexpr std::size_t inputBufferBytes = 4 * 1024;

/// @return the most that an account is charged for a message with a body of @p bodyBytes
constexpr std::size_t largestMessageBytes(std::uint32_t headerBytes, std::uint64_t bodyBytes)
{
    // A body grows by doubling; the input buffer is filled and charged in steps.
    return 2 * static_cast<std::size_t>(bodyBytes) + 4 * (static_cast<std::size_t>(headerBytes) + 2 * connectionBytes);
}

/// Reads one HTTP message in pieces, and charges each piece to an account before it is read.
/// @tparam isRequest whether the message is a request; otherwise it is a response
template<bool isRequest>
class MessageReader
{
public:
    using Parser = boost::beast::http::parser<isRequest, GrowingBody>;

    /// @param buffer holds input that was read already; its largest size bounds chunk headers and trailers
    /// @param account may be null
    /// @param headerBytes largest header, including empty lines before it
    /// @param bodyBytes largest body
    MessageReader(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer, MemoryBudget::Account *account,
                  std::uint32_t headerBytes, std::uint64_t bodyBytes);

    /// @return an error of the parser or the socket; header_limit, body_limit, buffer_overflow (a chunk header or
    /// trailers) from beast::http::error; no_memory from asio::error when the account has no room
    boost::asio::awaitable<boost::beast::error_code> readHeader();
    /// Reads the rest of the message. Call it after readHeader().
    /// @return as for readHeader()
    boost::asio::awaitable<boost::beast::error_code> readBody();
    Parser &parser()
    {
        return m_parser;
    }

private:
    template<typename Finished>
    boost::asio::awaitable<boost::beast::error_code> readUntil(Finished finished, std::uint64_t inputMax,
                                                               boost::beast::http::error limitError);
    boost::asio::awaitable<boost::beast::error_code> readPiece();
    /// @return what the message holds beside the connection when @p piece more bytes of input have been read
    std::size_t bytesHeldWith(std::size_t piece);

    boost::beast::tcp_stream &m_stream;
    boost::beast::flat_buffer &m_buffer;
    MemoryBudget::Account *m_account;
    Parser m_parser;
    std::uint32_t m_headerBytes;
    std::uint64_t m_bodyBytes;
    std::uint64_t m_input{}; ///< Bytes that the parser has consumed.
};

extern template class MessageReader<true>;
extern template class MessageReader<false>;
using RequestReader = MessageReader<true>;
using ResponseReader = MessageReader<false>;

} // namespace heatherquay::transport
