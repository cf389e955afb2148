// Ends of runs on a worker that restarts under its id: the numbers of its ends start anew.

#include "batch/decider_fixture.hpp"

#include <set>

#include <boost/test/data/test_case.hpp>

using namespace heatherquay;
using namespace heatherquay::coordination::batch;
using namespace std::chrono_literals;
using test::DeciderFixture;
using test::DeciderProcess;
using test::FakeWorker;
using test::RunChange;

namespace
{

enum class Registration
{
    AtOnce,
    Late,
    Never
};
enum class StartResponse
{
    InTime,
    AfterPoll,
    Lost
};

constexpr std::chrono::milliseconds shortTask{2}; // Ends before the first poll after a restart arrives.
constexpr std::chrono::milliseconds polledTask{45}; // Ends while that poll is open.
constexpr std::chrono::milliseconds longTask{30'000};
constexpr std::chrono::milliseconds confirmationTime{40};
constexpr std::chrono::milliseconds lateRegistration{150};
constexpr std::chrono::milliseconds secondRestartDelay{5};
constexpr std::chrono::milliseconds lateResponse{50};
constexpr std::uint32_t tasks = 6; // They fill two workers beside the long runs.

/// When and how the decider learns of a restart.
struct Scenario
{
    Registration registration{};
    StartResponse startResponse{};
    std::chrono::milliseconds duration{}; ///< Of the tasks that reach the restarted workers.
    bool busy{}; ///< Each worker has a run at work when it restarts.
    bool restartsTwice{};
    bool leaderChanges{};
};

/// Workers that restart when the first start of a job reaches them.
struct RestartingWorkersFixture : DeciderFixture
{
    RestartingWorkersFixture()
    {
        for (auto &[id, worker] : workers) {
            worker->observer = [this, id = id](const RunChange &change) {
                observe(id, change);
            };
        }
        start();
    }

    ~RestartingWorkersFixture()
    {
        // The base class lets the deciders' coroutines finish, in which workers may still report changes.
        for (auto &[id, worker] : workers) {
            worker->observer = nullptr;
            worker->beforeStart = nullptr;
        }
    }

    /// Plays the scenario and checks that every job completes and no task starts again after its end was confirmed.
    void play(const Scenario &scenario)
    {
        completeFirstJob(scenario.busy);
        restartAtNextStart([this, registration = scenario.registration](const std::string &id) {
            if (registration == Registration::AtOnce) {
                registerWorker(id);
            }
        });
        setTaskDuration(scenario.duration);
        for (auto &[id, worker] : workers) {
            worker->startResponseDelay = scenario.startResponse == StartResponse::AfterPoll ? lateResponse : 0ms;
            worker->dropsStartResponses = scenario.startResponse == StartResponse::Lost;
        }
        submit(test::makeJob("late", tasks, {3'000, 3'000, 2}, shortTask));
        runUntil([this] {
            return std::none_of(workers.begin(), workers.end(), [](const auto &entry) {
                return entry.second->beforeStart != nullptr;
            });
        });
        if (scenario.restartsTwice) {
            runFor(secondRestartDelay);
            for (auto &[id, worker] : workers) {
                worker->restart();
            }
        }
        if (scenario.leaderChanges) {
            process->kill();
            successor = std::make_unique<DeciderProcess>(context, store, workers, 2);
        }
        if (scenario.registration == Registration::Late) {
            runFor(lateRegistration);
            registerWorker("w0");
            registerWorker("w1");
        }
        runFor(lateResponse);
        for (auto &[id, worker] : workers) {
            worker->startResponseDelay = {};
            worker->dropsStartResponses = false;
        }
        BOOST_TEST(runUntil([&] {
            return completed("late") && (!scenario.busy || completed("long"));
        }));
        for (const std::string &problem : problems) {
            BOOST_ERROR(problem);
        }
    }

    /// Has ends confirmed by each worker.
    /// @param busy whether each worker has a run at work from then on, and so an open poll
    void completeFirstJob(bool busy)
    {
        if (busy) {
            setTaskDuration(longTask);
            submit(test::makeJob("long", 2, {20'000, 20'000, 2}, longTask)); // One fits on each worker.
            BOOST_REQUIRE(runUntil([this] {
                return activeRuns() == 2;
            }));
        }
        setTaskDuration(shortTask);
        submit(test::makeJob("early", tasks, {3'000, 3'000, 2}, shortTask));
        BOOST_REQUIRE(runUntil([this] {
            return completed("early");
        }));
        runFor(confirmationTime);
    }

    void setTaskDuration(std::chrono::milliseconds duration)
    {
        for (auto &[id, worker] : workers) {
            worker->taskDuration = duration;
        }
    }

    /// Restarts each worker when the next start order reaches it.
    /// @param restarted called after each restart with the worker's id
    void restartAtNextStart(std::function<void(const std::string &)> restarted)
    {
        for (auto &[id, worker] : workers) {
            worker->beforeStart = [id = id, target = worker.get(), restarted] {
                target->beforeStart = nullptr;
                target->restart();
                restarted(id);
            };
        }
    }

    template<typename Condition>
    bool runUntil(Condition condition)
    {
        for (int i = 0; i < 600 && !condition(); ++i) {
            for (DeciderProcess *running : {process.get(), successor.get()}) {
                if (running != nullptr) {
                    running->confirmedAt = std::chrono::steady_clock::now(); // Heartbeats do this outside of the test.
                }
            }
            runFor(5ms);
        }
        return condition();
    }

    std::size_t activeRuns() const
    {
        std::size_t count = 0;
        for (const auto &[id, worker] : workers) {
            count += worker->running();
        }
        return count;
    }

    /// Collects starts of tasks that run already, or that have a confirmed end as done.
    void observe(const std::string &id, const RunChange &change)
    {
        const std::string task = toString(change.task);
        switch (change.kind) {
        case RunChange::Kind::Started:
            if (!active.insert(task).second) {
                problems.push_back(task + " starts on " + id + " while another run of it is active");
            }
            if (done.contains(task)) {
                problems.push_back(task + " starts on " + id + " after its end was confirmed");
            }
            break;
        case RunChange::Kind::Ended:
            active.erase(task);
            break;
        case RunChange::Kind::Confirmed:
            if (change.end == state::batch::EndKind::Done && !change.leaseLapsed) {
                done.insert(task);
            }
            break;
        }
    }

    std::set<std::string> active;
    std::set<std::string> done; ///< Tasks with a confirmed end.
    std::vector<std::string> problems;
};

const auto registrations
    = boost::unit_test::data::make({Registration::AtOnce, Registration::Late, Registration::Never});
const auto startResponses
    = boost::unit_test::data::make({StartResponse::InTime, StartResponse::AfterPoll, StartResponse::Lost});
const auto durations = boost::unit_test::data::make({shortTask.count(), polledTask.count()});
const auto booleans = boost::unit_test::data::make({false, true});

std::ostream &operator<<(std::ostream &out, Registration registration)
{
    return out << (registration == Registration::AtOnce     ? "at-once"
                       : registration == Registration::Late ? "late"
                                                            : "never");
}

std::ostream &operator<<(std::ostream &out, StartResponse response)
{
    return out << (response == StartResponse::InTime          ? "in-time"
                       : response == StartResponse::AfterPoll ? "after-poll"
                                                              : "lost");
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(workers_restarted_worker_ends, RestartingWorkersFixture)

// Guards against running work again that is done: a poll with the number of an end of an earlier incarnation makes a
// restarted worker forget ends that no decider has seen.
BOOST_DATA_TEST_CASE(no_end_of_a_restarted_worker_is_forgotten_unseen,
                     registrations *startResponses *durations *booleans *booleans *booleans, registration,
                     startResponse, duration, busy, restartsTwice, leaderChanges)
{
    play({registration, startResponse, std::chrono::milliseconds(duration), busy, restartsTwice, leaderChanges});
}

// The same with workers that close each connection after a response to a poll.
BOOST_DATA_TEST_CASE(no_end_is_forgotten_unseen_without_kept_connections,
                     registrations *startResponses *durations *booleans, registration, startResponse, duration, busy)
{
    for (auto &[id, worker] : workers) {
        worker->closesConnections = true;
    }
    play({registration, startResponse, std::chrono::milliseconds(duration), busy, false, false});
}

// Guards against ends that are confirmed only with the next run: their record was stored during the pause after the
// poll, and the worker was idle from then on.
BOOST_AUTO_TEST_CASE(the_last_ends_of_an_idle_worker_are_confirmed)
{
    setTaskDuration(shortTask);
    submit(test::makeJob("only", tasks, {3'000, 3'000, 2}, shortTask));
    BOOST_REQUIRE(runUntil([this] {
        return completed("only");
    }));
    runFor(confirmationTime);
    BOOST_TEST(done.size() == tasks);
}

BOOST_AUTO_TEST_SUITE_END()
