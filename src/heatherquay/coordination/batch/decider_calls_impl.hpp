#pragma once

// The decider's calls to workers: orders and polls.

#include "heatherquay/coordination/batch/decider.hpp"

#include "heatherquay/protocol/wait.hpp"
#include "heatherquay/transport/log.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace heatherquay::coordination::batch
{

namespace detail
{

constexpr std::chrono::milliseconds idlePollInterval{1'000}; // Upper bound for a session without runs.
constexpr double orderOverheadBytes = 450; // Request without payload, and the headers of its packets.
constexpr double pollBytes = 400; // Request and the headers of its packets.

} // namespace detail

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
void Decider<Store, Worker>::queue(state::batch::StartOrder start)
{
    const SendClass sendClass = start.urgent ? SendClass::Urgent : SendClass::Ordinary;
    const double bytes = detail::orderOverheadBytes + static_cast<double>(start.payload.size());
    const state::WorkerId worker = start.worker;
    m_orders.push(sendClass, worker, bytes, std::move(start));
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
void Decider<Store, Worker>::queue(state::batch::StopOrder stop)
{
    const state::WorkerId worker = stop.worker;
    m_orders.push(SendClass::Urgent, worker, detail::orderOverheadBytes, std::move(stop));
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
void Decider<Store, Worker>::queue(state::batch::PaceOrder pace)
{
    const state::WorkerId worker = pace.worker;
    m_orders.push(SendClass::Urgent, worker, detail::orderOverheadBytes, std::move(pace));
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
        const state::batch::TaskId task = start->task;
        const std::uint32_t run = start->run;
        if (!co_await endsWithoutException(order(std::move(*start)))) {
            m_scheduler.startAnswered(task, run, state::batch::StartOutcome::Unknown, now());
        }
    } else if (auto *pace = std::get_if<state::batch::PaceOrder>(&sent.order)) {
        if (!co_await endsWithoutException(order(*pace))) {
            m_scheduler.paceAnswered(*pace, false, now());
        }
    } else {
        const state::batch::StopOrder stop = std::get<state::batch::StopOrder>(std::move(sent.order));
        if (!co_await endsWithoutException(order(stop))) {
            m_scheduler.stopUnanswered(stop.task, stop.run, now());
        }
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
    std::chrono::milliseconds clockUncertainty{};
    const state::batch::Worker *worker = m_scheduler.workers().find(start.worker);
    const std::int64_t slownessPercent = worker == nullptr ? 100 : std::llround(worker->slowness * 100);
    if (!evacuationsKnown()) {
        answer.status = protocol::batch::CallStatus::NotSent;
        answer.failure = "the list of evacuated failure domains is not up to date";
    } else if (found == m_sessions.end() || !canGrantLease(*found->second) || !hasAuthority()) {
        answer.status = protocol::batch::CallStatus::NotSent;
        answer.failure
            = "cannot grant a lease: no session, no recent reading of the worker's clock, or term not confirmed";
    } else if (found->second->confirming) {
        answer.status = protocol::batch::CallStatus::NotSent;
        answer.failure = "the confirmation of run ends is under way over a new connection";
    } else {
        const auto session = found->second;
        m_scheduler.leaseExtended(start.worker, latestLeaseExpiry(m_times.lease));
        clockUncertainty = session->clock.uncertainty(Clock::now());
        const protocol::batch::WorkerTime clockWhenSent = session->clock.earliest(Clock::now());
        const typename Session::StartInFlight inFlight(*session);
        const auto exchange = session->beginExchange();
        answer = co_await session->calls->start(start, m_token, leaseEnd(*session), m_times.orderTimeout);
        updateClock(*session, exchange, clockWhenSent, answer);
        if (answer.status == protocol::batch::CallStatus::Answered && !session->isCurrent(exchange)) {
            answer.status = protocol::batch::CallStatus::Unknown;
            answer.failure = "answered, but the worker has restarted or moved meanwhile";
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
                    {"members", std::to_string(start.members)},
                    {"slowness_percent", std::to_string(slownessPercent)},
                    {"checkpoint", start.checkpoint},
                    {"token", std::to_string(m_token.value)},
                    {"clock_uncertainty_ms", std::to_string(clockUncertainty.count())},
                    {"outcome", started ? "started" : answer.failure}});
    m_ports.metrics->countStart(outcome);
    m_scheduler.startAnswered(start.task, start.run, outcome, now());
    if (answer.status == CallStatus::Fenced) {
        m_ports.depose("a worker has seen a higher fencing token");
    }
    wake();
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
void Decider<Store, Worker>::updateClock(Session &session, const typename Session::Exchange &exchange,
                                         protocol::batch::WorkerTime clockWhenSent,
                                         const protocol::batch::OrderAnswer &answer)
{
    const bool current = session.isCurrent(exchange);
    // Only a restart sets a worker's clock back. The next poll shows the new incarnation.
    if (current && answer.clock && *answer.clock >= clockWhenSent) {
        session.clock.update(*answer.clock, Clock::now());
        if (answer.connection) {
            session.orderConnections.insert(*answer.connection);
        }
        return;
    }
    const bool sentToIncarnation
        = !answer.clock && (!answer.connection || session.orderConnections.contains(*answer.connection));
    if (!current || !sentToIncarnation) {
        assumeLongestLease(session); // A later incarnation may have received the order.
    }
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
    const auto exchange = session->beginExchange();
    const auto answer = co_await session->calls->stop(stop, m_token, m_times.orderTimeout);
    if (m_stopped) {
        co_return;
    }
    const bool current = session->isCurrent(exchange);
    transport::log(transport::LogLevel::Info, "stop-ordered",
                   {{"task", toString(stop.task)},
                    {"run", std::to_string(stop.run)},
                    {"worker", stop.worker.value},
                    {"reason", stopReasonName(stop.reason)},
                    {"for_job", stop.beneficiary.value},
                    {"token", std::to_string(m_token.value)},
                    {"outcome", answer.failure.empty() ? "answered" : answer.failure},
                    {"discarded", current ? "false" : "true"}});
    m_ports.metrics->countStop(answer.status == protocol::batch::CallStatus::Answered);
    if (current && answer.status == protocol::batch::CallStatus::Answered) {
        m_scheduler.stopAnswered(stop.task, stop.run, now());
        session->wake.cancel();
        wake();
        co_return;
    }
    m_scheduler.stopUnanswered(stop.task, stop.run, now());
    if (answer.status == protocol::batch::CallStatus::Fenced) {
        m_ports.depose("a worker has seen a higher fencing token");
    } else if (current && answer.status == protocol::batch::CallStatus::OtherIncarnation) {
        handleReplacedWorker(*session);
    }
    wake();
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
boost::asio::awaitable<void> Decider<Store, Worker>::order(state::batch::PaceOrder pace)
{
    const auto self = shared_from_this();
    const auto found = m_sessions.find(pace.worker);
    if (m_stopped || found == m_sessions.end()) {
        m_scheduler.paceAnswered(pace, false, now());
        co_return;
    }
    const auto session = found->second;
    const auto exchange = session->beginExchange();
    const auto answer = co_await session->calls->pace(pace, m_token, m_times.orderTimeout);
    if (m_stopped) {
        co_return;
    }
    const bool answered = answer.status == protocol::batch::CallStatus::Answered && session->isCurrent(exchange);
    transport::log(transport::LogLevel::Info, "run-paced",
                   {{"task", toString(pace.task)},
                    {"run", std::to_string(pace.run)},
                    {"worker", pace.worker.value},
                    {"percent", std::to_string(pace.percent)},
                    {"outcome", answer.failure.empty() ? "answered" : answer.failure}});
    m_scheduler.paceAnswered(pace, answered, now());
    if (answer.status == protocol::batch::CallStatus::Fenced) {
        m_ports.depose("a worker has seen a higher fencing token");
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
void Decider<Store, Worker>::updateIncarnation(Session &session, state::batch::Incarnation incarnation,
                                               const char *source)
{
    const state::batch::Incarnation before = session.incarnation;
    const std::uint64_t confirmedEnd = session.confirmedEnd;
    if (session.updateIncarnation(incarnation)) {
        transport::log(transport::LogLevel::Info, "worker-restarted",
                       {{"worker", session.id.value},
                        {"incarnation", std::to_string(incarnation.value)},
                        {"before", std::to_string(before.value)},
                        {"confirmed_end", std::to_string(confirmedEnd)},
                        {"source", source}});
        assumeLongestLease(session);
    }
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
void Decider<Store, Worker>::assumeLongestLease(const Session &session)
{
    m_scheduler.leaseExtended(session.id, latestLeaseExpiry(m_times.leaseMax));
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
boost::asio::awaitable<void> Decider<Store, Worker>::pollLoop(std::shared_ptr<Session> session)
{
    const auto self = shared_from_this();
    while (!m_stopped && !session->closed) {
        if (m_scheduler.workers().find(session->id) == nullptr) {
            break;
        }
        if (session->processedEnd > session->confirmedEnd) {
            session->wake.expires_after(m_times.recordTimeout);
            co_await session->wake.async_wait(detail::waitTuple);
        } else if (session->listedEnd == 0 && !m_scheduler.needsPoll(session->id)) {
            session->wake.expires_after(detail::idlePollInterval);
            co_await session->wake.async_wait(detail::waitTuple);
            continue;
        }
        if (!mayWaitForEnds(*session)) {
            co_await waitForPollSlot(session);
        }
        if (m_stopped) {
            co_return;
        }
        if (!session->closed && !co_await endsWithoutException(poll(*session)) && !session->closed) {
            m_scheduler.workerUnreachable(session->id);
            wake();
            ++session->failures;
            co_await protocol::waitFor(pollRetryDelay(*session));
        }
        // The poll holds its place during the pause after it, which also limits the rate of refused connections.
        if (std::exchange(session->mayPoll, false)) {
            (session->pollsAsSilent ? m_silentPolls : m_polls).answered(session->pollTicket);
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
    // A worker without runs may wait for the confirmation of its last ends.
    const bool urgent = session->processedEnd > 0 || (worker != nullptr && worker->runs > 0);
    session->pollsAsSilent = worker != nullptr && worker->unreachable;
    auto &polls = session->pollsAsSilent ? m_silentPolls : m_polls;
    const auto queuedAt = Clock::now();
    polls.push(urgent ? SendClass::Urgent : SendClass::Ordinary, session->id, detail::pollBytes, session);
    grantPolls();
    while (!session->mayPoll && !m_stopped) {
        session->wake.expires_after(detail::idlePollInterval);
        co_await session->wake.async_wait(detail::waitTuple);
    }
    if (m_stopped) {
        co_return;
    }
    const auto waited = std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - queuedAt);
    m_ports.metrics->recordPollWait(waited);
    m_load.addPollWait(waited);
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
bool Decider<Store, Worker>::mayWaitForEnds(const Session &session) const
{
    const state::batch::Worker *worker = m_scheduler.workers().find(session.id);
    return session.hasAnswered() && worker != nullptr && (worker->runs > 0 || worker->strayRuns > 0) && worker->fenced
        && !worker->unreachable && hasRecentClock(session);
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
std::chrono::milliseconds Decider<Store, Worker>::pollRetryDelay(const Session &session) const
{
    auto delay = m_times.pollRetryDelay;
    for (std::uint32_t failure = 1; failure < session.failures && delay < m_times.pollRetryDelayMax; ++failure) {
        delay *= 2;
    }
    return std::min(delay, std::max(m_times.pollRetryDelay, m_times.pollRetryDelayMax));
}

template<protocol::batch::RowStore Store, protocol::batch::WorkerCalls Worker>
void Decider<Store, Worker>::grantPolls()
{
    if (m_stopped) {
        return;
    }
    std::optional<state::Duration> wait;
    for (auto *polls : {&m_polls, &m_silentPolls}) {
        while (auto granted = polls->pop(now())) {
            granted->order->mayPoll = true;
            granted->order->pollTicket = granted->ticket;
            granted->order->wake.cancel();
        }
        if (const auto next = polls->nextSendIn(now())) {
            wait = wait ? std::min(*wait, *next) : *next;
        }
    }
    if (!wait) {
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
    request.connection = session.connection;
    request.confirmedEnd = session.confirmableEnd();
    session.confirming = !session.connection && request.confirmedEnd > 0;
    const std::uint64_t startsAnswered = session.startsSent - session.startsInFlight;
    const state::batch::Worker *worker = m_scheduler.workers().find(session.id);
    const bool runs = worker != nullptr && worker->runs > 0;
    const bool leaseEligible = worker != nullptr && worker->fenced && !worker->unreachable && session.clock.known();
    if (mayWaitForEnds(session) && session.processedEnd == session.confirmedEnd && !session.confirming) {
        request.wait = m_times.pollWait;
    }
    // The lease of an unreachable worker is not extended: otherwise its runs would never count as ended.
    if (runs && leaseEligible && hasAuthority()) {
        request.leaseUntil = leaseEnd(session);
        m_scheduler.leaseExtended(session.id, latestLeaseExpiry(m_times.lease));
    }
    const state::Instant askedAt = now();
    const auto exchange = session.beginExchange();
    auto answer = co_await session.calls->poll(request, request.wait + m_times.pollResponseMargin);
    if (m_stopped) {
        co_return;
    }
    session.connection.reset();
    session.confirming = false;
    if (request.connection && answer.status == protocol::batch::CallStatus::NotSent) {
        co_return; // The worker has closed the connection. The next poll goes over a new one.
    }
    m_ports.metrics->countPoll(answer.status == protocol::batch::CallStatus::Answered);
    if (answer.status == protocol::batch::CallStatus::Fenced) {
        m_ports.depose("a worker has seen a higher fencing token");
        co_return;
    }
    // An answered poll names its incarnation; everything else concerns the one that the poll was sent to.
    const bool names = answer.status == protocol::batch::CallStatus::Answered;
    if (session.closed || (!names && !session.isCurrent(exchange))) {
        transport::log(transport::LogLevel::Info, "poll-discarded",
                       {{"worker", session.id.value},
                        {"address", session.address},
                        {"outcome", names ? "answered" : answer.failure}});
        co_return;
    }
    if (answer.status == protocol::batch::CallStatus::OtherIncarnation) {
        handleReplacedWorker(session);
        wake();
        co_await protocol::waitFor(m_times.pollRetryDelay);
        co_return;
    }
    if (answer.status != protocol::batch::CallStatus::Answered) {
        if (request.leaseUntil && !request.connection) {
            assumeLongestLease(session); // A later incarnation may have received the lease.
        }
        if (++session.failures == 1) {
            transport::log(transport::LogLevel::Warn, "worker-silent",
                           {{"worker", session.id.value}, {"error", answer.failure}});
        }
        m_scheduler.workerUnreachable(session.id);
        wake();
        co_await protocol::waitFor(pollRetryDelay(session));
        co_return;
    }
    if (session.failures > 0) {
        transport::log(transport::LogLevel::Info, "worker-answers", {{"worker", session.id.value}});
    }
    session.failures = 0;
    if (answer.report.incarnation < session.incarnation) {
        co_await protocol::waitFor(m_times.pollRetryDelay);
        co_return;
    }
    updateIncarnation(session, answer.report.incarnation, request.connection ? "poll-on-kept-connection" : "poll");
    session.clock.update(answer.clock, Clock::now());
    session.connection = answer.connection;
    session.closesConnections = !answer.connection;
    session.startsBeforeListing = startsAnswered;
    session.listedEnd = 0;
    answer.report.askedAt = askedAt;
    for (const auto &end : answer.report.ended) {
        session.listedEnd = std::max(session.listedEnd, end.number);
        session.processedEnd = std::max(session.processedEnd, end.number);
        if (end.number > session.confirmedEnd) {
            const bool done = end.kind == state::batch::EndKind::Done;
            const std::int64_t lost = done ? 0 : std::llround(m_scheduler.lostCoreSeconds(end.task, end.run, now()));
            transport::log(transport::LogLevel::Info, "run-ended",
                           {{"task", toString(end.task)},
                            {"run", std::to_string(end.run)},
                            {"worker", session.id.value},
                            {"how", endKindName(end.kind)},
                            {"lost_core_s", std::to_string(lost)}});
            m_ports.metrics->countEnd(end.kind);
        }
    }
    // From its first answer on, the worker rejects earlier deciders, so that their leases end no later than a new one.
    // After a restart, an order of this decider may still have extended the lease.
    worker = m_scheduler.workers().find(session.id); // It may have been removed while the poll was open.
    if (worker != nullptr && worker->answeredAt == state::Instant{}) {
        m_scheduler.predecessorsFenced(session.id, latestLeaseExpiry(m_times.lease));
    }
    const auto begunAt = Clock::now();
    m_scheduler.workerAnswered(session.id, answer.report, now());
    m_load.addReport(std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - begunAt));
    wake();
    if (!answer.report.ended.empty()) {
        // Runs of a gang end together, so that one further poll reports several of them.
        co_await protocol::waitFor(m_times.pollPause);
    }
}

} // namespace heatherquay::coordination::batch
