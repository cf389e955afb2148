#include "heatherquay/coordination/idempotency_impl.hpp"

#include "request_fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace heatherquay;
using namespace heatherquay::coordination;
using namespace heatherquay::test;
using boost::asio::awaitable;
using protocol::CommitStatus;
using protocol::Outcome;

namespace
{

enum class TableFault
{
    None,
    NotSent, ///< The operation certainly has no effect.
    RequestLost, ///< No response and no effect.
    ResponseLost, ///< No response, but the operation takes effect.
    DelayedEffect ///< No response, and the operation takes effect some time later.
};

/// The rows of the table service, shared by the FakeTable of each entry.
struct SharedRows
{
    std::mutex mutex;
    std::map<std::string, protocol::Row> rows;
    std::uint64_t version{};

    protocol::CommitResult apply(const protocol::Transaction &transaction)
    {
        const std::lock_guard lock(mutex);
        for (const protocol::Condition &condition : transaction.conditions) {
            const auto found = rows.find(condition.key);
            if ((found == rows.end() ? 0 : found->second.version) != condition.version) {
                return {CommitStatus::Conflict, 0, {}, "conflict"};
            }
        }
        ++version;
        for (const protocol::Put &put : transaction.puts) {
            rows[put.key] = {put.key, put.value, version};
        }
        for (const std::string &key : transaction.deletes) {
            rows.erase(key);
        }
        return {CommitStatus::Committed, version, {}, ""};
    }
};

/// Table client of one entry. Operation number i fails with faults[i]; further operations succeed.
struct FakeTable
{
    boost::asio::any_io_executor executor;
    std::shared_ptr<SharedRows> shared;
    std::vector<TableFault> faults;
    std::atomic<std::size_t> operations{0};
    std::atomic<bool> unavailable{false};

    FakeTable(boost::asio::any_io_executor ex, std::shared_ptr<SharedRows> rows)
        : executor(std::move(ex))
        , shared(std::move(rows))
    {
    }

    TableFault nextFault()
    {
        const std::size_t index = operations++;
        return unavailable ? TableFault::NotSent : index < faults.size() ? faults[index] : TableFault::None;
    }
    awaitable<protocol::CommitResult> transact(protocol::Transaction transaction)
    {
        switch (nextFault()) {
        case TableFault::None:
            co_return shared->apply(transaction);
        case TableFault::NotSent:
            co_return protocol::CommitResult{};
        case TableFault::RequestLost:
            break;
        case TableFault::ResponseLost:
            shared->apply(transaction);
            break;
        case TableFault::DelayedEffect:
            boost::asio::co_spawn(executor, applyLater(transaction), boost::asio::detached);
            break;
        }
        co_return protocol::CommitResult{CommitStatus::Unknown, 0, {}, "lost"};
    }
    awaitable<void> applyLater(protocol::Transaction transaction)
    {
        boost::asio::steady_timer timer(executor, 4ms);
        co_await timer.async_wait(boost::asio::use_awaitable);
        shared->apply(transaction);
    }
    awaitable<protocol::ReadResult> read(std::vector<std::string> keys)
    {
        const std::string end = keys.front() + '\0';
        co_return co_await scan(keys.front(), end, 1);
    }
    awaitable<protocol::ReadResult> scan(std::string from, std::string to, std::uint32_t limit)
    {
        protocol::ReadResult result;
        result.ok = nextFault() == TableFault::None;
        const std::lock_guard lock(shared->mutex);
        for (auto row = shared->rows.lower_bound(from);
             result.ok && row != shared->rows.end() && row->first < to && result.rows.size() < limit; ++row) {
            result.rows.push_back(row->second);
        }
        co_return result;
    }
};

struct FakeStore
{
    std::map<std::string, std::string> objects;
    std::atomic<int> failuresLeft{0};

    awaitable<bool> put(std::string key, std::string bytes)
    {
        if (failuresLeft > 0) {
            --failuresLeft;
            co_return false;
        }
        objects[key] = std::move(bytes);
        co_return true;
    }
    awaitable<std::optional<std::string>> get(std::string key)
    {
        const auto found = objects.find(key);
        co_return found == objects.end() ? std::nullopt : std::optional(found->second);
    }
};

enum class EndpointBehaviour
{
    Responds,
    RespondsLarge,
    Unreachable, ///< No byte of the request was sent.
    LosesResponse, ///< The request runs, but no response arrives.
    Throws
};

std::ostream &operator<<(std::ostream &out, TableFault fault)
{
    return out << "table fault " << static_cast<int>(fault);
}

std::ostream &operator<<(std::ostream &out, EndpointBehaviour behaviour)
{
    return out << "endpoint " << static_cast<int>(behaviour);
}

using TestIdempotency = Idempotency<FakeTable, FakeStore>;

struct IdempotencyFixture
{
    Runtime runtime{1};
    std::shared_ptr<SharedRows> rows = std::make_shared<SharedRows>();
    std::shared_ptr<FakeStore> store = std::make_shared<FakeStore>();
    std::atomic<int> runs{0}; ///< Number of requests that the endpoint ran.
    std::atomic<bool> firstEntryIsMember{true};
    std::shared_ptr<FakeTable> tables[2];
    std::shared_ptr<TestIdempotency> entries[2];

    IdempotencyFixture()
    {
        for (int i = 0; i < 2; ++i) {
            IdempotencyOptions options;
            options.self.value = i == 0 ? "e1" : "e2";
            options.backoffInitial = 1ms;
            options.backoffMax = 8ms;
            tables[i] = std::make_shared<FakeTable>(runtime.io.get_executor(), rows);
            entries[i] = std::make_shared<TestIdempotency>(runtime.io.get_executor(), tables[i], store, options,
                                                           [this](const state::EntryId &id, std::uint64_t) {
                                                               return id.value != "e1" || firstEntryIsMember;
                                                           });
        }
    }
    static std::string responseBody(EndpointBehaviour endpoint)
    {
        return endpoint == EndpointBehaviour::RespondsLarge ? std::string(200'000, 'x') + '\0' : "answer";
    }
    awaitable<ForwardResult> runEndpoint(EndpointBehaviour endpoint)
    {
        ForwardResult result;
        if (endpoint == EndpointBehaviour::Unreachable) {
            co_return result;
        }
        ++runs;
        if (endpoint == EndpointBehaviour::Throws) {
            throw std::runtime_error("broken");
        }
        result.outcome = endpoint == EndpointBehaviour::LosesResponse ? Outcome::Unknown : Outcome::Ran;
        if (result.outcome == Outcome::Ran) {
            result.answer.emplace();
            result.answer->body = responseBody(endpoint);
        }
        co_return result;
    }
    static KeyedRequest request(std::chrono::milliseconds timeout = 2s, std::string fingerprint = "f")
    {
        return {{"team-a"}, "key", std::move(fingerprint), "r", std::chrono::steady_clock::now() + timeout};
    }
    ForwardResult send(int entry, EndpointBehaviour endpoint, KeyedRequest keyed = request())
    {
        return runtime.run(entries[entry]->run(std::move(keyed), [this, endpoint] {
            return runEndpoint(endpoint);
        }));
    }
    void waitForPendingWrites() const
    {
        for (int i = 0; i < 2'000 && entries[0]->pendingWrites() + entries[1]->pendingWrites() > 0; ++i) {
            std::this_thread::sleep_for(1ms);
        }
        std::this_thread::sleep_for(10ms);
    }
};

const auto faultKinds = boost::unit_test::data::make(
    {TableFault::NotSent, TableFault::RequestLost, TableFault::ResponseLost, TableFault::DelayedEffect});
const auto secondFaults = boost::unit_test::data::make(
    {TableFault::None, TableFault::NotSent, TableFault::RequestLost, TableFault::ResponseLost});
const auto endpointKinds = boost::unit_test::data::make({EndpointBehaviour::Responds, EndpointBehaviour::RespondsLarge,
                                                         EndpointBehaviour::Unreachable,
                                                         EndpointBehaviour::LosesResponse, EndpointBehaviour::Throws});

} // namespace

// Guards against a second run, a wrong "not-run" and a lost response when any one or two successive table operations
// fail.
BOOST_DATA_TEST_CASE_F(IdempotencyFixture, keyed_request_runs_at_most_once_under_each_fault,
                       boost::unit_test::data::xrange(5) * faultKinds * secondFaults * endpointKinds, step, fault, next,
                       endpoint)
{
    tables[0]->faults.assign(static_cast<std::size_t>(step) + 2, TableFault::None);
    tables[0]->faults[static_cast<std::size_t>(step)] = fault;
    tables[0]->faults[static_cast<std::size_t>(step) + 1] = next;
    const ForwardResult first = send(0, endpoint);
    BOOST_REQUIRE_EQUAL(runs.load(), first.outcome == Outcome::NotRun ? 0 : 1);
    waitForPendingWrites();
    const ForwardResult second = send(1, EndpointBehaviour::Responds, request(500ms));
    BOOST_REQUIRE_EQUAL(runs.load(), 1);
    if (first.outcome == Outcome::Ran) {
        BOOST_REQUIRE((second.outcome == Outcome::Ran));
        BOOST_TEST((second.answer->body == responseBody(endpoint)));
    } else {
        BOOST_TEST((second.outcome == (first.outcome == Outcome::NotRun ? Outcome::Ran : Outcome::Unknown)));
    }
    BOOST_TEST(send(0, EndpointBehaviour::Responds, request(500ms, "other")).problem.status == 422u);
    BOOST_TEST(runs.load() == 1);
}

// Guards against a second run of a request whose claim is held by a failed or slow entry.
BOOST_DATA_TEST_CASE_F(IdempotencyFixture, request_claimed_by_a_failed_or_slow_entry_does_not_run_again,
                       boost::unit_test::data::make({false, true}), dead)
{
    const auto neverResponds = [this]() -> awaitable<ForwardResult> {
        ++runs;
        boost::asio::steady_timer timer(runtime.io, 1h);
        co_await timer.async_wait(boost::asio::use_awaitable);
        co_return ForwardResult{};
    };
    boost::asio::co_spawn(runtime.io, entries[0]->run(request(), neverResponds), boost::asio::detached);
    while (runs == 0) {
        std::this_thread::sleep_for(1ms);
    }
    firstEntryIsMember = !dead;
    const auto startedAt = std::chrono::steady_clock::now();
    const ForwardResult repeat = send(1, EndpointBehaviour::Responds, request(200ms));
    const auto waited = std::chrono::steady_clock::now() - startedAt;
    BOOST_TEST((repeat.outcome == Outcome::Unknown));
    BOOST_TEST(repeat.problem.status == 409u);
    BOOST_TEST(runs.load() == 1);
    BOOST_TEST((waited > 150ms) == !dead);
}

// Guards against keyed requests that run while no claim can be written to the table.
BOOST_FIXTURE_TEST_CASE(table_outage_rejects_keyed_requests_as_not_run, IdempotencyFixture)
{
    tables[0]->unavailable = true;
    const ForwardResult refused = send(0, EndpointBehaviour::Responds);
    BOOST_TEST((refused.outcome == Outcome::NotRun));
    BOOST_TEST(refused.problem.status == 503u);
    BOOST_TEST(refused.problem.retryAfter.has_value());
    BOOST_TEST(runs.load() == 0);
}

// Guards against two entries that run the same request because they claim its key at the same time.
BOOST_FIXTURE_TEST_CASE(concurrent_duplicates_on_two_entries_run_once, IdempotencyFixture)
{
    std::vector<std::future<ForwardResult>> results;
    for (int i = 0; i < 16; ++i) {
        results.push_back(boost::asio::co_spawn(runtime.io,
                                                entries[i % 2]->run(request(),
                                                                    [this] {
                                                                        return runEndpoint(EndpointBehaviour::Responds);
                                                                    }),
                                                boost::asio::use_future));
    }
    for (auto &result : results) {
        const ForwardResult got = result.get();
        BOOST_TEST((got.outcome == Outcome::Ran));
    }
    BOOST_TEST(runs.load() == 1);
}

// Guards against a large response that is lost when the object store fails at first.
BOOST_FIXTURE_TEST_CASE(large_response_is_stored_after_the_object_store_recovers, IdempotencyFixture)
{
    store->failuresLeft = 5;
    BOOST_TEST((send(0, EndpointBehaviour::RespondsLarge).outcome == Outcome::Ran));
    waitForPendingWrites();
    const ForwardResult second = send(1, EndpointBehaviour::Responds);
    BOOST_REQUIRE(second.answer.has_value());
    BOOST_TEST((second.answer->body == responseBody(EndpointBehaviour::RespondsLarge)));
}

// Guards against a sweep that deletes rows before the end of their retention or keeps older ones.
BOOST_FIXTURE_TEST_CASE(sweep_deletes_only_rows_older_than_the_retention, IdempotencyFixture)
{
    send(0, EndpointBehaviour::Responds);
    runtime.run(entries[0]->sweep(10));
    BOOST_TEST(rows->rows.size() == 1u);
    IdempotencyRow old = decodeRow(rows->rows.begin()->second.value);
    old.createdAt -= 25h;
    rows->apply({{}, {{"idem/old", encodeRow(old)}}, {}});
    runtime.run(entries[0]->sweep(10));
    BOOST_TEST(rows->rows.size() == 1u);
    BOOST_TEST(rows->rows.count("idem/old") == 0u);
}
