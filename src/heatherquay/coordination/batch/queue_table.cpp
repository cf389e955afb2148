#include "heatherquay/coordination/batch/queue_table.hpp"

#include <algorithm>
#include <cctype>

namespace heatherquay::coordination::batch
{

namespace detail
{

bool sameHost(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](unsigned char a, unsigned char b) {
        return std::tolower(a) == std::tolower(b);
    });
}

} // namespace detail

const Queue *QueueTable::findQueue(std::string_view host, std::string_view path) const
{
    const std::string_view name = host.substr(0, host.find(':'));
    const Queue *best = nullptr;
    for (const Queue &queue : queues) {
        const bool matches = detail::sameHost(queue.host, name) && path.starts_with(queue.pathPrefix);
        if (matches && (best == nullptr || queue.pathPrefix.size() > best->pathPrefix.size())) {
            best = &queue;
        }
    }
    return best;
}

std::optional<state::TeamId> QueueTable::findTeam(std::string_view key) const
{
    for (const TeamAccess &team : teams) {
        if (std::find(team.keys.begin(), team.keys.end(), key) != team.keys.end()) {
            return team.id;
        }
    }
    return std::nullopt;
}

bool QueueTable::mayAccess(const JobOwner &owner, const Queue &queue, std::string_view key) const
{
    const bool sameQueue = owner.queue == queue.name;
    const auto isOwnersQueue = [&owner](const Queue &other) {
        return other.name == owner.queue;
    };
    if (!sameQueue && std::any_of(queues.begin(), queues.end(), isOwnersQueue)) {
        return false;
    }
    if (owner.team.value.empty() || (sameQueue && queue.anonymous)) {
        return true;
    }
    bool teamConfigured = false;
    for (const TeamAccess &team : teams) {
        if (team.id != owner.team) {
            continue;
        }
        teamConfigured = true;
        if (std::find(team.keys.begin(), team.keys.end(), key) != team.keys.end()) {
            return true;
        }
    }
    return !teamConfigured;
}

std::map<std::string, state::batch::QueuePolicy> QueueTable::policies() const
{
    std::map<std::string, state::batch::QueuePolicy> result;
    for (const Queue &queue : queues) {
        result[queue.name] = queue.policy;
    }
    return result;
}

std::vector<state::batch::TeamGuarantee> QueueTable::guarantees() const
{
    std::vector<state::batch::TeamGuarantee> result;
    for (const TeamAccess &team : teams) {
        result.push_back({team.id, team.guaranteedAccelerators});
    }
    return result;
}

} // namespace heatherquay::coordination::batch
