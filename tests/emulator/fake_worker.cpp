#include "emulator/fake_worker.hpp"

#include <algorithm>

namespace heatherquay::test
{

using namespace protocol::batch;
using state::batch::EndKind;

namespace detail
{

constexpr std::chrono::milliseconds callTime{1};
constexpr std::chrono::milliseconds waitStep{3};

} // namespace detail

bool FakeWorker::fenced(FencingToken token)
{
    if (token.value < m_token) {
        return true;
    }
    m_token = token.value;
    return false;
}

void FakeWorker::addEnd(const state::batch::TaskId &task, std::uint32_t run, EndKind kind)
{
    m_lastRun[task] = std::max(m_lastRun[task], run);
    m_ended.push_back({++m_lastEnd, task, run, kind, ""});
}

void FakeWorker::settle()
{
    const auto now = Clock::now();
    for (auto run = m_runs.begin(); run != m_runs.end();) {
        const bool lapsed = clock() > m_leaseUntil;
        if (lapsed || now >= run->second.endsAt) {
            addEnd(run->first, run->second.number, lapsed ? EndKind::Lapsed : EndKind::Done);
            run = m_runs.erase(run);
        } else {
            ++run;
        }
    }
}

void FakeWorker::restart()
{
    m_runs.clear();
    m_lastRun.clear();
    m_ended.clear();
    m_lastEnd = 0;
    m_token = 0;
    confirmedEnd = 0;
    m_leaseUntil = {};
    m_bornAt = Clock::now();
    ++spec.incarnation.value;
}

boost::asio::awaitable<LookAnswer> FakeWorker::look(LookRequest request, std::chrono::milliseconds timeout)
{
    LookAnswer answer;
    answer.failure = "no answer";
    if (silent) {
        co_await protocol::waitFor(timeout);
        co_return answer;
    }
    co_await protocol::waitFor(detail::callTime);
    if (fenced(request.token)) {
        answer.status = CallStatus::Fenced;
        co_return answer;
    }
    if (request.leaseUntil) {
        m_leaseUntil = std::max(m_leaseUntil, *request.leaseUntil);
    }
    confirmedEnd = std::max(confirmedEnd, request.confirmedEnd);
    std::erase_if(m_ended, [&](const state::batch::EndReport &end) {
        return end.number <= confirmedEnd;
    });
    const auto until = Clock::now() + request.wait;
    settle();
    while (m_ended.empty() && Clock::now() < until && !silent) {
        co_await protocol::waitFor(detail::waitStep);
        settle();
    }
    if (mute || silent) {
        co_await protocol::waitFor(timeout);
        co_return answer;
    }
    answer.status = CallStatus::Answered;
    answer.failure.clear();
    answer.clock = clock();
    answer.report.incarnation = spec.incarnation;
    answer.report.ended = m_ended;
    for (const auto &[task, run] : m_runs) {
        answer.report.running.push_back({task, run.number, "", 50});
    }
    co_return answer;
}

boost::asio::awaitable<OrderAnswer> FakeWorker::start(state::batch::StartOrder order, FencingToken token,
                                                      WorkerTime leaseUntil, std::chrono::milliseconds timeout)
{
    OrderAnswer answer;
    answer.failure = "no answer";
    if (silent) {
        co_await protocol::waitFor(timeout);
        co_return answer;
    }
    co_await protocol::waitFor(detail::callTime);
    settle();
    if (fenced(token)) {
        answer.status = CallStatus::Fenced;
        co_return answer;
    }
    m_leaseUntil = std::max(m_leaseUntil, leaseUntil);
    const auto running = m_runs.find(order.task);
    const auto last = m_lastRun.find(order.task);
    if (last != m_lastRun.end() && last->second >= order.run) {
        answer.status = CallStatus::Refused;
    } else {
        answer.status = CallStatus::Answered;
        if (running == m_runs.end()) {
            m_runs[order.task] = {order.run, Clock::now() + work};
            records.push_back({order.task, order.run, token.value, true});
        }
    }
    if (mute) {
        co_await protocol::waitFor(timeout);
        answer.status = CallStatus::Unknown;
    }
    answer.clock = clock();
    co_return answer;
}

boost::asio::awaitable<OrderAnswer> FakeWorker::stop(state::batch::StopOrder order, FencingToken token,
                                                     std::chrono::milliseconds timeout)
{
    OrderAnswer answer;
    answer.failure = "no answer";
    if (silent) {
        co_await protocol::waitFor(timeout);
        co_return answer;
    }
    co_await protocol::waitFor(detail::callTime);
    if (fenced(token)) {
        answer.status = CallStatus::Fenced;
        co_return answer;
    }
    records.push_back({order.task, order.run, token.value, false});
    m_lastRun[order.task] = std::max(m_lastRun[order.task], order.run);
    const auto running = m_runs.find(order.task);
    if (running != m_runs.end() && running->second.number == order.run) {
        m_runs.erase(running);
        addEnd(order.task, order.run, EndKind::Stopped);
    }
    answer.status = CallStatus::Answered;
    answer.failure.clear();
    co_return answer;
}

} // namespace heatherquay::test
