#include "batch/pool_simulation.hpp"
#include "emulator/memory_store.hpp"
#include "heatherquay/coordination/batch/acceptance.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace heatherquay;
using namespace heatherquay::coordination::batch;
using namespace std::chrono_literals;

namespace
{

/// A store that reports conflicts without the rows in conflict, although there are none.
struct ContradictoryStore : test::MemoryStore
{
    boost::asio::awaitable<protocol::batch::RowCommit> transact(protocol::batch::RowTransaction transaction,
                                                                std::chrono::milliseconds timeout)
    {
        if (contradictions > 0) {
            --contradictions;
            protocol::batch::RowCommit commit;
            commit.status = protocol::CommitStatus::Conflict;
            co_return commit;
        }
        co_return co_await MemoryStore::transact(std::move(transaction), timeout);
    }

    unsigned contradictions{};
};

bool anyOwner(const JobOwner & /*owner*/)
{
    return true;
}

AcceptOutcome submit(ContradictoryStore &store, const state::batch::JobSpec &job)
{
    boost::asio::io_context context;
    Acceptance<ContradictoryStore> acceptance(store);
    auto outcome = boost::asio::co_spawn(
        context, acceptance.submit(job, anyOwner, std::chrono::steady_clock::now() + 300ms), boost::asio::use_future);
    context.run();
    return outcome.get();
}

/// Result of calling an entry process once, with an own process for each call.
template<typename Call>
auto callEntry(test::MemoryStore &store, std::uint32_t parts, Call call)
{
    boost::asio::io_context context;
    Acceptance<test::MemoryStore> acceptance(store, {20ms, 20ms, 1ms}, {parts, {}});
    auto outcome = boost::asio::co_spawn(context, call(acceptance, std::chrono::steady_clock::now() + 30ms),
                                         boost::asio::use_future);
    context.run();
    return outcome.get();
}

} // namespace

BOOST_AUTO_TEST_SUITE(batch_acceptance)

// Guards against a job that runs after its cancellation was answered, because the store, or a suspended process,
// carries out an earlier submission late.
BOOST_DATA_TEST_CASE(a_submission_that_the_store_carries_out_late_does_not_follow_its_cancellation,
                     boost::unit_test::data::xrange(1U, intakePartsMax + 1), parts)
{
    const auto job = test::makeJob("00000000000000aa", 1, {1'000, 1'000, 1}, 100ms);
    const auto submitJob = [&job](auto &acceptance, auto deadline) {
        return acceptance.submit(job, anyOwner, deadline);
    };
    const auto cancelJob = [&job](auto &acceptance, auto deadline) {
        return acceptance.cancel(job.id, anyOwner, deadline);
    };
    test::MemoryStore store;
    store.deferTransactions = 1'000;
    BOOST_TEST((callEntry(store, parts, submitJob) == AcceptOutcome::Unknown));
    store.deferTransactions = 0;
    BOOST_TEST((callEntry(store, parts, cancelJob) == CancelOutcome::NoSuchJob));
    store.applyDeferred();
    for (const std::string &part : intakePartNames()) {
        BOOST_TEST(store.value(jobRow(job.id, part)).empty(), part);
    }
    BOOST_TEST((callEntry(store, parts, submitJob) == AcceptOutcome::Withdrawn));
    BOOST_TEST((callEntry(store, parts, cancelJob) == CancelOutcome::NoSuchJob));
}

// Guards against a submission that fails for good beside a row that holds neither a job nor a cancellation.
BOOST_AUTO_TEST_CASE(an_unreadable_intake_row_does_not_prevent_a_submission)
{
    const auto job = test::makeJob("00000000000000aa", 1, {1'000, 1'000, 1}, 100ms);
    test::MemoryStore store;
    store.put(intakeRow(job.id), "{");
    const auto outcome = callEntry(store, 1, [&job](auto &acceptance, auto deadline) {
        return acceptance.submit(job, anyOwner, deadline);
    });
    BOOST_TEST((outcome == AcceptOutcome::Accepted));
    BOOST_TEST(decodeIntake(store.value(intakeRow(job.id))).queue == job.queue);
}

// Guards against a job that is answered as accepted and stored nowhere.
BOOST_AUTO_TEST_CASE(a_conflict_without_the_stored_job_is_not_taken_for_its_acceptance)
{
    const auto job = test::makeJob("00000000000000aa", 1, {1'000, 1'000, 1}, 100ms);
    ContradictoryStore store;
    store.contradictions = 1;
    BOOST_TEST((submit(store, job) == AcceptOutcome::Accepted));
    BOOST_TEST(!store.value(jobRow(job.id)).empty());
    ContradictoryStore neverConsistent;
    neverConsistent.contradictions = 1'000;
    BOOST_TEST((submit(neverConsistent, job) == AcceptOutcome::Unknown));
    BOOST_TEST(neverConsistent.value(jobRow(job.id)).empty());
}

BOOST_AUTO_TEST_SUITE_END()
