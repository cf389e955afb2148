#pragma once

#include "server.hpp"
#include "standin.hpp"

#include <memory>
#include <string>

namespace heatherquay::standins
{

/// Simulates the object store. Objects are kept in memory.
class StandinObjects : public Standin
{
public:
    explicit StandinObjects(const boost::asio::any_io_executor &executor, const std::string &address = "127.0.0.1:0");

    std::string address() const;
    Server &server();

    std::string kind() const override;
    void control(const std::string &serverId, const boost::json::object &settings) override;
    /// @return the number of objects and the numbers of requests by method
    boost::json::object record() const override;

private:
    struct State;
    std::shared_ptr<State> m_state;
    Server m_server;
};

} // namespace heatherquay::standins
