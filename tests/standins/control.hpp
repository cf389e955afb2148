#pragma once

#include "server.hpp"
#include "standin.hpp"

#include <string>
#include <vector>

namespace heatherquay::standins
{

/// Control interface of a stand-in process. It has its own port, so that it responds while a stand-in is down.
/// POST /control accepts {"target":"table" | "worker/w3" | "endpoint/IP:port" | "", ..faults..}; an empty target
/// selects all stand-ins. GET /record and GET /history return one object for each stand-in.
class ControlServer
{
public:
    ControlServer(const boost::asio::any_io_executor &executor, std::vector<Standin *> standins,
                  const std::string &address = "127.0.0.1:0");
    std::string address() const;

private:
    Server m_server;
};

} // namespace heatherquay::standins
