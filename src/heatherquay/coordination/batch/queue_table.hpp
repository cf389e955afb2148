#pragma once

#include "heatherquay/state/batch/job.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace heatherquay::coordination::batch
{

/// Where callers hand in jobs, and how these are treated.
struct Queue
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    bool anonymous{}; ///< Callers need no key.
    std::chrono::milliseconds timeout{}; ///< Longest time for one answer.
    state::batch::QueuePolicy policy;
};

/// A team with the keys of its callers.
struct TeamAccess
{
    state::TeamId id;
    std::vector<std::string> keys;
    std::int64_t guaranteedAccelerators{};
};

struct IntakeLimits
{
    std::uint64_t bodyBytes{262'144};
};

/// The operator's configuration as far as jobs go. Immutable once built.
struct QueueTable
{
    std::uint64_t version{};
    std::vector<Queue> queues;
    std::vector<TeamAccess> teams;
    IntakeLimits limits;

    /// @param host as the caller sent it, with or without a port
    /// @return the queue with the longest prefix that @p path begins with; null for none
    const Queue *findQueue(std::string_view host, std::string_view path) const;
    /// @return the team that holds @p key
    std::optional<state::TeamId> findTeam(std::string_view key) const;
    std::map<std::string, state::batch::QueuePolicy> policies() const;
    std::vector<state::batch::TeamGuarantee> guarantees() const;
};

} // namespace heatherquay::coordination::batch
