#include "heatherquay/state/cluster.hpp"

#include "heatherquay/state/cluster_state.hpp"
#include "heatherquay/state/policy_keys.hpp"
#include "heatherquay/state/preview.hpp"
#include "heatherquay/state/snapshot.hpp"
#include "heatherquay/state/views.hpp"

namespace heatherquay::state
{

struct Cluster::Data
{
    detail::ClusterState state;
};

namespace
{

/// 64-bit FNV-1a hash. Unlike std::hash, its value is the same on all platforms.
std::uint64_t fnv1a64(const std::string &text)
{
    std::uint64_t hash = 0xcbf29ce484222325;
    for (const char character : text) {
        hash = (hash ^ static_cast<unsigned char>(character)) * 0x100000001b3;
    }
    return hash;
}

} // namespace

Cluster::Cluster(PolicySettings settings, std::uint64_t seed)
    : m_data(std::make_unique<Data>())
{
    m_data->state.policy = settings;
    m_data->state.seed = seed;
    detail::rebuild(m_data->state);
}

Cluster::Cluster(const Cluster &other)
    : m_data(std::make_unique<Data>(*other.m_data))
{
}

Cluster::Cluster(Cluster &&other) noexcept = default;

Cluster &Cluster::operator=(const Cluster &other)
{
    if (this != &other) {
        m_data = std::make_unique<Data>(*other.m_data);
    }
    return *this;
}

Cluster &Cluster::operator=(Cluster &&other) noexcept = default;
Cluster::~Cluster() = default;

std::vector<Command> Cluster::apply(const Event &event, Instant now)
{
    return detail::applyEvent(m_data->state, event, now);
}

PlanOutcome Cluster::preview(const Intent &intent, Instant now) const
{
    return detail::previewIntent(m_data->state, intent, now);
}

std::vector<Command> Cluster::openCommands() const
{
    return detail::openCommandsOf(m_data->state);
}

std::optional<JobView> Cluster::job(const JobId &id) const
{
    const detail::Job *job = detail::lookUpJob(m_data->state, id);
    return job == nullptr ? std::nullopt : std::optional(detail::viewOf(m_data->state, *job));
}

std::optional<TeamView> Cluster::team(const TeamId &id) const
{
    const auto team = m_data->state.teams.find(id);
    return team == m_data->state.teams.end() ? std::nullopt
                                             : std::optional(detail::viewOf(m_data->state, team->second));
}

std::optional<WorkerView> Cluster::worker(const WorkerId &id) const
{
    const auto &byId = m_data->state.topology.byId();
    const auto worker = byId.find(id);
    return worker == byId.end() ? std::nullopt : std::optional(detail::viewOf(m_data->state, worker->second));
}

std::vector<JobView> Cluster::jobs() const
{
    std::vector<JobView> views;
    for (const auto &[id, number] : m_data->state.jobByName) {
        views.push_back(detail::viewOf(m_data->state, m_data->state.jobs.at(number)));
    }
    return views;
}

std::vector<TeamView> Cluster::teams() const
{
    std::vector<TeamView> views;
    for (const auto &[id, team] : m_data->state.teams) {
        views.push_back(detail::viewOf(m_data->state, team));
    }
    return views;
}

std::vector<WorkerView> Cluster::workers() const
{
    std::vector<WorkerView> views;
    for (const auto &[id, worker] : m_data->state.topology.byId()) {
        views.push_back(detail::viewOf(m_data->state, worker));
    }
    return views;
}

std::vector<SettingValue> Cluster::settings() const
{
    std::vector<SettingValue> values;
    for (const std::string &key : detail::policyKeys()) {
        values.push_back({key, detail::policyValue(m_data->state.policy, key)});
    }
    return values;
}

std::vector<EndpointDraining> Cluster::drainingEndpoints() const
{
    std::vector<EndpointDraining> endpoints;
    for (const auto &[service, address] : m_data->state.drainingEndpoints) {
        endpoints.push_back({ServiceId{service}, address, true});
    }
    return endpoints;
}

ClusterTotals Cluster::totals() const
{
    return detail::totalsOf(m_data->state);
}

std::uint64_t Cluster::fingerprint() const
{
    return fnv1a64(serialize());
}

std::string Cluster::serialize() const
{
    return detail::writeSnapshot(m_data->state);
}

Cluster Cluster::deserialize(const std::string &text)
{
    Cluster cluster;
    cluster.m_data->state = detail::readSnapshot(text);
    return cluster;
}

} // namespace heatherquay::state
