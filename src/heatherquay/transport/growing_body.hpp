#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/optional.hpp>

namespace heatherquay::transport
{

/// A body in a std::string that grows as input arrives. Beast's string_body reserves the declared length at once, also
/// for a peer that sends nothing more.
struct GrowingBody
{
    class Reader;

    // The names are those of Beast's concept of a body.
    using value_type = std::string;
    using reader = Reader;
    using writer = boost::beast::http::string_body::writer;

    static std::uint64_t size(const value_type &body)
    {
        return body.size();
    }

    class Reader
    {
    public:
        template<bool isRequest, class Fields>
        Reader(boost::beast::http::header<isRequest, Fields> &, value_type &body)
            : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t> &length, boost::beast::error_code &error)
        {
            m_length = length;
            error = {};
        }

        template<class ConstBufferSequence>
        std::size_t put(const ConstBufferSequence &buffers, boost::beast::error_code &error)
        {
            const std::size_t size = boost::beast::buffer_bytes(buffers);
            reserve(m_body.size() + size);
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                m_body.append(static_cast<const char *>(buffer.data()), buffer.size());
            }
            error = {};
            return size;
        }

        void finish(boost::beast::error_code &error)
        {
            error = {};
        }

    private:
        /// Doubles the capacity, but not beyond the declared length.
        void reserve(std::size_t size)
        {
            if (size > m_body.capacity()) {
                const std::uint64_t doubled = 2 * static_cast<std::uint64_t>(size);
                const std::uint64_t length = std::max<std::uint64_t>(m_length.get_value_or(doubled), size);
                m_body.reserve(static_cast<std::size_t>(std::min(doubled, length)));
            }
        }

        value_type &m_body;
        boost::optional<std::uint64_t> m_length; // The type of Beast's interface.
    };
};

} // namespace heatherquay::transport
