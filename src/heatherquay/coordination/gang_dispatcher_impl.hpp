#pragma once

#include "heatherquay/coordination/gang_dispatcher.hpp"
#include "heatherquay/transport/log.hpp"
#include "heatherquay/transport/when_all.hpp"

#include <algorithm>

#include <boost/asio/steady_timer.hpp>

namespace heatherquay::coordination
{

template<WorkerPort Workers>
GangDispatcher<Workers>::BusyGuard::BusyGuard(GangDispatcher &owner, const protocol::GangRef &gang)
    : m_owner(owner)
    , m_gang(gang)
{
    const std::lock_guard lock(m_owner.m_mutex);
    m_entered = m_owner.m_busy.insert(gang).second;
}

template<WorkerPort Workers>
GangDispatcher<Workers>::BusyGuard::~BusyGuard()
{
    if (m_entered) {
        const std::lock_guard lock(m_owner.m_mutex);
        m_owner.m_busy.erase(m_gang);
    }
}

template<WorkerPort Workers>
GangDispatcher<Workers>::GangDispatcher(boost::asio::any_io_executor executor, Workers &workers, EventReporter report,
                                        DispatchTimes times)
    : m_executor(std::move(executor))
    , m_workers(workers)
    , m_report(std::move(report))
    , m_times(times)
{
}

template<WorkerPort Workers>
bool GangDispatcher<Workers>::isBusy(const protocol::GangRef &gang) const
{
    const std::lock_guard lock(m_mutex);
    return m_busy.contains(gang);
}

template<WorkerPort Workers>
boost::asio::awaitable<void> GangDispatcher<Workers>::start(Gang gang)
{
    const BusyGuard guard(*this, gang.ref);
    if (!guard) {
        co_return;
    }
    const auto answers = co_await transport::whenAll(m_executor, startOperations(gang));
    const auto failure = std::find_if(answers.begin(), answers.end(), [](protocol::StartAnswer answer) {
        return answer != protocol::StartAnswer::Accepted;
    });
    if (failure == answers.end()) {
        transport::log(transport::LogLevel::Info, "gang-started",
                       {{"job", gang.ref.job.value},
                        {"fence", std::to_string(gang.ref.fence.value)},
                        {"workers", std::to_string(gang.members.size())}});
        co_await reportEvent<state::GangStarted>(gang.ref.job, gang.ref.fence);
        co_return;
    }
    const state::WorkerId failedWorker = gang.members[static_cast<std::size_t>(failure - answers.begin())].worker;
    transport::log(
        transport::LogLevel::Warn, "gang-start-failed",
        {{"job", gang.ref.job.value}, {"fence", std::to_string(gang.ref.fence.value)}, {"worker", failedWorker.value}});
    co_await stopMembers(gang, false, std::chrono::milliseconds{0});
    co_await reportEvent<state::GangStartFailed>(gang.ref.job, gang.ref.fence, failedWorker);
}

template<WorkerPort Workers>
boost::asio::awaitable<void> GangDispatcher<Workers>::stop(Gang gang, bool checkpoint, std::chrono::milliseconds grace)
{
    const BusyGuard guard(*this, gang.ref);
    if (!guard) {
        co_return;
    }
    const bool confirmed = co_await stopMembers(gang, checkpoint, grace);
    co_await reportEvent<state::TasksStopped>(gang.ref.job, gang.ref.fence, checkpoint && confirmed);
}

template<WorkerPort Workers>
boost::asio::awaitable<void> GangDispatcher<Workers>::handleTaskFailure(Gang gang,
                                                                        std::optional<state::WorkerId> failedWorker)
{
    const BusyGuard guard(*this, gang.ref);
    if (!guard) {
        co_return;
    }
    co_await stopMembers(gang, false, std::chrono::milliseconds{0});
    co_await reportEvent<state::TaskFailed>(gang.ref.job, gang.ref.fence, failedWorker);
}

template<WorkerPort Workers>
boost::asio::awaitable<void> GangDispatcher<Workers>::checkFinished(Gang gang)
{
    const BusyGuard guard(*this, gang.ref);
    if (!guard) {
        co_return;
    }
    const auto answers = co_await transport::whenAll(m_executor, renewOperations(gang));
    for (const protocol::RenewAnswer &answer : answers) {
        const bool finished = std::any_of(answer.tasks.begin(), answer.tasks.end(), [&gang](const auto &task) {
            return task.gang == gang.ref && task.state == protocol::TaskState::Finished;
        });
        if (!finished) {
            co_return;
        }
    }
    co_await reportEvent<state::JobFinished>(gang.ref.job, gang.ref.fence);
}

template<WorkerPort Workers>
template<typename Event, typename... Values>
boost::asio::awaitable<void> GangDispatcher<Workers>::reportEvent(const Values &...values)
{
    return m_report(Event{values...});
}

template<WorkerPort Workers>
auto GangDispatcher<Workers>::startOperations(const Gang &gang)
    -> std::vector<boost::asio::awaitable<protocol::StartAnswer>>
{
    std::vector<boost::asio::awaitable<protocol::StartAnswer>> starts;
    for (const GangMember &member : gang.members) {
        protocol::StartRequest task{gang.ref, member.accelerators, m_times.lease, gang.command};
        starts.push_back(m_workers.start(member.address, std::move(task)));
    }
    return starts;
}

template<WorkerPort Workers>
auto GangDispatcher<Workers>::renewOperations(const Gang &gang)
    -> std::vector<boost::asio::awaitable<protocol::RenewAnswer>>
{
    std::vector<boost::asio::awaitable<protocol::RenewAnswer>> renewals;
    for (const GangMember &member : gang.members) {
        renewals.push_back(m_workers.renew(member.address, m_times.lease, std::vector<protocol::GangRef>(1, gang.ref)));
    }
    return renewals;
}

template<WorkerPort Workers>
auto GangDispatcher<Workers>::stopOperations(const Gang &gang, bool checkpoint, std::chrono::milliseconds grace)
    -> std::vector<boost::asio::awaitable<bool>>
{
    std::vector<boost::asio::awaitable<bool>> stops;
    for (const GangMember &member : gang.members) {
        stops.push_back(stopMember(member, gang.ref, checkpoint, grace));
    }
    return stops;
}

template<WorkerPort Workers>
boost::asio::awaitable<bool> GangDispatcher<Workers>::stopMembers(const Gang &gang, bool checkpoint,
                                                                  std::chrono::milliseconds grace)
{
    const auto confirmed = co_await transport::whenAll(m_executor, stopOperations(gang, checkpoint, grace));
    co_return std::all_of(confirmed.begin(), confirmed.end(), [](bool memberConfirmed) {
        return memberConfirmed;
    });
}

template<WorkerPort Workers>
boost::asio::awaitable<bool> GangDispatcher<Workers>::stopMember(GangMember member, protocol::GangRef gang,
                                                                 bool checkpoint, std::chrono::milliseconds grace)
{
    const auto begin = std::chrono::steady_clock::now();
    boost::asio::steady_timer timer(m_executor);
    bool withCheckpoint = checkpoint;
    while (true) {
        const auto answer = co_await m_workers.stop(member.address, gang, withCheckpoint, grace);
        if (answer == protocol::StopAnswer::Stopped) {
            // After the grace period the stop is requested without a checkpoint, and then no work is saved.
            co_return withCheckpoint == checkpoint;
        }
        const auto elapsed = std::chrono::steady_clock::now() - begin;
        if (elapsed >= grace) {
            withCheckpoint = false;
        }
        if (answer == protocol::StopAnswer::NoResponse && elapsed >= m_times.leaseExpiryTimeout) {
            co_return false;
        }
        timer.expires_after(m_times.stopRetryDelay);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
}

} // namespace heatherquay::coordination
