#pragma once

#include "heatherquay/coordination/batch/decider.hpp"

#include "heatherquay/error.hpp"
#include "heatherquay/protocol/batch/record_codec.hpp"
#include "heatherquay/protocol/wait.hpp"
#include "heatherquay/transport/log.hpp"

#include <algorithm>
#include <set>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace heatherquay::coordination::batch
{

namespace detail
{

constexpr auto waitTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
constexpr std::chrono::milliseconds idlePollInterval{1'000}; // Upper bound for a session without runs.
constexpr double orderOverheadBytes = 450; // Request without payload, and the headers of its packets.
constexpr std::uint32_t jobsPerPurgeMax = 20; // Per pass, so that a backlog does not delay decisions.

constexpr std::uint32_t immediatePollsMax = 32; // Their answers take about 50 ms of a small processor share.
constexpr double pollBytes = 400; // Request and the headers of its packets.

/// @return the limits of polls that are answered at once
inline OrderLimits pollLimits(OrderLimits limits)
{
    limits.inFlightMax = immediatePollsMax;
    return limits;
}

} // namespace detail

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
Decider<Store, Worker>::Decider(boost::asio::any_io_executor executor, Store &store,
                                protocol::batch::FencingToken token, DeciderPorts<Worker> ports, DeciderTimes times,
                                state::batch::SchedulerSettings settings, OrderLimits orderLimits)
    : m_executor(std::move(executor))
    , m_store(store)
    , m_token(token)
    , m_ports(std::move(ports))
    , m_times(times)
    , m_scheduler(settings)
    , m_writer(store, m_ports.term, m_ports.confirm)
    , m_jobs(
          store, jobsTable, {intakePart},
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
    , m_polls(detail::pollLimits(orderLimits))
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
state::Instant Decider<Store, Worker>::latestLeaseExpiry(std::chrono::milliseconds lease) const
{
    const auto stretched = static_cast<std::int64_t>(static_cast<double>(lease.count()) / m_times.clockRateMin);
    return now() + state::Duration(stretched) + m_times.leaseExpiryMargin;
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
void Decider<Store, Worker>::handleBoardChange(const state::JobId &job)
{
    const auto entry = m_ports.board->find(job);
    if (entry && entry->cancelRequested && m_recovered) {
        m_scheduler.cancel(job);
        wake();
    }
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
void Decider<Store, Worker>::applyJobRow(const protocol::batch::StoredRow &row)
{
    if (row.removed) {
        return;
    }
    try {
        const state::batch::JobSpec job = protocol::batch::decodeJob(row.value);
        if (m_recovered) {
            admit(job);
        } else {
            m_jobsBeforeRecovery[job.id] = job;
        }
    } catch (const Error &error) {
        transport::log(transport::LogLevel::Error, "job-unreadable", {{"job", row.key.key}, {"error", error.what()}});
    }
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
void Decider<Store, Worker>::admit(const state::batch::JobSpec &job)
{
    const auto entry = m_ports.board->find(job.id);
    if (entry && state::batch::isFinal(entry->state)) {
        m_endedAt.try_emplace(job.id, now());
        return;
    }
    m_scheduler.submit(job, now());
    if (entry && entry->cancelRequested) {
        m_scheduler.cancel(job.id);
    }
    wake();
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
    if (known != nullptr && known->registered) {
        state::batch::WorkerSpec expected = *spec;
        expected.incarnation = std::max(expected.incarnation, known->spec.incarnation);
        if (known->spec == expected) {
            return; // Only a heartbeat changed the row.
        }
    }
    transport::log(transport::LogLevel::Info, "worker-registered",
                   {{"worker", id.value},
                    {"incarnation", std::to_string(spec->incarnation.value)},
                    {"draining", spec->draining ? "true" : "false"},
                    {"row_version", std::to_string(row.version)}});
    m_scheduler.registerWorker(*spec, now(), latestLeaseExpiry(m_times.authorityTimeout + m_times.lease));
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
        session = std::make_shared<Session>(m_executor, spec.id, spec.address, m_ports.connect(spec));
    }
    session->updateIncarnation(spec.incarnation);
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
    }
    for (const auto &[id, job] : m_jobsBeforeRecovery) {
        admit(job);
    }
    m_jobsBeforeRecovery.clear();
    // The previous decider may have extended leases until its own authority ended, at most authorityTimeout after the
    // start of this term.
    const state::Instant leaseUntil
        = m_termStartedAt + (latestLeaseExpiry(m_times.authorityTimeout + m_times.lease) - now());
    const auto records = progress.records();
    for (const auto &record : records) {
        m_scheduler.restore(record, now(), leaseUntil);
    }
    m_scheduler.restoreLearned(learned);
    m_learnedSavedAt = now();
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
        if (!stored) {
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
    const std::size_t startsMax = hasAuthority() ? m_orders.freeBacklog() : 0;
    const auto begunAt = Clock::now();
    state::batch::Decision decision = m_scheduler.decide(now(), wallClockNow(), startsMax);
    m_passDuration = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - begunAt);
    m_ports.metrics->recordDecisionTime(std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - begunAt));
    report(decision);
    m_ports.metrics->countDecision(decision);
    for (state::batch::StopOrder &stop : decision.stops) {
        queue(std::move(stop));
    }
    sendOrders();
    m_adviceOrders.insert(m_adviceOrders.end(), decision.advice.begin(), decision.advice.end());
    if (!m_adviceOrders.empty() && !m_adviceLoopRunning) {
        m_adviceLoopRunning = true;
        spawn(adviceLoop());
    }
    m_pendingStarts.insert(m_pendingStarts.end(), decision.starts.begin(), decision.starts.end());
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
    if (!rows.empty() && now() >= m_learnedSavedAt + m_times.learnedSaveInterval) {
        m_learnedSavedAt = now();
        rows.push_back({learnedRow(), protocol::batch::encodeLearned(m_scheduler.learned())});
    }
    const WriteOutcome outcome = co_await m_writer.write(std::move(rows));
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
boost::asio::awaitable<void> Decider<Store, Worker>::adviceLoop()
{
    const auto self = shared_from_this();
    while (!m_stopped && !m_adviceOrders.empty()) {
        const state::batch::AdviceOrder order = std::move(m_adviceOrders.front());
        m_adviceOrders.pop_front();
        protocol::batch::AdviceAnswer answer;
        answer.failure = "the platform has no advice service";
        if (m_ports.advise) {
            answer = co_await m_ports.advise(order);
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
        m_scheduler.adviceAnswered(order.step, std::move(answer.tickets), answer.validity, now());
        wake();
    }
    m_adviceLoopRunning = false;
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
void Decider<Store, Worker>::report(const state::batch::Decision &decision) const
{
    for (const auto &status : decision.statuses) {
        transport::log(transport::LogLevel::Info, "job-state",
                       {{"job", status.job.value},
                        {"queue", status.queue},
                        {"state", jobStateName(status.state)},
                        {"age_ms", std::to_string(status.age.count())},
                        {"token", std::to_string(m_token.value)}});
    }
    for (const auto &eviction : decision.evictions) {
        transport::log(transport::LogLevel::Info, "run-evicted",
                       {{"task", toString(eviction.victim)},
                        {"for_job", eviction.beneficiary.value},
                        {"lost_core_s", std::to_string(static_cast<std::int64_t>(eviction.lostCoreSeconds))}});
    }
    for (const auto &task : decision.hung) {
        transport::log(transport::LogLevel::Warn, "run-hung", {{"task", toString(task)}});
    }
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
void Decider<Store, Worker>::queue(state::batch::StartOrder start)
{
    const OrderClass orderClass = start.urgent ? OrderClass::Urgent : OrderClass::Ordinary;
    const double bytes = detail::orderOverheadBytes + static_cast<double>(start.payload.size());
    const state::WorkerId worker = start.worker;
    m_orders.push(orderClass, worker, bytes, std::move(start));
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
void Decider<Store, Worker>::queue(state::batch::StopOrder stop)
{
    const state::WorkerId worker = stop.worker;
    m_orders.push(OrderClass::Urgent, worker, detail::orderOverheadBytes, std::move(stop));
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
void Decider<Store, Worker>::sendOrders()
{
    while (!m_stopped) {
        auto sent = m_orders.pop(now());
        if (!sent) {
            break;
        }
        spawn(send(std::move(*sent)));
    }
    const auto wait = m_orders.nextSendIn(now());
    if (m_stopped || !wait) {
        return;
    }
    m_orderTimer.expires_after(std::max(*wait, state::Duration(1)));
    m_orderTimer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error) {
            self->sendOrders();
        }
    });
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
boost::asio::awaitable<void> Decider<Store, Worker>::send(typename Orders::Sent sent)
{
    const auto self = shared_from_this();
    if (auto *start = std::get_if<state::batch::StartOrder>(&sent.order)) {
        co_await order(std::move(*start));
    } else {
        co_await order(std::move(std::get<state::batch::StopOrder>(sent.order)));
    }
    m_orders.answered(sent.ticket);
    sendOrders();
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
boost::asio::awaitable<void> Decider<Store, Worker>::order(state::batch::StartOrder start)
{
    const auto self = shared_from_this();
    const auto found = m_sessions.find(start.worker);
    if (m_stopped || !m_scheduler.beginStart(start.task, start.run)) {
        co_return;
    }
    protocol::batch::OrderAnswer answer;
    if (found == m_sessions.end() || !found->second->clock || !hasAuthority()) {
        answer.status = protocol::batch::CallStatus::NotSent;
        answer.failure = "cannot grant a lease: no session, unknown worker clock, or term not confirmed";
    } else {
        const auto session = found->second;
        m_scheduler.leaseExtended(start.worker, latestLeaseExpiry(m_times.lease));
        answer = co_await session->calls->start(start, m_token, session->leaseEnd(m_times.lease), m_times.orderTimeout);
        if (answer.clock) {
            session->updateClock(*answer.clock);
        }
        session->wake.cancel();
    }
    if (m_stopped) {
        co_return;
    }
    using protocol::batch::CallStatus;
    using state::batch::StartOutcome;
    StartOutcome outcome = StartOutcome::Refused;
    if (answer.status == CallStatus::Answered) {
        outcome = StartOutcome::Started;
    } else if (answer.status == CallStatus::Unknown) {
        outcome = StartOutcome::Unknown;
    } else if (answer.status == CallStatus::NotSent) {
        outcome = StartOutcome::NotSent;
    } else if (answer.status == CallStatus::NoCapacity) {
        outcome = StartOutcome::NoCapacity;
    } else if (answer.status == CallStatus::NoTicket) {
        outcome = StartOutcome::NoTicket;
    }
    const bool started = outcome == StartOutcome::Started;
    transport::log(started ? transport::LogLevel::Info : transport::LogLevel::Warn, "run-ordered",
                   {{"task", toString(start.task)},
                    {"run", std::to_string(start.run)},
                    {"worker", start.worker.value},
                    {"incarnation", std::to_string(start.incarnation.value)},
                    {"checkpoint", start.checkpoint},
                    {"token", std::to_string(m_token.value)},
                    {"outcome", started ? "started" : answer.failure}});
    m_ports.metrics->countStart(outcome);
    m_scheduler.startAnswered(start.task, start.run, outcome, now());
    if (answer.status == CallStatus::Fenced) {
        m_ports.depose("a worker has seen a higher fencing token");
    }
    wake();
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
boost::asio::awaitable<void> Decider<Store, Worker>::order(state::batch::StopOrder stop)
{
    const auto self = shared_from_this();
    const auto found = m_sessions.find(stop.worker);
    if (m_stopped || found == m_sessions.end()) {
        m_scheduler.stopUnanswered(stop.task, stop.run, now());
        co_return;
    }
    const auto session = found->second;
    const auto answer = co_await session->calls->stop(stop, m_token, m_times.orderTimeout);
    if (m_stopped) {
        co_return;
    }
    transport::log(transport::LogLevel::Info, "stop-ordered",
                   {{"task", toString(stop.task)},
                    {"run", std::to_string(stop.run)},
                    {"worker", stop.worker.value},
                    {"token", std::to_string(m_token.value)},
                    {"outcome", answer.failure.empty() ? "answered" : answer.failure}});
    m_ports.metrics->countStop(answer.status == protocol::batch::CallStatus::Answered);
    if (answer.status == protocol::batch::CallStatus::Answered) {
        m_scheduler.stopAnswered(stop.task, stop.run, now());
        session->wake.cancel();
        wake();
        co_return;
    }
    m_scheduler.stopUnanswered(stop.task, stop.run, now());
    if (answer.status == protocol::batch::CallStatus::Fenced) {
        m_ports.depose("a worker has seen a higher fencing token");
    } else if (answer.status == protocol::batch::CallStatus::OtherIncarnation) {
        handleReplacedWorker(*session);
    }
    wake();
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
void Decider<Store, Worker>::handleReplacedWorker(const Session &session)
{
    transport::log(transport::LogLevel::Info, "worker-replaced",
                   {{"worker", session.id.value}, {"address", session.address}});
    m_scheduler.workerReplaced(session.id);
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
boost::asio::awaitable<void> Decider<Store, Worker>::pollLoop(std::shared_ptr<Session> session)
{
    const auto self = shared_from_this();
    while (!m_stopped && !session->closed) {
        if (session->processedEnd > session->confirmedEnd) {
            session->wake.expires_after(m_times.recordTimeout);
            co_await session->wake.async_wait(detail::waitTuple);
        } else if (!m_scheduler.needsPoll(session->id)) {
            if (m_scheduler.workers().find(session->id) == nullptr) {
                break;
            }
            session->wake.expires_after(detail::idlePollInterval);
            co_await session->wake.async_wait(detail::waitTuple);
            continue;
        }
        const state::batch::Worker *worker = m_scheduler.workers().find(session->id);
        const bool answersLater = worker != nullptr && worker->runs > 0 && worker->fenced && !worker->unreachable;
        if (!answersLater) {
            co_await waitForPollSlot(session);
        }
        if (m_stopped) {
            co_return;
        }
        if (!session->closed) {
            co_await poll(*session);
        }
        if (std::exchange(session->mayPoll, false)) {
            m_polls.answered(session->pollTicket);
            grantPolls();
        }
    }
    session->polling = false;
    session->closed = true;
    if (const auto found = m_sessions.find(session->id); found != m_sessions.end() && found->second == session) {
        m_sessions.erase(found);
    }
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
boost::asio::awaitable<void> Decider<Store, Worker>::waitForPollSlot(std::shared_ptr<Session> session)
{
    const state::batch::Worker *worker = m_scheduler.workers().find(session->id);
    const bool runs = worker != nullptr && worker->runs > 0;
    m_polls.push(runs ? OrderClass::Urgent : OrderClass::Ordinary, session->id, detail::pollBytes, session);
    grantPolls();
    while (!session->mayPoll && !m_stopped) {
        session->wake.expires_after(detail::idlePollInterval);
        co_await session->wake.async_wait(detail::waitTuple);
    }
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
void Decider<Store, Worker>::grantPolls()
{
    while (!m_stopped) {
        auto granted = m_polls.pop(now());
        if (!granted) {
            break;
        }
        granted->order->mayPoll = true;
        granted->order->pollTicket = granted->ticket;
        granted->order->wake.cancel();
    }
    const auto wait = m_polls.nextSendIn(now());
    if (m_stopped || !wait) {
        return;
    }
    m_pollTimer.expires_after(std::max(*wait, state::Duration(1)));
    m_pollTimer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error) {
            self->grantPolls();
        }
    });
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
boost::asio::awaitable<void> Decider<Store, Worker>::poll(Session &session)
{
    protocol::batch::PollRequest request;
    request.token = m_token;
    request.confirmedEnd = session.confirmedEnd;
    const state::batch::Worker *worker = m_scheduler.workers().find(session.id);
    const bool runs = worker != nullptr && worker->runs > 0;
    const bool leaseEligible = worker != nullptr && worker->fenced && !worker->unreachable && session.clock;
    if (runs && leaseEligible && session.processedEnd == session.confirmedEnd) {
        request.wait = m_times.pollWait;
    }
    // The lease of an unreachable worker is not extended: otherwise its runs would never count as ended.
    if (runs && leaseEligible && hasAuthority()) {
        request.leaseUntil = session.leaseEnd(m_times.lease);
        m_scheduler.leaseExtended(session.id, latestLeaseExpiry(m_times.lease));
    }
    const state::Instant askedAt = now();
    auto answer = co_await session.calls->poll(request, request.wait + m_times.pollResponseMargin);
    if (m_stopped) {
        co_return;
    }
    m_ports.metrics->countPoll(answer.status == protocol::batch::CallStatus::Answered);
    if (answer.status == protocol::batch::CallStatus::Fenced) {
        m_ports.depose("a worker has seen a higher fencing token");
        co_return;
    }
    if (answer.status == protocol::batch::CallStatus::OtherIncarnation) {
        handleReplacedWorker(session);
        wake();
        co_await protocol::waitFor(m_times.pollRetryDelay);
        co_return;
    }
    if (answer.status != protocol::batch::CallStatus::Answered) {
        if (++session.failures == 1) {
            transport::log(transport::LogLevel::Warn, "worker-silent",
                           {{"worker", session.id.value}, {"error", answer.failure}});
        }
        m_scheduler.workerUnreachable(session.id);
        wake();
        co_await protocol::waitFor(m_times.pollRetryDelay);
        co_return;
    }
    if (session.failures > 0) {
        transport::log(transport::LogLevel::Info, "worker-answers", {{"worker", session.id.value}});
    }
    session.failures = 0;
    if (answer.report.incarnation < session.incarnation) {
        co_return;
    }
    session.updateIncarnation(answer.report.incarnation);
    session.updateClock(answer.clock);
    answer.report.askedAt = askedAt;
    for (const auto &end : answer.report.ended) {
        session.processedEnd = std::max(session.processedEnd, end.number);
        if (end.number > session.confirmedEnd) {
            transport::log(transport::LogLevel::Info, "run-ended",
                           {{"task", toString(end.task)},
                            {"run", std::to_string(end.run)},
                            {"worker", session.id.value},
                            {"how", endKindName(end.kind)}});
            m_ports.metrics->countEnd(end.kind);
        }
    }
    // From its first answer on, the worker rejects earlier deciders, so that their leases end no later than a new one.
    worker = m_scheduler.workers().find(session.id); // It may have been removed while the poll was open.
    if (worker != nullptr && !worker->fenced) {
        m_scheduler.predecessorsFenced(session.id, latestLeaseExpiry(m_times.lease));
    }
    m_scheduler.workerAnswered(session.id, answer.report, now());
    wake();
    if (!answer.report.ended.empty()) {
        // Runs of a gang end together, so that one further poll reports several of them.
        co_await protocol::waitFor(m_times.pollPause);
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
        // The intake row is removed last: the job counts as known while it exists.
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
        if (last) {
            rows.push_back(statusRow(job));
        }
        const bool recordsGone = co_await m_writer.remove(rows, true);
        if (!recordsGone || m_stopped) {
            co_return;
        }
        if (!last) {
            continue; // The next pass removes the rest.
        }
        const std::vector<protocol::batch::RowKey> intake{jobRow(job), intakeRow(job)};
        const bool intakeGone = co_await m_writer.remove(intake, false);
        if (!intakeGone || m_stopped) {
            co_return;
        }
        m_endedAt.erase(job);
    }
}

} // namespace heatherquay::coordination::batch
