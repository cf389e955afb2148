#include "coordination/fake_table.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

namespace heatherquay::testing
{

namespace asio = boost::asio;
using protocol::CommitResult;
using protocol::CommitStatus;
using protocol::ReadResult;

namespace
{

constexpr std::chrono::milliseconds slowResponseDelay{50};
constexpr std::chrono::milliseconds lostResponseDelay{20};

void applyLater(const asio::any_io_executor &executor, std::shared_ptr<TableRows> rows,
                protocol::Transaction transaction, std::chrono::milliseconds delay)
{
    auto timer = std::make_shared<asio::steady_timer>(executor, delay);
    timer->async_wait([timer, rows, transaction](const boost::system::error_code &) {
        rows->apply(transaction);
    });
}

} // namespace

Fault FakeTable::nextWriteFault(const protocol::Transaction &transaction)
{
    if (m_faults->down) {
        return Fault::Refused;
    }
    if (m_faults->dropsRequests) {
        return Fault::RequestLost;
    }
    bool matches = m_faults->keyPrefix.empty();
    for (const protocol::Put &put : transaction.puts) {
        matches = matches || put.key.starts_with(m_faults->keyPrefix);
    }
    if (m_faults->writes.empty() || !matches) {
        return Fault::None;
    }
    const Fault fault = m_faults->writes.front();
    m_faults->writes.pop_front();
    ++m_faults->faultsInjected;
    return fault;
}

Fault FakeTable::nextReadFault()
{
    if (m_faults->down || m_faults->dropsRequests) {
        return Fault::Refused;
    }
    if (m_faults->reads.empty()) {
        return Fault::None;
    }
    const Fault fault = m_faults->reads.front();
    m_faults->reads.pop_front();
    return fault;
}

asio::awaitable<CommitResult> FakeTable::transact(protocol::Transaction transaction)
{
    const auto rows = m_rows;
    const auto faults = m_faults;
    const Fault fault = nextWriteFault(transaction);
    CommitResult result;
    result.failure = name(fault);
    switch (fault) {
    case Fault::Refused:
        co_await protocol::waitFor(std::chrono::milliseconds(1));
        co_return result;
    case Fault::RequestLost:
    case Fault::ResponseLost:
        if (fault == Fault::ResponseLost) {
            rows->apply(transaction);
        }
        co_await protocol::waitFor(lostResponseDelay);
        result.status = CommitStatus::Unknown;
        co_return result;
    case Fault::DelayedEffect: {
        const auto executor = co_await asio::this_coro::executor;
        applyLater(executor, rows, std::move(transaction), faults->lateDelay);
        result.status = CommitStatus::Unknown;
        co_return result;
    }
    case Fault::Slow:
        co_await protocol::waitFor(slowResponseDelay);
        [[fallthrough]];
    case Fault::None:
        break;
    }
    co_await protocol::waitFor(std::chrono::microseconds(200));
    result = rows->apply(transaction);
    co_await protocol::waitFor(std::chrono::microseconds(200));
    co_return result;
}

asio::awaitable<bool> FakeTable::applyReadFault()
{
    const Fault fault = nextReadFault();
    if (fault == Fault::Slow) {
        co_await protocol::waitFor(slowResponseDelay);
    }
    co_await protocol::waitFor(std::chrono::microseconds(200));
    co_return fault != Fault::None &&fault != Fault::Slow;
}

asio::awaitable<ReadResult> FakeTable::read(std::vector<std::string> keys)
{
    const auto rows = m_rows;
    ReadResult result;
    result.ok = !co_await applyReadFault();
    if (!result.ok) {
        co_return result;
    }
    rows->reads += std::max<std::size_t>(1, keys.size());
    for (const std::string &key : keys) {
        const auto row = rows->rows.find(key);
        if (row != rows->rows.end()) {
            result.rows.push_back(row->second);
        }
    }
    co_return result;
}

asio::awaitable<ReadResult> FakeTable::scan(std::string from, std::string to, std::uint32_t limit)
{
    const auto rows = m_rows;
    ReadResult result;
    result.ok = !co_await applyReadFault();
    if (!result.ok) {
        co_return result;
    }
    for (auto row = rows->rows.lower_bound(from); row != rows->rows.lower_bound(to); ++row) {
        if (result.rows.size() < limit) {
            result.rows.push_back(row->second);
        }
    }
    rows->reads += std::max<std::size_t>(1, result.rows.size());
    co_return result;
}

asio::awaitable<bool> FakeObjects::put(std::string key, std::string body)
{
    if (!m_rows->objectsDown) {
        m_rows->objects[key] = std::move(body);
    }
    co_return !m_rows->objectsDown;
}

asio::awaitable<protocol::ObjectResult> FakeObjects::get(std::string key)
{
    protocol::ObjectResult result;
    result.ok = !m_rows->objectsDown;
    const auto found = m_rows->objects.find(key);
    if (result.ok && found != m_rows->objects.end()) {
        result.body = found->second;
    }
    co_return result;
}

asio::awaitable<bool> FakeObjects::remove(std::string key)
{
    m_rows->objects.erase(key);
    co_return true;
}

} // namespace heatherquay::testing
