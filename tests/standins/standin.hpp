#pragma once

#include <string>

#include <boost/json/object.hpp>

namespace heatherquay::standins
{

/// Interface through which the control server injects faults into a stand-in, a simulated service of the platform, and
/// reads what it recorded.
class Standin
{
public:
    virtual ~Standin() = default;
    /// @return the part of a control target before the slash, for example "table" or "endpoint"
    virtual std::string kind() const = 0;
    /// Applies fault settings.
    /// @param serverId the part of a control target after the slash, which selects one server of the stand-in; empty
    /// selects all servers
    /// @param settings the faults to set by key; other faults stay as they are
    virtual void control(const std::string &serverId, const boost::json::object &settings) = 0;
    /// @return counters and events that the stand-in recorded
    virtual boost::json::object record() const = 0;
    /// @return details that are too long for record()
    virtual boost::json::object history() const
    {
        return {};
    }
};

} // namespace heatherquay::standins
