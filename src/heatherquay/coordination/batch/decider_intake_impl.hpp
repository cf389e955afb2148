#pragma once

// Member functions of Decider that follow the jobs which entry processes store; included by decider.hpp.

#include "heatherquay/coordination/batch/decider.hpp"

#include "heatherquay/error.hpp"
#include "heatherquay/protocol/batch/record_codec.hpp"
#include "heatherquay/transport/log.hpp"

#include <algorithm>
#include <string>
#include <vector>

namespace heatherquay::coordination::batch
{

namespace detail
{

/// Logs what a job requests, which tells jobs that find no room from those that wait for another reason.
inline void logAdmission(const state::batch::JobSpec &job)
{
    state::batch::Resources most;
    std::uint32_t gangMembers = 0;
    bool sameRack = false;
    for (const state::batch::StepSpec &step : job.steps) {
        most.cpuMillicores = std::max(most.cpuMillicores, step.need.cpuMillicores);
        most.memoryMegabytes = std::max(most.memoryMegabytes, step.need.memoryMegabytes);
        most.accelerators = std::max(most.accelerators, step.need.accelerators);
        gangMembers = std::max(gangMembers, step.gang ? step.taskCount : 0U);
        sameRack = sameRack || step.sameRack;
    }
    transport::log(transport::LogLevel::Info, "job-admitted",
                   {{"job", job.id.value},
                    {"queue", job.queue},
                    {"steps", std::to_string(job.steps.size())},
                    {"tasks", std::to_string(taskCount(job))},
                    {"gang_members", std::to_string(gangMembers)},
                    {"same_rack", sameRack ? "true" : "false"},
                    {"cpu_millicores", std::to_string(most.cpuMillicores)},
                    {"memory_mb", std::to_string(most.memoryMegabytes)},
                    {"accelerators", std::to_string(most.accelerators)}});
}

} // namespace detail

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
void Decider<Store, Worker>::applyJobRow(const protocol::batch::StoredRow &row)
{
    const state::JobId id{row.key.key};
    const auto part = intakePartIndex(row.key.part);
    if (!part) {
        return;
    }
    if (row.removed) {
        forgetIntakePart(id, *part);
        return;
    }
    IntakePartSet &parts = m_intakeParts[id];
    const bool stored = parts.any();
    parts.set(*part);
    try {
        const state::batch::JobSpec job = protocol::batch::decodeJob(row.value);
        if (!m_recovered) {
            auto &waiting = m_jobsBeforeRecovery[job.id];
            waiting = {job, stored && waiting.second > 0 ? std::min(waiting.second, row.version) : row.version};
        } else if (stored && parts.count() > 1) {
            transport::log(transport::LogLevel::Warn, "job-stored-twice", {{"job", id.value}, {"part", row.key.part}});
        } else {
            admit(job, row.version);
        }
    } catch (const Error &error) {
        transport::log(transport::LogLevel::Error, "job-unreadable", {{"job", row.key.key}, {"error", error.what()}});
    }
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
void Decider<Store, Worker>::forgetIntakePart(const state::JobId &job, std::uint32_t part)
{
    const auto found = m_intakeParts.find(job);
    if (found == m_intakeParts.end()) {
        return;
    }
    found->second.reset(part);
    if (found->second.none()) {
        m_intakeParts.erase(found);
    }
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
boost::asio::awaitable<bool> Decider<Store, Worker>::removeIntake(const state::JobId &job)
{
    const auto found = m_intakeParts.find(job);
    const auto entry = m_ports.board->find(job);
    IntakePartSet parts = found == m_intakeParts.end() ? IntakePartSet(1) : found->second;
    parts |= entry ? entry->withdrawnParts : IntakePartSet();
    for (std::uint32_t index = 0; index < intakePartsMax; ++index) {
        const std::string part = intakePartName(index);
        const std::vector<protocol::batch::RowKey> rows{jobRow(job, part), intakeRow(job, part)};
        const bool gone = !parts.test(index) || co_await m_writer.remove(rows, false);
        if (!gone || m_stopped) {
            co_return false;
        }
    }
    co_return true;
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
void Decider<Store, Worker>::admit(const state::batch::JobSpec &job, std::uint64_t version)
{
    const auto entry = m_ports.board->find(job.id);
    // A status that is older than the job belongs to an earlier job of the same id, which is being removed.
    if (entry && state::batch::isFinal(entry->state) && entry->statusVersion > version) {
        m_endedAt.try_emplace(job.id, now());
        return;
    }
    m_endedAt.erase(job.id);
    const bool begun = entry && entry->state == state::batch::JobState::Running && entry->statusVersion > version;
    detail::logAdmission(job);
    m_scheduler.submit(job, now(), begun);
    if (entry && entry->cancelRequested) {
        m_scheduler.cancel(job.id);
    }
    wake();
}

} // namespace heatherquay::coordination::batch
