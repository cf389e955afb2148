#pragma once

#include "heatherquay/coordination/gang_dispatcher_impl.hpp"
#include "heatherquay/coordination/job_driver.hpp"
#include "heatherquay/coordination/lease_renewer_impl.hpp"
#include "heatherquay/coordination/rendezvous.hpp"
#include "heatherquay/transport/log.hpp"

#include <algorithm>
#include <random>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace heatherquay::coordination
{

namespace detail
{

inline constexpr std::chrono::milliseconds commitBackoffInitial{50};
inline constexpr std::chrono::milliseconds commitBackoffMax{2'000};

/// Creates the id of the proposal for an event. It is equal on all entries for the same gang outcome or new worker, so
/// that the event is committed only once. Other events get a random id.
struct ProposalIdVisitor
{
    std::string operator()(const state::GangStarted &event) const
    {
        return "started/" + event.job.value + "/" + std::to_string(event.fence.value);
    }
    std::string operator()(const state::GangStartFailed &event) const
    {
        return "start-failed/" + event.job.value + "/" + std::to_string(event.fence.value);
    }
    std::string operator()(const state::TaskFailed &event) const
    {
        return "task-failed/" + event.job.value + "/" + std::to_string(event.fence.value);
    }
    std::string operator()(const state::JobFinished &event) const
    {
        return "finished/" + event.job.value + "/" + std::to_string(event.fence.value);
    }
    std::string operator()(const state::TasksStopped &event) const
    {
        return "stopped/" + event.job.value + "/" + std::to_string(event.fence.value);
    }
    std::string operator()(const state::WorkerAdded &event) const
    {
        return "worker-added/" + event.worker.id.value;
    }
    template<typename Other>
    std::string operator()(const Other &) const
    {
        std::random_device source;
        return "event/" + std::to_string(source()) + std::to_string(source());
    }
};

template<typename Event, typename... Values>
Proposal makeProposal(const Values &...values)
{
    Proposal proposal;
    proposal.events.push_back(Event{values...});
    proposal.id = std::visit(ProposalIdVisitor{}, proposal.events.front());
    return proposal;
}

inline bool holdsAccelerators(state::JobPhase phase)
{
    return phase == state::JobPhase::Starting || phase == state::JobPhase::Running
        || phase == state::JobPhase::Stopping;
}

} // namespace detail

template<WorkerPort Workers>
JobDriver<Workers>::JobDriver(boost::asio::any_io_executor executor, Workers &workers, JobDriverPorts ports,
                              DispatchTimes dispatch, RenewalTimes renewal, JobDriverTimes times)
    : m_executor(executor)
    , m_strand(boost::asio::make_strand(executor))
    , m_ports(std::move(ports))
    , m_times(times)
    , m_dispatcher(
          executor, workers,
          [this](const state::Event &event) {
              return commitEvent(event);
          },
          dispatch)
    , m_renewer(
          m_strand, workers,
          RenewalPorts{[this] {
                           return renewalTargets();
                       },
                       m_ports.mayAct,
                       [this](const state::WorkerId &worker, const protocol::TaskReport &task) {
                           onTaskReport(worker, task);
                       },
                       [this](const state::WorkerId &worker) {
                           if (m_workersBeingReported.insert(worker).second) {
                               transport::log(transport::LogLevel::Warn, "worker-lost", {{"worker", worker.value}});
                               spawn(commitEvent(state::WorkerLost{worker}));
                           }
                       },
                       [this](const state::WorkerId &worker) {
                           if (m_workersBeingReported.insert(worker).second) {
                               transport::log(transport::LogLevel::Info, "worker-returned", {{"worker", worker.value}});
                               spawn(commitEvent(state::WorkerReturned{worker}));
                           }
                       }},
          renewal)
{
}

template<WorkerPort Workers>
void JobDriver<Workers>::spawn(boost::asio::awaitable<void> operation)
{
    boost::asio::co_spawn(m_executor, std::move(operation), [](std::exception_ptr error) {
        try {
            if (error) {
                std::rethrow_exception(error);
            }
        } catch (const std::exception &exception) {
            transport::log(transport::LogLevel::Error, "dispatch-failed", {{"error", exception.what()}});
        }
    });
}

template<WorkerPort Workers>
void JobDriver<Workers>::dispatch(const std::vector<state::Command> &commands)
{
    for (const state::Command &command : commands) {
        dispatchCommand(command);
    }
}

template<WorkerPort Workers>
void JobDriver<Workers>::dispatchCommand(const state::Command &command)
{
    if (const auto *start = std::get_if<state::StartGang>(&command)) {
        std::optional<Gang> gang = gangOf(*start);
        // Checked immediately before the start, because the process may have been suspended since the gang was read.
        if (gang && m_ports.mayAct()) {
            spawn(m_dispatcher.start(std::move(*gang)));
        }
    } else if (const auto *checkpoint = std::get_if<state::CheckpointGang>(&command)) {
        if (std::optional<Gang> gang = findGang(checkpoint->job, checkpoint->fence)) {
            spawn(m_dispatcher.stop(std::move(*gang), true, checkpoint->grace));
        }
    } else if (const auto *stop = std::get_if<state::StopGang>(&command)) {
        if (std::optional<Gang> gang = findGang(stop->job, stop->fence)) {
            spawn(m_dispatcher.stop(std::move(*gang), false, std::chrono::milliseconds{0}));
        }
    } else if (const auto *park = std::get_if<state::ParkJob>(&command)) {
        transport::log(transport::LogLevel::Warn, "job-parked", {{"job", park->job.value}, {"reason", park->reason}});
    } else if (const auto *notice = std::get_if<state::NotifyOperator>(&command)) {
        transport::log(transport::LogLevel::Warn, "operator-notice", {{"text", notice->text}});
    }
}

template<WorkerPort Workers>
std::optional<Gang> JobDriver<Workers>::gangOf(const state::StartGang &command) const
{
    return findGang(command.job, command.fence);
}

template<WorkerPort Workers>
std::optional<Gang> JobDriver<Workers>::findGang(const state::JobId &job, state::Fence fence) const
{
    std::optional<Gang> gang;
    m_ports.readCluster([&](const state::Cluster &cluster) {
        const auto view = cluster.job(job);
        if (!view || view->fence != fence || !detail::holdsAccelerators(view->phase)) {
            return;
        }
        gang = Gang{{job, fence}, {}, view->spec.command};
        for (const state::Placement &placement : view->placements) {
            const auto worker = cluster.worker(placement.worker);
            const std::string address = worker ? worker->spec.address : std::string{};
            gang->members.push_back({placement.worker, address, placement.accelerators});
        }
    });
    return gang;
}

template<WorkerPort Workers>
std::chrono::milliseconds JobDriver<Workers>::takeoverDelay(const state::JobId &job) const
{
    const auto rank = responsibilityRank(*m_ports.members(), m_ports.self, job.value);
    return m_times.takeoverBaseDelay + static_cast<int>(rank) * m_times.takeoverRankDelay;
}

template<WorkerPort Workers>
void JobDriver<Workers>::takeOverOpenCommands()
{
    std::vector<state::Command> open;
    m_ports.readCluster([&open](const state::Cluster &cluster) {
        open = cluster.openCommands();
    });
    const auto now = Clock::now();
    std::map<OpenCommandKey, Clock::time_point> openSince;
    for (const state::Command &command : open) {
        const auto gang = std::visit(
            [](const auto &each) -> std::optional<protocol::GangRef> {
                if constexpr (requires { each.fence; }) {
                    return protocol::GangRef{each.job, each.fence};
                }
                return std::nullopt;
            },
            command);
        if (!gang) {
            continue;
        }
        const OpenCommandKey key{command.index(), *gang};
        const auto known = m_openSince.find(key);
        const auto since = known == m_openSince.end() ? now : known->second;
        openSince.emplace(key, since);
        if (now - since >= takeoverDelay(gang->job) && !m_dispatcher.isBusy(*gang)) {
            dispatchCommand(command);
        }
    }
    m_openSince = std::move(openSince);
}

template<WorkerPort Workers>
std::vector<RenewalTarget> JobDriver<Workers>::renewalTargets() const
{
    std::map<state::WorkerId, RenewalTarget> owned;
    const auto members = m_ports.members();
    m_ports.readCluster([&](const state::Cluster &cluster) {
        for (const state::WorkerView &worker : cluster.workers()) {
            if (responsibilityRank(*members, m_ports.self, worker.spec.id.value) == 0) {
                const bool lost = worker.phase == state::WorkerPhase::Lost;
                owned[worker.spec.id] = {worker.spec.id, worker.spec.address, lost, {}};
            }
        }
        for (const state::JobView &job : cluster.jobs()) {
            if (job.phase != state::JobPhase::Starting && job.phase != state::JobPhase::Running) {
                continue;
            }
            for (const state::Placement &placement : job.placements) {
                const auto target = owned.find(placement.worker);
                if (target != owned.end()) {
                    target->second.gangs.push_back({job.spec.id, job.fence});
                }
            }
        }
    });
    std::vector<RenewalTarget> result;
    result.reserve(owned.size());
    for (auto &[worker, target] : owned) {
        result.push_back(std::move(target));
    }
    return result;
}

template<WorkerPort Workers>
void JobDriver<Workers>::onTaskReport(const state::WorkerId &worker, const protocol::TaskReport &task)
{
    if (task.state == protocol::TaskState::Running || m_dispatcher.isBusy(task.gang)) {
        return;
    }
    bool running = false;
    m_ports.readCluster([&running, &task](const state::Cluster &cluster) {
        const auto job = cluster.job(task.gang.job);
        running = job && job->fence == task.gang.fence && job->phase == state::JobPhase::Running;
    });
    std::optional<Gang> gang = running ? findGang(task.gang.job, task.gang.fence) : std::nullopt;
    if (!gang) {
        return;
    }
    if (task.state == protocol::TaskState::Finished) {
        spawn(m_dispatcher.checkFinished(std::move(*gang)));
    } else {
        spawn(m_dispatcher.handleTaskFailure(std::move(*gang), worker));
    }
}

template<WorkerPort Workers>
boost::asio::awaitable<void> JobDriver<Workers>::commitEvent(state::Event event)
{
    Proposal proposal = detail::makeProposal<state::Event>(event);
    co_await commitUntilCertain(std::move(proposal));
    const auto *lost = std::get_if<state::WorkerLost>(&event);
    const auto *returned = std::get_if<state::WorkerReturned>(&event);
    if (lost != nullptr || returned != nullptr) {
        boost::asio::post(m_strand, [this, worker = lost != nullptr ? lost->worker : returned->worker] {
            m_workersBeingReported.erase(worker);
        });
    }
}

template<WorkerPort Workers>
boost::asio::awaitable<void> JobDriver<Workers>::commitUntilCertain(Proposal proposal)
{
    boost::asio::steady_timer timer(m_executor);
    std::chrono::milliseconds backoff = detail::commitBackoffInitial;
    while (!m_stopped.load()) {
        const CommitOutcome outcome = co_await m_ports.commit(proposal);
        if (outcome.status == protocol::CommitStatus::Committed) {
            co_return;
        }
        timer.expires_after(backoff);
        co_await timer.async_wait(boost::asio::use_awaitable);
        backoff = std::min(backoff * 2, detail::commitBackoffMax);
    }
}

template<WorkerPort Workers>
boost::asio::awaitable<void> JobDriver<Workers>::tickIfNeeded()
{
    if (!m_ports.active() || !m_ports.mayAct() || Clock::now() - m_lastTick < m_times.tickInterval) {
        co_return;
    }
    m_lastTick = Clock::now();
    bool waiting = false;
    m_ports.readCluster([&waiting](const state::Cluster &cluster) {
        waiting = cluster.totals().waitingJobs > 0;
    });
    if (waiting) {
        Proposal proposal = detail::makeProposal<state::Tick>();
        co_await m_ports.commit(proposal);
    }
}

template<WorkerPort Workers>
boost::asio::awaitable<void> JobDriver<Workers>::run()
{
    boost::asio::co_spawn(m_strand, m_renewer.run(), boost::asio::detached);
    boost::asio::steady_timer timer(m_executor);
    while (!m_stopped.load()) {
        if (m_ports.mayAct()) {
            takeOverOpenCommands();
            co_await tickIfNeeded();
        }
        timer.expires_after(m_times.checkInterval);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
}

template<WorkerPort Workers>
void JobDriver<Workers>::stop()
{
    m_stopped.store(true);
    m_renewer.stop();
}

template<WorkerPort Workers>
boost::asio::awaitable<void> JobDriver<Workers>::addWorker(state::WorkerSpec worker)
{
    bool known = false;
    m_ports.readCluster([&known, &worker](const state::Cluster &cluster) {
        known = cluster.worker(worker.id).has_value();
    });
    if (!known) {
        Proposal proposal = detail::makeProposal<state::WorkerAdded>(worker);
        co_await m_ports.commit(proposal);
    }
}

} // namespace heatherquay::coordination
