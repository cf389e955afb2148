#pragma once

#include "heatherquay/coordination/lease_renewer.hpp"
#include "heatherquay/transport/when_all.hpp"

#include <algorithm>
#include <set>

#include <boost/asio/steady_timer.hpp>

namespace heatherquay::coordination
{

namespace detail
{

/// Limits the number of connections opened at once after a mass restart.
inline constexpr std::size_t concurrentRenewalsMax = 32;

} // namespace detail

template<WorkerPort Workers>
LeaseRenewer<Workers>::LeaseRenewer(boost::asio::any_io_executor executor, Workers &workers, RenewalPorts ports,
                                    RenewalTimes times)
    : m_executor(std::move(executor))
    , m_workers(workers)
    , m_ports(std::move(ports))
    , m_times(times)
{
}

template<WorkerPort Workers>
void LeaseRenewer<Workers>::stop()
{
    m_stopped.store(true);
}

template<WorkerPort Workers>
boost::asio::awaitable<void> LeaseRenewer<Workers>::run()
{
    boost::asio::steady_timer timer(m_executor);
    while (!m_stopped.load()) {
        const auto begin = Clock::now();
        co_await renewOnce();
        timer.expires_at(begin + m_times.renewInterval);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
}

template<WorkerPort Workers>
boost::asio::awaitable<void> LeaseRenewer<Workers>::renewOnce()
{
    if (!m_ports.mayAct()) {
        m_lastContact.clear();
        co_return;
    }
    const std::vector<RenewalTarget> targets = m_ports.targets();
    std::set<state::WorkerId> owned;
    for (const RenewalTarget &target : targets) {
        owned.insert(target.worker);
    }
    std::erase_if(m_lastContact, [&owned](const auto &contact) {
        return !owned.contains(contact.first);
    });
    for (std::size_t begin = 0; begin < targets.size(); begin += detail::concurrentRenewalsMax) {
        const std::size_t end = std::min(begin + detail::concurrentRenewalsMax, targets.size());
        // The authority may expire during a long pass, for example while this process is suspended.
        if (!m_ports.mayAct()) {
            co_return;
        }
        std::vector<boost::asio::awaitable<bool>> batch;
        for (std::size_t i = begin; i < end; ++i) {
            batch.push_back(renewWorker(targets[i]));
        }
        const std::vector<bool> reached = co_await transport::whenAll(m_executor, std::move(batch));
        for (std::size_t i = begin; i < end; ++i) {
            recordContact(targets[i], reached[i - begin]);
        }
    }
}

template<WorkerPort Workers>
boost::asio::awaitable<bool> LeaseRenewer<Workers>::renewWorker(RenewalTarget target)
{
    std::vector<protocol::GangRef> gangs;
    if (!target.lost) {
        gangs = target.gangs;
    }
    const protocol::RenewAnswer answer = co_await m_workers.renew(target.address, m_times.lease, std::move(gangs));
    for (const protocol::TaskReport &report : answer.tasks) {
        m_ports.onTaskReport(target.worker, report);
    }
    co_return answer.reached;
}

template<WorkerPort Workers>
void LeaseRenewer<Workers>::recordContact(const RenewalTarget &target, bool reached)
{
    const auto now = Clock::now();
    if (reached) {
        m_lastContact[target.worker] = now;
        if (target.lost) {
            m_ports.onReturned(target.worker);
        }
        return;
    }
    const auto [contact, first] = m_lastContact.try_emplace(target.worker, now);
    if (!target.lost && now - contact->second >= m_times.lostAfter) {
        m_ports.onLost(target.worker);
    }
}

} // namespace heatherquay::coordination
