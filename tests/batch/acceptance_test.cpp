#include "batch/pool_simulation.hpp"
#include "emulator/memory_store.hpp"
#include "heatherquay/coordination/batch/acceptance.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
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

AcceptOutcome submit(ContradictoryStore &store, const state::batch::JobSpec &job)
{
    boost::asio::io_context context;
    Acceptance<ContradictoryStore> acceptance(store);
    const auto anyOwner = [](const JobOwner &) {
        return true;
    };
    auto outcome = boost::asio::co_spawn(
        context, acceptance.submit(job, anyOwner, std::chrono::steady_clock::now() + 300ms), boost::asio::use_future);
    context.run();
    return outcome.get();
}

} // namespace

BOOST_AUTO_TEST_SUITE(batch_acceptance)

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
