#pragma once

#include "heatherquay/coordination/batch/decider.hpp"

#include "heatherquay/error.hpp"
#include "heatherquay/protocol/batch/record_codec.hpp"
#include "heatherquay/protocol/wait.hpp"
#include "heatherquay/transport/log.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace heatherquay::coordination::batch
{

namespace detail
{

constexpr std::uint32_t jobsPerPurgeMax = 20; // Per pass, so that a backlog does not delay decisions.

constexpr std::chrono::milliseconds lagInterval{100}; // Between two measurements of the delay of timers.
constexpr std::chrono::milliseconds loadLogInterval{1'000};

constexpr std::uint32_t immediatePollsMax = 32; // Their answers take about 50 ms of a small processor share.

constexpr std::uint32_t silentPollsMax = 16; // Leaves the processor to the workers that answer.

/// @return the limits of polls that are answered at once
inline SendLimits pollLimits(SendLimits limits, std::uint32_t inFlightMax)
{
    limits.inFlightMax = inFlightMax;
    return limits;
}

} // namespace detail

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
Decider<Store, Worker>::Decider(boost::asio::any_io_executor executor, Store &store,
                                protocol::batch::FencingToken token, DeciderPorts<Worker> ports, DeciderTimes times,
                                state::batch::SchedulerSettings settings, SendLimits orderLimits)
    : m_executor(std::move(executor))
    , m_store(store)
    , m_token(token)
    , m_ports(std::move(ports))
    , m_times(times)
    , m_scheduler(settings)
    , m_writer(store, m_ports.term, m_ports.confirm)
    , m_jobs(
          store, jobsTable, intakePartNames(),
          [this](const protocol::batch::StoredRow &row) {
              applyJobRow(row);
          },
          MirrorTimes{.followPause = std::chrono::milliseconds(5)})
    , m_workers(store, m_ports.workersTable, {std::string()},
                [this](const protocol::batch::StoredRow &row) {
                    applyWorkerRow(row);
                })
    , m_wake(m_executor)
    , m_orders(orderLimits)
    , m_orderTimer(m_executor)
    , m_polls(detail::pollLimits(orderLimits, detail::immediatePollsMax))
    , m_silentPolls(detail::pollLimits(orderLimits, detail::silentPollsMax))
    , m_pollTimer(m_executor)
{
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
void Decider<Store, Worker>::start()
{
    m_termStartedAt = now();
    // Each coroutine holds a shared_ptr to the decider, so that the mirrors outlive their coroutines.
    const auto follow
        = [](std::shared_ptr<Decider> self, TableMirror<Store> Decider::*mirror) -> boost::asio::awaitable<void> {
        co_await ((*self).*mirror).run();
    };
    spawn(follow(shared_from_this(), &Decider::m_jobs), TaskKind::Essential);
    spawn(follow(shared_from_this(), &Decider::m_workers), TaskKind::Essential);
    const auto runDecider = [](std::shared_ptr<Decider> self) -> boost::asio::awaitable<void> {
        co_await self->run();
    };
    spawn(runDecider(shared_from_this()), TaskKind::Essential);
    spawn(observeLoad());
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
void Decider<Store, Worker>::stop()
{
    m_stopped = true;
    m_jobs.stop();
    m_workers.stop();
    for (const auto &[id, session] : m_sessions) {
        session->closed = true;
        session->wake.cancel();
    }
    m_orderTimer.cancel();
    m_pollTimer.cancel();
    wake();
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
void Decider<Store, Worker>::spawn(boost::asio::awaitable<void> task, TaskKind kind)
{
    const auto finished = [self = shared_from_this(), kind](std::exception_ptr failure) {
        if (!failure) {
            return;
        }
        try {
            std::rethrow_exception(failure);
        } catch (const std::exception &error) {
            transport::log(transport::LogLevel::Error, "decider-task-failed", {{"error", error.what()}});
        }
        if (kind == TaskKind::Essential && !self->m_stopped) {
            // A leader that no longer schedules would keep the term for nothing.
            self->m_ports.depose("a task of the decider failed");
        }
    };
    boost::asio::co_spawn(m_executor, std::move(task), finished);
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
boost::asio::awaitable<bool> Decider<Store, Worker>::endsWithoutException(boost::asio::awaitable<void> call)
{
    try {
        co_await std::move(call);
        co_return true;
    } catch (const std::exception &error) {
        transport::log(transport::LogLevel::Error, "decider-call-failed", {{"error", error.what()}});
    }
    co_return false;
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
void Decider<Store, Worker>::wake()
{
    m_wakePending = true;
    m_wake.cancel();
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
state::Instant Decider<Store, Worker>::now() const
{
    return state::Instant(std::chrono::duration_cast<state::Duration>(Clock::now().time_since_epoch()));
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
state::Instant Decider<Store, Worker>::wallClockNow()
{
    return std::chrono::time_point_cast<state::Duration>(std::chrono::system_clock::now());
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
bool Decider<Store, Worker>::hasAuthority() const
{
    return !m_stopped && Clock::now() - m_ports.confirmedAt() <= m_times.authorityTimeout;
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
bool Decider<Store, Worker>::evacuationsKnown() const
{
    return !m_ports.evacuationsKnown || m_ports.evacuationsKnown();
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
bool Decider<Store, Worker>::hasRecentClock(const Session &session) const
{
    return session.clock.uncertainty(Clock::now()) <= m_times.clockUncertaintyMax;
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
bool Decider<Store, Worker>::canGrantLease(const Session &session) const
{
    return session.clock.uncertainty(Clock::now()) <= m_times.lease / 2;
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
protocol::batch::WorkerTime Decider<Store, Worker>::leaseEnd(const Session &session) const
{
    const auto sinceConfirmation
        = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_ports.confirmedAt());
    const auto lease = std::min(m_times.lease, m_times.leaseSpanMax - sinceConfirmation);
    return session.clock.earliest(Clock::now()) + std::max(lease, std::chrono::milliseconds::zero());
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
state::Instant Decider<Store, Worker>::latestLeaseExpiry(std::chrono::milliseconds lease) const
{
    const auto stretched = static_cast<std::int64_t>(static_cast<double>(lease.count()) / m_times.clockRateMin);
    return now() + state::Duration(stretched) + m_times.leaseExpiryMargin;
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
state::Instant Decider<Store, Worker>::latestPredecessorLeaseExpiry() const
{
    const auto span = std::min(m_times.leaseSpanMax, m_times.authorityTimeout + m_times.lease);
    return latestLeaseExpiry(m_times.lease) + std::max(span - m_times.lease, std::chrono::milliseconds::zero());
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
void Decider<Store, Worker>::setQueues(std::map<std::string, state::batch::QueuePolicy> queues)
{
    m_scheduler.setQueues(std::move(queues));
    wake();
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
void Decider<Store, Worker>::setGuarantees(const std::vector<state::batch::TeamGuarantee> &guarantees)
{
    m_scheduler.setGuarantees(guarantees);
    wake();
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
void Decider<Store, Worker>::setEvacuatedDomains(const std::set<state::FailureDomainId> &domains)
{
    m_scheduler.setEvacuatedDomains(domains, now());
    wake();
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
void Decider<Store, Worker>::handleBoardChange(const state::JobId &job)
{
    const auto entry = m_ports.board->find(job);
    if (!entry || !m_recovered) {
        return;
    }
    if (entry->cancelRequested) {
        m_scheduler.cancel(job);
        wake();
    }
    if (isWithdrawn(*entry)) {
        m_endedAt.try_emplace(job, now());
    }
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
void Decider<Store, Worker>::applyWorkerRow(const protocol::batch::StoredRow &row)
{
    const state::WorkerId id{row.key.key};
    if (row.removed) {
        transport::log(transport::LogLevel::Info, "worker-gone", {{"worker", id.value}});
        m_scheduler.unregisterWorker(id);
        wake();
        return;
    }
    const auto spec = m_ports.readWorker(row);
    if (!spec) {
        // Most likely from another writer. A known worker gets no new work while its row cannot be read.
        transport::log(transport::LogLevel::Warn, "worker-row-unreadable",
                       {{"worker", id.value}, {"row_version", std::to_string(row.version)}});
        m_scheduler.unregisterWorker(id);
        return;
    }
    const state::batch::Worker *known = m_scheduler.workers().find(id);
    if (known != nullptr && known->registered && state::batch::isHeartbeat(known->spec, *spec)) {
        m_scheduler.setColdRemaining(id, spec->coldRemaining, now());
        return;
    }
    transport::log(transport::LogLevel::Info, "worker-registered",
                   {{"worker", id.value},
                    {"incarnation", std::to_string(spec->incarnation.value)},
                    {"rack", spec->rack},
                    {"failure_domain", spec->failureDomain.value},
                    {"draining", spec->draining ? "true" : "false"},
                    {"cold_ms", std::to_string(spec->coldRemaining.count())},
                    {"row_version", std::to_string(row.version)}});
    m_scheduler.registerWorker(*spec, now(), latestPredecessorLeaseExpiry());
    openSession(*spec);
    wake();
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
void Decider<Store, Worker>::openSession(const state::batch::WorkerSpec &spec)
{
    auto &session = m_sessions[spec.id];
    if (session && session->address != spec.address) {
        session->closed = true;
        session->wake.cancel();
        session.reset();
    }
    if (!session) {
        session
            = std::make_shared<Session>(m_executor, spec.id, spec.address, m_ports.connect(spec), m_times.clockRateMin);
    }
    updateIncarnation(*session, spec.incarnation, "registration");
    session->wake.cancel();
    if (m_recovered && !session->polling) {
        session->polling = true;
        spawn(pollLoop(session));
    }
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
boost::asio::awaitable<bool> Decider<Store, Worker>::recover()
{
    while (!m_stopped && (!m_jobs.loaded() || !m_workers.loaded())) {
        co_await protocol::waitFor(m_times.passIntervalMin);
    }
    ProgressReader progress;
    state::batch::LearnedRecord learned;
    state::batch::RunTimesRecord runTimes;
    protocol::batch::RowRange range{progressTable, deciderPart, {}, 500};
    bool more = true;
    while (more && !m_stopped) {
        const auto page = co_await m_store.read(range, std::chrono::milliseconds(1'500));
        if (!page.ok) {
            co_await protocol::waitFor(m_times.passIntervalMax);
            continue;
        }
        for (const auto &row : page.rows) {
            m_writer.setKnownVersion(row.key, row.version);
            try {
                if (row.key == learnedRow()) {
                    learned = protocol::batch::decodeLearned(row.value);
                    continue;
                }
                if (row.key == runTimesRow()) {
                    runTimes = protocol::batch::decodeRunTimes(row.value);
                    continue;
                }
                progress.add(row);
            } catch (const Error &error) {
                transport::log(transport::LogLevel::Error, "record-unreadable",
                               {{"row", row.key.key}, {"error", error.what()}});
            }
        }
        more = page.more && !page.rows.empty();
        if (more) {
            range.from = page.rows.back().key.key + '\0';
        }
    }
    if (m_stopped) {
        co_return false;
    }
    m_recovered = true;
    for (const auto &[id, entry] : m_ports.board->all()) {
        if (entry.statusVersion > 0) {
            m_writer.setKnownVersion(statusRow(id), entry.statusVersion);
        }
        if (state::batch::isFinal(entry.state) || isWithdrawn(entry)) {
            m_endedAt.try_emplace(id, now()); // Also a job of which the predecessor has left only the status.
        }
    }
    for (const auto &[id, job] : m_jobsBeforeRecovery) {
        admit(job.first, job.second);
    }
    m_jobsBeforeRecovery.clear();
    // The previous decider may have extended leases until its own authority ended, at most authorityTimeout after the
    // start of this term.
    const state::Instant leaseUntil = m_termStartedAt + (latestPredecessorLeaseExpiry() - now());
    const auto records = progress.records();
    for (const auto &schedule : progress.schedules()) {
        m_scheduler.restore(schedule);
    }
    m_replacedRows = progress.replacedRows();
    for (const auto &record : records) {
        m_scheduler.restore(record, now(), leaseUntil);
    }
    m_scheduler.restoreLearned(learned);
    const std::size_t kinds = m_scheduler.restoreRunTimes(runTimes);
    transport::log(transport::LogLevel::Info, "run-times-restored",
                   {{"kinds", std::to_string(kinds)},
                    {"unusable", std::to_string(runTimes.kinds.size() - kinds)},
                    {"version", std::to_string(runTimes.version)}});
    m_learnedSavedAt = now();
    m_runTimesSavedAt = now();
    // A poll loop may end before spawn() returns and remove its session, so the loops start from a copy.
    std::vector<std::shared_ptr<Session>> sessions;
    for (const auto &[id, session] : m_sessions) {
        sessions.push_back(session);
    }
    for (const auto &session : sessions) {
        session->polling = true;
        spawn(pollLoop(session));
    }
    transport::log(transport::LogLevel::Info, "decider-recovered",
                   {{"token", std::to_string(m_token.value)},
                    {"jobs", std::to_string(m_scheduler.liveJobs())},
                    {"records", std::to_string(records.size())},
                    {"workers", std::to_string(m_sessions.size())},
                    {"took_ms", std::to_string((now() - m_termStartedAt).count())}});
    co_return true;
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
boost::asio::awaitable<void> Decider<Store, Worker>::run()
{
    const bool recovered = co_await recover();
    if (!recovered) {
        co_return;
    }
    while (!m_stopped) {
        const bool stored = co_await pass();
        if (stored) {
            co_await removeReplacedRows();
        } else {
            co_await protocol::waitFor(m_times.passIntervalMax);
        }
        // Passes take at most a third of the time, so that heartbeats and answers are handled in between.
        co_await protocol::waitFor(std::clamp(2 * m_passDuration, m_times.passIntervalMin, m_times.passIntervalMax));
        if (!m_wakePending && !m_stopped) {
            m_wake.expires_after(m_times.passIntervalMax);
            co_await m_wake.async_wait(detail::waitTuple);
        }
        m_wakePending = false;
        co_await purgeEndedJobs();
    }
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
boost::asio::awaitable<bool> Decider<Store, Worker>::pass()
{
    // Starts that could not be sent soon, or not at all without authority, are not planned.
    const std::size_t startsMax = hasAuthority() && evacuationsKnown() ? m_orders.freeBacklog() : 0;
    const auto begunAt = Clock::now();
    state::batch::Decision decision = m_scheduler.decide(now(), wallClockNow(), startsMax);
    m_passDuration = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - begunAt);
    const auto decisionTime = std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - begunAt);
    m_ports.metrics->recordDecisionTime(decisionTime);
    m_load.addPass(decisionTime, m_scheduler.examinedWorkers(), decision.starts.size(), decision.stops.size());
    report(decision);
    m_ports.metrics->countDecision(decision);
    for (state::batch::StopOrder &stop : decision.stops) {
        queue(std::move(stop));
    }
    for (state::batch::PaceOrder &pace : decision.paces) {
        queue(std::move(pace));
    }
    sendOrders();
    m_adviceOrders.insert(m_adviceOrders.end(), decision.advice.begin(), decision.advice.end());
    if (!m_adviceOrders.empty() && !m_adviceLoopRunning) {
        m_adviceLoopRunning = true;
        spawn(adviceLoop());
    }
    m_pendingStarts.insert(m_pendingStarts.end(), decision.starts.begin(), decision.starts.end());
    for (const state::batch::StartOrder &start : decision.starts) {
        const auto found = m_sessions.find(start.worker);
        if (found != m_sessions.end() && !hasRecentClock(*found->second)) {
            found->second->wake.cancel(); // The poll is answered while the records are stored.
        }
    }
    std::map<state::WorkerId, std::pair<state::batch::Incarnation, std::uint64_t>> processed;
    for (const auto &[id, session] : m_sessions) {
        processed[id] = {session->incarnation, session->processedEnd};
    }
    std::vector<protocol::batch::RowPut> rows;
    for (const auto &record : decision.records) {
        rows.push_back(
            {progressRow(record.job, record.occurrence, record.block), protocol::batch::encodeOccurrence(record)});
    }
    for (const auto &status : decision.statuses) {
        rows.push_back({statusRow(status.job), protocol::batch::encodeStatus(status)});
    }
    for (const auto &change : decision.schedules) {
        rows.push_back({scheduleRow(change.record.job), protocol::batch::encodeSchedule(change.record)});
    }
    if (!rows.empty() && now() >= m_learnedSavedAt + m_times.learnedSaveInterval) {
        m_learnedSavedAt = now();
        rows.push_back({learnedRow(), protocol::batch::encodeLearned(m_scheduler.learned())});
    }
    if (!rows.empty() && now() >= m_runTimesSavedAt + m_times.runTimesSaveInterval) {
        m_runTimesSavedAt = now();
        m_ports.metrics->recordRunTimes(m_scheduler.runTimeModel().view());
        rows.push_back(
            {runTimesRow(), protocol::batch::encodeRunTimes(m_scheduler.learnedRunTimes(runTimesRowBytesMax))});
    }
    m_load.addRows(rows.size());
    const auto writeBegunAt = Clock::now();
    const WriteOutcome outcome = co_await m_writer.write(std::move(rows));
    m_load.addStoreTime(std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - writeBegunAt));
    if (m_stopped) {
        co_return false;
    }
    m_ports.metrics->countRecordWrite(outcome == WriteOutcome::Stored);
    if (outcome == WriteOutcome::Deposed) {
        m_ports.depose("the store rejected a write: the term has changed");
        co_return false;
    }
    if (outcome == WriteOutcome::Failed) {
        m_scheduler.recordAgain(decision);
        co_return false;
    }
    for (const auto &change : decision.schedules) {
        noteReplacedRows(change);
    }
    for (const auto &status : decision.statuses) {
        if (state::batch::isFinal(status.state)) {
            m_endedAt[status.job] = now();
        }
    }
    for (const auto &[id, session] : m_sessions) {
        const auto found = processed.find(id);
        const bool current = found != processed.end() && found->second.first == session->incarnation;
        if (current && found->second.second > session->confirmedEnd) {
            session->confirmedEnd = found->second.second;
            session->wake.cancel();
        }
    }
    for (state::batch::StartOrder &start : std::exchange(m_pendingStarts, {})) {
        queue(std::move(start));
    }
    sendOrders();
    co_return true;
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
boost::asio::awaitable<void> Decider<Store, Worker>::requestAdvice(state::batch::AdviceOrder order,
                                                                   protocol::batch::AdviceAnswer &answer)
{
    answer.failure = "the call failed";
    answer = co_await m_ports.advise(order);
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
boost::asio::awaitable<void> Decider<Store, Worker>::adviceLoop()
{
    const auto self = shared_from_this();
    while (!m_stopped && !m_adviceOrders.empty()) {
        const state::batch::AdviceOrder order = std::move(m_adviceOrders.front());
        m_adviceOrders.pop_front();
        protocol::batch::AdviceAnswer answer;
        answer.failure = "the platform has no advice service";
        if (m_ports.advise) {
            co_await endsWithoutException(requestAdvice(order, answer));
        }
        if (m_stopped) {
            co_return;
        }
        transport::log(answer.ok ? transport::LogLevel::Info : transport::LogLevel::Warn, "advice-answered",
                       {{"job", order.step.job.value},
                        {"step", toString(order.step)},
                        {"asked", std::to_string(order.workers.size())},
                        {"good", std::to_string(answer.tickets.size())},
                        {"error", answer.failure}});
        m_scheduler.adviceAnswered(order.step, answer.ok ? std::optional(std::move(answer.tickets)) : std::nullopt,
                                   answer.validity, now());
        wake();
    }
    m_adviceLoopRunning = false;
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
boost::asio::awaitable<void> Decider<Store, Worker>::observeLoad()
{
    const auto self = shared_from_this();
    while (!m_stopped) {
        const auto begunAt = Clock::now();
        co_await protocol::waitFor(detail::lagInterval);
        if (m_stopped) {
            co_return;
        }
        const auto lag = Clock::now() - begunAt - detail::lagInterval;
        m_ports.metrics->recordLag(std::chrono::duration_cast<std::chrono::microseconds>(lag));
        m_load.addLag(std::chrono::duration_cast<std::chrono::microseconds>(lag));
        if (Clock::now() >= m_load.begunAt() + detail::loadLogInterval) {
            m_ports.metrics->reportTeams(m_scheduler.teamShares());
            m_load.log(Clock::now(), {m_orders.size(), m_polls.size() + m_silentPolls.size(), m_scheduler.liveJobs()},
                       m_scheduler.usage());
        }
    }
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
void Decider<Store, Worker>::report(const state::batch::Decision &decision) const
{
    for (const auto &status : decision.statuses) {
        transport::log(transport::LogLevel::Info, "job-state",
                       {{"job", status.job.value},
                        {"queue", status.queue},
                        {"team", status.team.value},
                        {"priority", std::to_string(status.priority)},
                        {"state", jobStateName(status.state)},
                        {"age_ms", std::to_string(status.age.count())},
                        {"objective_ms", std::to_string(status.objective.count())},
                        {"expected_ms", std::to_string(status.expected.count())},
                        {"first_start_ms", std::to_string(status.history.firstStart.count())},
                        {"last_start_ms", std::to_string(status.history.lastStart.count())},
                        {"evictions", std::to_string(status.history.evictions)},
                        {"token", std::to_string(m_token.value)}});
    }
    for (const auto &eviction : decision.evictions) {
        transport::log(transport::LogLevel::Info, "run-evicted",
                       {{"task", toString(eviction.victim)},
                        {"priority", std::to_string(eviction.victimPriority)},
                        {"members", std::to_string(eviction.victimMembers)},
                        {"for_job", eviction.beneficiary.value},
                        {"for_priority", std::to_string(eviction.beneficiaryPriority)},
                        {"guaranteed", eviction.guaranteed ? "true" : "false"},
                        {"lost_core_s", std::to_string(static_cast<std::int64_t>(eviction.lostCoreSeconds))}});
    }
    for (const auto &reservation : decision.reservations) {
        transport::log(transport::LogLevel::Info, "rack-reserved",
                       {{"job", reservation.job.value},
                        {"rack", reservation.rack},
                        {"kept", std::to_string(reservation.workersKeptForUrgent)}});
    }
    for (const auto &release : decision.releases) {
        transport::log(transport::LogLevel::Warn, "run-given-up",
                       {{"task", toString(release.task)},
                        {"run", std::to_string(release.run)},
                        {"worker", release.worker.value},
                        {"reason", releaseReasonName(release.reason)},
                        {"lost_core_s", std::to_string(std::llround(release.lostCoreSeconds))}});
    }
    for (const auto &task : decision.hung) {
        transport::log(transport::LogLevel::Warn, "run-hung", {{"task", toString(task)}});
    }
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
void Decider<Store, Worker>::noteReplacedRows(const state::batch::ScheduleChange &change)
{
    for (std::uint32_t number = change.discardedFrom; number < change.record.finishedBefore; ++number) {
        for (std::uint32_t block = 0; block < change.blocks; ++block) {
            auto key = progressRow(change.record.job, number, block);
            if (m_writer.isKnown(key)) {
                m_replacedRows.push_back(std::move(key));
            }
        }
    }
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
boost::asio::awaitable<void> Decider<Store, Worker>::removeReplacedRows()
{
    const std::size_t count = std::min(m_replacedRows.size(), RecordWriter<Store>::rowsPerTransactionMax);
    if (count == 0 || m_stopped) {
        co_return;
    }
    const auto first = m_replacedRows.end() - static_cast<std::ptrdiff_t>(count);
    const std::vector<protocol::batch::RowKey> rows(first, m_replacedRows.end());
    if (co_await m_writer.remove(rows, true)) {
        m_replacedRows.resize(m_replacedRows.size() - count);
    }
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
boost::asio::awaitable<void> Decider<Store, Worker>::purgeEndedJobs()
{
    std::vector<state::JobId> due;
    for (const auto &[job, endedAt] : m_endedAt) {
        if (now() >= endedAt + m_times.endedJobRetention && due.size() < detail::jobsPerPurgeMax) {
            due.push_back(job);
        }
    }
    for (const state::JobId &job : due) {
        // The status is removed last: without it, a successor runs a job whose specification is still there.
        const protocol::batch::RowRange range{progressTable, deciderPart, job.value,
                                              static_cast<std::uint32_t>(RecordWriter<Store>::rowsPerTransactionMax)};
        const auto page = co_await m_store.read(range, m_times.orderTimeout);
        if (!page.ok || m_stopped) {
            co_return;
        }
        std::vector<protocol::batch::RowKey> rows;
        for (const auto &row : page.rows) {
            if (row.key.key.starts_with(job.value + ".")) {
                rows.push_back(row.key);
            }
        }
        // The rows after those of this job belong to other jobs.
        const bool last = rows.size() < page.rows.size() || !page.more;
        const bool recordsGone = rows.empty() || co_await m_writer.remove(rows, true);
        if (!recordsGone || m_stopped) {
            co_return;
        }
        // The next pass removes the rest. A job with the same id may have been accepted in the meantime.
        if (!last || !m_endedAt.contains(job)) {
            continue;
        }
        if (!co_await removeIntake(job)) {
            co_return;
        }
        const std::vector<protocol::batch::RowKey> status{statusRow(job)};
        const bool statusGone = co_await m_writer.remove(status, true);
        if (!statusGone || m_stopped) {
            co_return;
        }
        m_endedAt.erase(job);
    }
}

} // namespace heatherquay::coordination::batch
