#include "batch/decider_fixture.hpp"
#include "heatherquay/coordination/batch/intake_parts.hpp"
#include "heatherquay/coordination/batch/store_health.hpp"

#include <boost/asio/use_future.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>

using namespace heatherquay;
using namespace heatherquay::coordination::batch;
using namespace heatherquay::test;
using namespace std::chrono_literals;

namespace
{

constexpr AcceptanceTimes shortTimes{.callTimeout = 60ms, .partTimeout = 20ms, .retryDelay = 5ms};

/// An entry process and a decider that share a store.
struct IntakeFixture : DeciderFixture
{
    Acceptance<MemoryStore> makeAcceptance(std::uint32_t parts)
    {
        return Acceptance<MemoryStore>(store, shortTimes, {parts, [this](const state::JobId &job) {
                                                               const auto entry = board.find(job);
                                                               return entry ? firstIntakePart(entry->intakeParts)
                                                                            : std::nullopt;
                                                           }});
    }

    template<typename Result>
    Result await(boost::asio::awaitable<Result> call)
    {
        auto result = boost::asio::co_spawn(context, std::move(call), boost::asio::use_future);
        while (result.wait_for(0s) != std::future_status::ready) {
            runFor(1ms);
        }
        return result.get();
    }

    AcceptOutcome accept(Acceptance<MemoryStore> &acceptance, const std::string &id)
    {
        state::batch::JobSpec job = makeJob(id, 2, {1'000, 1'000, 1}, 20ms);
        job.policy = {"service", 1, 3, 3.0, 1'000ms};
        return await(acceptance.submit(job, anyOwner, std::chrono::steady_clock::now() + 200ms));
    }

    void runUntilCompleted(const std::string &id)
    {
        for (int i = 0; i < 100 && !completed(id); ++i) {
            process->confirmedAt = std::chrono::steady_clock::now(); // Heartbeats do this outside of the test.
            runFor(20ms);
        }
    }

    std::size_t rowCount(const std::string &id)
    {
        std::size_t count = 0;
        for (const std::string &part : intakePartNames()) {
            count += store.value(jobRow({id}, part)).empty() ? 0 : 1;
        }
        return count;
    }

    static bool anyOwner(const JobOwner &)
    {
        return true;
    }

    JobBoard board; ///< Of the entry process.
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(batch_intake_parts, IntakeFixture)

// Guards against jobs that an outage of one part hits more often than those of the others.
BOOST_AUTO_TEST_CASE(jobs_are_spread_evenly_over_the_parts)
{
    std::map<std::string, int> jobs;
    for (int i = 0; i < 1'000; ++i) {
        ++jobs[orderIntakeParts({std::to_string(1'000 + i)}, intakePartsMax).front()];
    }
    BOOST_TEST(jobs.size() == intakePartsMax);
    for (const auto &[part, count] : jobs) {
        BOOST_TEST(count > 150, part);
        BOOST_TEST(intakePartIndex(part).has_value());
    }
    BOOST_TEST(orderIntakeParts({"a"}, 1) == std::vector<std::string>{"intake"});
}

// Guards against submissions that all fail because some parts of the store are silent.
BOOST_DATA_TEST_CASE(jobs_are_accepted_while_one_part_answers, boost::unit_test::data::xrange(intakePartsMax),
                     silentCount)
{
    start();
    runFor(100ms); // The decider reads all parts before it serves.
    const auto parts = orderIntakeParts({"a"}, intakePartsMax);
    for (std::uint32_t i = 0; i < silentCount; ++i) {
        store.silentParts.insert(parts[i]);
    }
    auto acceptance = makeAcceptance(intakePartsMax);
    BOOST_TEST((accept(acceptance, "a") == AcceptOutcome::Accepted));
    BOOST_TEST(rowCount("a") == 1U);
    runUntilCompleted("a");
    BOOST_TEST(completed("a"));
}

// Guards against submissions that fail in an outage of all parts that ends before the caller's deadline.
BOOST_AUTO_TEST_CASE(a_job_is_accepted_when_the_store_answers_again)
{
    const auto names = intakePartNames();
    store.silentParts.insert(names.begin(), names.end());
    auto acceptance = makeAcceptance(intakePartsMax);
    BOOST_TEST((accept(acceptance, "a") == AcceptOutcome::Unknown));
    BOOST_TEST(acceptance.silentPartCount() == names.size());
    boost::asio::steady_timer outage(context, 100ms);
    outage.async_wait([this](boost::system::error_code) {
        store.silentParts.clear();
    });
    BOOST_TEST((accept(acceptance, "b") == AcceptOutcome::Accepted));
    BOOST_TEST(acceptance.silentPartCount() == names.size() - 1);
}

// Guards against submissions that all wait for the part that left earlier ones unanswered.
BOOST_AUTO_TEST_CASE(a_part_known_to_be_silent_is_tried_last)
{
    store.silentParts.insert(orderIntakeParts({"a"}, intakePartsMax).front());
    auto acceptance = makeAcceptance(intakePartsMax);
    BOOST_TEST((accept(acceptance, "a") == AcceptOutcome::Accepted));
    const auto calls = store.transactions;
    BOOST_TEST((accept(acceptance, "a2") == AcceptOutcome::Accepted));
    BOOST_TEST((accept(acceptance, "a3") == AcceptOutcome::Accepted));
    BOOST_TEST((accept(acceptance, "a4") == AcceptOutcome::Accepted));
    BOOST_TEST(store.transactions == calls + 3);
}

// Guards against a part that counts as silent because a caller had little time left.
BOOST_AUTO_TEST_CASE(a_call_cut_short_by_the_deadline_says_nothing_about_the_part)
{
    store.silentParts.insert(orderIntakeParts({"a"}, intakePartsMax).front());
    auto acceptance = makeAcceptance(intakePartsMax);
    const auto job = makeJob("a", 1, {1'000, 1'000, 1}, 20ms);
    const auto outcome = await(acceptance.submit(job, anyOwner, std::chrono::steady_clock::now() + 10ms));
    BOOST_TEST((outcome == AcceptOutcome::Unknown));
    BOOST_TEST(acceptance.silentPartCount() == 0U);
}

// Guards against a job that runs twice because two parts hold it, before and after a failover.
BOOST_DATA_TEST_CASE(a_job_in_two_parts_runs_once,
                     boost::unit_test::data::make({false, true}) * boost::unit_test::data::xrange(intakePartsMax),
                     failover, firstPart)
{
    std::string id = "a";
    while (intakePartIndex(orderIntakeParts({id}, intakePartsMax).front()) != firstPart) {
        id += "a";
    }
    store.deferTransactions = 1; // The first part stores the job after the second one has.
    auto acceptance = makeAcceptance(intakePartsMax);
    start();
    BOOST_TEST((accept(acceptance, id) == AcceptOutcome::Accepted));
    runUntilCompleted(id);
    store.applyDeferred();
    BOOST_TEST(rowCount(id) == 2U);
    if (failover) {
        process->kill();
        store.remove(progressRow({id}, 0, 0)); // The process had begun to remove the ended job.
        successor = std::make_unique<DeciderProcess>(context, store, workers, 2);
    }
    runFor(200ms);
    for (const auto &[task, count] : starts()) {
        BOOST_TEST(count == 1, task);
    }
    BOOST_TEST(starts().size() == 2U);
}

// Guards against 410 for a job, or a cancellation that is lost, when the first part does not hold it.
BOOST_AUTO_TEST_CASE(a_job_is_found_in_every_part)
{
    const auto parts = orderIntakeParts({"a"}, intakePartsMax);
    store.silentParts.insert(parts.front());
    auto acceptance = makeAcceptance(intakePartsMax);
    BOOST_TEST((accept(acceptance, "a") == AcceptOutcome::Accepted));
    const auto deadline = std::chrono::steady_clock::now() + 1s;
    BOOST_TEST((await(acceptance.cancel({"a"}, anyOwner, deadline)) == CancelOutcome::Recorded));
    BOOST_TEST(decodeIntake(store.value(intakeRow({"a"}, parts[1]))).cancelRequested);
    for (const std::string &part : parts) {
        store.silentParts = {part};
        BOOST_TEST((await(acceptance.cancel({"unknown"}, anyOwner, deadline)) == CancelOutcome::NotRecorded), part);
    }
    store.silentParts.clear();
    BOOST_TEST((await(acceptance.cancel({"unknown"}, anyOwner, deadline)) == CancelOutcome::NoSuchJob));
}

// Guards against a second row of a job that was stored while fewer parts were in use.
BOOST_AUTO_TEST_CASE(a_repeated_submission_goes_to_the_part_that_holds_the_job)
{
    auto before = makeAcceptance(1);
    auto after = makeAcceptance(intakePartsMax);
    for (const std::string id : {"a", "b", "c", "d", "e"}) {
        BOOST_TEST((accept(before, id) == AcceptOutcome::Accepted));
        board.applyRow(store.row(intakeRow({id})));
        BOOST_TEST((accept(after, id) == AcceptOutcome::Accepted));
        BOOST_TEST(rowCount(id) == 1U, id);
    }
}

// Guards against rows of jobs cancelled before they were stored that stay in the store, also after a failover.
BOOST_DATA_TEST_CASE(a_job_cancelled_before_it_was_stored_is_removed_from_all_parts,
                     boost::unit_test::data::make({false, true}), failover)
{
    auto acceptance = makeAcceptance(intakePartsMax);
    const auto cancelJob = [&] {
        const auto deadline = std::chrono::steady_clock::now() + 1s;
        BOOST_TEST((await(acceptance.cancel({"a"}, anyOwner, deadline)) == CancelOutcome::NoSuchJob));
        BOOST_TEST((accept(acceptance, "a") == AcceptOutcome::Withdrawn));
    };
    if (failover) {
        cancelJob(); // The predecessor has ended.
    }
    process = std::make_unique<DeciderProcess>(context, store, workers, 1, DeciderTimes().clockRateMin, 100ms);
    if (!failover) {
        cancelJob();
    }
    const auto isRemoved = [this] {
        const auto parts = intakePartNames();
        return std::all_of(parts.begin(), parts.end(), [this](const std::string &part) {
            return store.value(intakeRow({"a"}, part)).empty();
        });
    };
    for (int i = 0; i < 100 && !isRemoved(); ++i) {
        process->confirmedAt = std::chrono::steady_clock::now();
        runFor(20ms);
    }
    BOOST_TEST(isRemoved());
    BOOST_TEST((accept(acceptance, "a") == AcceptOutcome::Accepted));
}

// Guards against rows of ended jobs that stay in the store, in parts other than the first.
BOOST_AUTO_TEST_CASE(an_ended_job_is_removed_from_all_parts)
{
    process = std::make_unique<DeciderProcess>(context, store, workers, 1, DeciderTimes().clockRateMin, 100ms);
    store.deferTransactions = 1;
    auto acceptance = makeAcceptance(intakePartsMax);
    BOOST_TEST((accept(acceptance, "a") == AcceptOutcome::Accepted));
    store.applyDeferred();
    BOOST_TEST(rowCount("a") == 2U);
    for (int i = 0; i < 100 && rowCount("a") > 0; ++i) {
        process->confirmedAt = std::chrono::steady_clock::now();
        runFor(20ms);
    }
    BOOST_TEST(rowCount("a") == 0U);
}

// Guards against a part that is avoided for ever after one unanswered call.
BOOST_AUTO_TEST_CASE(a_silent_part_is_tried_again_after_a_while)
{
    StoreHealth health(StoreHealthTimes{2s});
    const StoreHealth::Clock::time_point begin(10s);
    health.noteCall("x", false, begin);
    const std::vector<std::string> parts{"x", "y"};
    BOOST_TEST(health.silentLast(parts, begin + 1'999ms) == (std::vector<std::string>{"y", "x"}));
    BOOST_TEST(health.silentLast(parts, begin + 2s) == parts);
    health.noteCall("x", true, begin + 1s);
    BOOST_TEST(health.silentLast(parts, begin + 1s) == parts);
}

BOOST_AUTO_TEST_SUITE_END()
