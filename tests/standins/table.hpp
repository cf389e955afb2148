#pragma once

#include "server.hpp"
#include "standin.hpp"

#include <memory>
#include <string>

namespace heatherquay::standins
{

/// Simulates the transactional table service. The conditions and writes of a transaction are applied under one lock.
class StandinTable : public Standin
{
public:
    explicit StandinTable(const boost::asio::any_io_executor &executor, const std::string &address = "127.0.0.1:0");

    std::string address() const;
    Server &server();
    /// @return the value of a row, empty if the row does not exist
    std::string value(const std::string &key) const;

    std::string kind() const override;
    void control(const std::string &serverId, const boost::json::object &settings) override;
    /// @return the numbers of calls, rows, conflicts, reads and writes, the current version, and the largest numbers of
    /// reads and writes within one second
    boost::json::object record() const override;

private:
    struct State;
    std::shared_ptr<State> m_state;
    Server m_server;
};

} // namespace heatherquay::standins
