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

/// A queue to which callers submit jobs, and the policy for its jobs.
struct Queue
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    bool anonymous{}; ///< Callers need no API key.
    std::chrono::milliseconds timeout{}; ///< Limit for answering one request.
    state::batch::QueuePolicy policy;
};

/// A team and the API keys of its callers.
struct TeamAccess
{
    state::TeamId id;
    std::vector<std::string> keys;
    std::int64_t guaranteedAccelerators{};
};

/// To whom a job belongs.
struct JobOwner
{
    std::string queue;
    state::TeamId team; ///< Empty for a submission without a key, and in rows of earlier versions.
};

/// Limits of a submitted request.
struct IntakeLimits
{
    std::uint64_t bodyBytes{262'144};
};

/// Operator configuration of queues, teams and limits. Immutable once built.
struct QueueTable
{
    std::uint64_t version{};
    std::vector<Queue> queues;
    std::vector<TeamAccess> teams;
    IntakeLimits limits;

    /// @param host as the caller sent it, with or without a port
    /// @return the queue of this host with the longest path prefix of @p path; null if none matches
    const Queue *findQueue(std::string_view host, std::string_view path) const;
    /// @return the team that owns @p key; nothing when no team does
    std::optional<state::TeamId> findTeam(std::string_view key) const;
    /// Compares teams, because the keys of a team change during the life of a job. A team or queue that is not
    /// configured any more cannot be told apart from its successor under another name, so that it excludes no caller.
    /// @return whether a request to @p queue with @p key may see and cancel a job
    bool mayAccess(const JobOwner &owner, const Queue &queue, std::string_view key) const;
    std::map<std::string, state::batch::QueuePolicy> policies() const;
    std::vector<state::batch::TeamGuarantee> guarantees() const;
};

} // namespace heatherquay::coordination::batch
