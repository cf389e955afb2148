#pragma once

#include "crowds/crowd_samples.hpp"
#include "transport/raw_peer.hpp"

#include <ostream>
#include <string>
#include <vector>

namespace heatherquay::crowds
{

/// A response that does not end.
struct EndlessResponse
{
    std::string name;
    std::string prefix;
    std::string piece;
};

inline std::ostream &operator<<(std::ostream &stream, const EndlessResponse &sample)
{
    return stream << sample.name;
}

inline const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
inline const std::vector<EndlessResponse> endlessResponses{
    {"trailers", chunkedHead + "1\r\n{\r\n0\r\n", "X-Trailer: " + std::string(1'011, 't') + "\r\n"},
    {"chunk extension", chunkedHead + "1;x=", std::string(1'024, 'e')},
    {"body", chunkedHead, "400\r\n" + std::string(1'024, 'b') + "\r\n"},
    {"interim responses", "", "HTTP/1.1 100 Continue\r\nX: " + std::string(996, 'i') + "\r\n\r\n"}};

/// A peer that starts each response with a prefix and goes on with 64 MiB of pieces.
struct EndlessPeer : test::RawPeer
{
    explicit EndlessPeer(const EndlessResponse &response)
        : RawPeer([response](Socket &socket, int, int) {
            send(socket, response.prefix);
            boost::system::error_code error;
            for (std::size_t sent = 0; sent < 4 * endlessPieces && !error; ++sent) {
                boost::asio::write(socket, boost::asio::buffer(response.piece), error);
            }
            return false;
        })
    {
    }
};

} // namespace heatherquay::crowds
