#include "state/cluster_fixture.hpp"

#include <set>

#include <boost/test/unit_test.hpp>

using namespace heatherquay;
using namespace heatherquay::state;

BOOST_FIXTURE_TEST_SUITE(fairness, ClusterFixture)

BOOST_AUTO_TEST_CASE(free_accelerators_go_to_the_team_with_the_lowest_ratio_of_held_to_share)
{
    addWorkers(1);
    addTeam("rich", 1);
    addTeam("poor", 3);
    run("block", "rich", shape(8));
    submit("r", "rich", shape(4));
    for (int number = 0; number < 3; ++number) {
        submit("p" + std::to_string(number), "poor", shape(2));
    }
    finished("block");
    BOOST_TEST(cluster.team(TeamId{"poor"})->heldAccelerators == 4U);
    BOOST_TEST(cluster.team(TeamId{"rich"})->heldAccelerators == 4U);
}

BOOST_AUTO_TEST_CASE(a_team_never_holds_more_than_its_quota)
{
    addWorkers(2);
    addTeam("t", 1, 10);
    submit("j1", "t", shape(8));
    submit("j2", "t", shape(8));
    submit("j3", "t", shape(2));
    BOOST_TEST(cluster.team(TeamId{"t"})->heldAccelerators == 10U);
    BOOST_TEST((job("j2").phase == JobPhase::Waiting));
    BOOST_TEST(!cluster.preview(JobIntent{jobSpec("j4", "t", shape(11))}, now).admitted);
}

// Guards against starvation of long jobs by shorter jobs that are submitted later.
BOOST_AUTO_TEST_CASE(a_job_that_has_aged_starts_before_a_shorter_one)
{
    addWorkers(1);
    addTeam("t");
    run("block", "t", shape(8));
    JobSpec old = jobSpec("old", "t", shape(8));
    old.declaredRunTime = std::chrono::hours(8);
    cluster.apply(JobSubmitted{old}, now);
    now += std::chrono::minutes(60);
    JobSpec fresh = jobSpec("fresh", "t", shape(8));
    fresh.declaredRunTime = std::chrono::hours(1);
    cluster.apply(JobSubmitted{fresh}, now);
    finished("block");
    BOOST_TEST((job("old").phase == JobPhase::Starting));
}

BOOST_AUTO_TEST_CASE(of_equally_old_jobs_the_one_with_the_shortest_learned_run_time_starts_first)
{
    addWorkers(1);
    addTeam("t");
    const auto classed = [](const std::string &id, const std::string &jobClass) {
        JobSpec spec = jobSpec(id, "t", shape(8));
        spec.jobClass = jobClass;
        spec.declaredRunTime = std::chrono::hours(1);
        return spec;
    };
    for (int number = 0; number < 4; ++number) {
        for (const std::string jobClass : {"quick", "slow"}) {
            const std::string id = jobClass + std::to_string(number);
            cluster.apply(JobSubmitted{classed(id, jobClass)}, now);
            started(id);
            now += jobClass == "quick" ? std::chrono::minutes(1) : std::chrono::minutes(300);
            finished(id);
        }
    }
    run("block", "t", shape(8));
    cluster.apply(JobSubmitted{classed("s", "slow")}, now);
    cluster.apply(JobSubmitted{classed("q", "quick")}, now);
    finished("block");
    BOOST_TEST((job("q").phase == JobPhase::Starting));
}

// Guards against starvation of large gangs: small jobs take each accelerator as soon as it becomes free.
BOOST_AUTO_TEST_CASE(a_large_gang_starts_within_a_bounded_time_under_a_stream_of_small_jobs)
{
    addWorkers(2);
    addTeam("t");
    addTeam("stream", 100);
    int next = 0;
    std::vector<std::string> running;
    const auto refill = [&]() {
        for (int number = 0; number < 4; ++number) {
            submit("s" + std::to_string(next++), "stream", shape(4));
        }
    };
    refill();
    submit("gang", "t", shape(16));
    const Instant submitted = now;
    while (job("gang").phase == JobPhase::Waiting && now - submitted < std::chrono::hours(12)) {
        now += std::chrono::minutes(7);
        refill();
        for (const JobView &view : cluster.jobs()) {
            const std::string id = view.spec.id.value;
            if (view.phase == JobPhase::Starting) {
                started(id);
            } else if (view.phase == JobPhase::Stopping) {
                stopped(id);
            } else if (view.phase == JobPhase::Running && now - *view.startedAt > std::chrono::minutes(30)) {
                finished(id);
            }
        }
        cluster.apply(Tick{}, now);
    }
    BOOST_TEST((job("gang").phase == JobPhase::Starting));
    BOOST_TEST((now - submitted <= std::chrono::hours(4) + std::chrono::minutes(14)));
}

// Guards against reserved accelerators that stay idle and against backfilled jobs that delay the reserving gang.
BOOST_AUTO_TEST_CASE(a_job_is_backfilled_only_if_it_ends_before_the_reservation_starts)
{
    addWorkers(2);
    addTeam("t");
    JobSpec blocker = jobSpec("blocker", "t", shape(8));
    blocker.declaredRunTime = std::chrono::hours(6);
    cluster.apply(JobSubmitted{blocker}, now);
    started("blocker");
    submit("gang", "t", shape(16));
    tickAfter(std::chrono::hours(3));
    BOOST_TEST(job("gang").reason.find("reserved") != std::string::npos);
    JobSpec longJob = jobSpec("long", "t", shape(4));
    longJob.declaredRunTime = std::chrono::hours(5);
    cluster.apply(JobSubmitted{longJob}, now);
    JobSpec shortJob = jobSpec("short", "t", shape(4));
    shortJob.declaredRunTime = std::chrono::hours(1);
    cluster.apply(JobSubmitted{shortJob}, now);
    BOOST_TEST((job("long").phase == JobPhase::Waiting));
    BOOST_TEST((job("short").phase == JobPhase::Starting));
    started("short");
    const auto commands = finished("blocker");
    BOOST_TEST(all<CheckpointGang>(commands).size() == 1U);
    stopped("short");
    BOOST_TEST((job("gang").phase == JobPhase::Starting));
}

// Guards against a deadlock of two gangs that each reserve a part of the accelerators that both need.
BOOST_AUTO_TEST_CASE(two_large_gangs_that_wait_for_each_others_accelerators_both_start)
{
    addWorkers(2);
    addTeam("a");
    addTeam("b");
    run("x", "a", shape(8));
    run("y", "b", shape(8));
    submit("ga", "a", shape(16));
    submit("gb", "b", shape(16));
    tickAfter(std::chrono::hours(3));
    finished("x");
    finished("y");
    BOOST_REQUIRE((job("ga").phase == JobPhase::Starting));
    started("ga");
    finished("ga");
    BOOST_TEST((job("gb").phase == JobPhase::Starting));
}

// Guards against a broken worker that fails each job quickly, is free again and so attracts the next job.
BOOST_AUTO_TEST_CASE(a_worker_that_fails_distinct_jobs_goes_on_probation_and_comes_back)
{
    addWorkers(2);
    addTeam("t");
    cluster.apply(WorkerDraining{WorkerId{"w1"}, true}, now);
    for (int number = 0; number < 3; ++number) {
        const std::string id = "j" + std::to_string(number);
        submit(id, "t", shape(2));
        started(id);
        cluster.apply(TaskFailed{JobId{id}, job(id).fence, WorkerId{"w0"}}, now);
        cluster.apply(JobCancelled{JobId{id}}, now);
        if (job(id).phase == JobPhase::Stopping) {
            stopped(id);
        }
    }
    BOOST_TEST((cluster.worker(WorkerId{"w0"})->phase == WorkerPhase::Probation));
    submit("late", "t", shape(2));
    BOOST_TEST((job("late").phase == JobPhase::Waiting));
    tickAfter(std::chrono::minutes(10));
    BOOST_TEST((job("late").phase == JobPhase::Starting));
}

// Guards against a faulty job that puts healthy workers on probation.
BOOST_AUTO_TEST_CASE(a_job_that_fails_on_several_workers_is_parked_and_the_workers_stay_live)
{
    addWorkers(4);
    addTeam("t");
    for (int number = 0; number < 3; ++number) {
        const std::string id = "bad" + std::to_string(number);
        submit(id, "t", shape(2, Adjacency::Worker));
        std::set<WorkerId> tried;
        for (int attempt = 0; attempt < 3; ++attempt) {
            const WorkerId failedWorker = job(id).placements.at(0).worker;
            tried.insert(failedWorker);
            cluster.apply(TaskFailed{JobId{id}, job(id).fence, failedWorker}, now);
        }
        BOOST_TEST(tried.size() == 3U);
        BOOST_TEST((job(id).phase == JobPhase::Parked));
    }
    for (const WorkerView &worker : cluster.workers()) {
        BOOST_TEST((worker.phase == WorkerPhase::Live));
    }
}

BOOST_AUTO_TEST_CASE(a_job_that_can_never_run_is_parked_with_the_reason)
{
    addWorkers(2);
    addTeam("t");
    const auto commands = submit("j", "t", shape(9, Adjacency::Worker));
    BOOST_REQUIRE(all<ParkJob>(commands).size() == 1U);
    BOOST_TEST(all<ParkJob>(commands)[0].reason.find("adjacency") != std::string::npos);
    BOOST_TEST((job("j").phase == JobPhase::Parked));
}

BOOST_AUTO_TEST_CASE(jobs_of_a_class_prefer_the_kind_that_ran_it_faster)
{
    addWorkers(1, "slow");
    addWorkers(1, "fast");
    addTeam("t");
    const auto classed = [](const std::string &id, std::vector<std::string> kinds) {
        JobSpec spec = jobSpec(id, "t", shape(2, Adjacency::Worker, std::move(kinds)));
        spec.jobClass = "c";
        return spec;
    };
    for (const std::string kind : {"slow", "fast"}) {
        cluster.apply(JobSubmitted{classed(kind, {kind})}, now);
        started(kind);
        now += kind == "slow" ? std::chrono::minutes(40) : std::chrono::minutes(10);
        finished(kind);
    }
    cluster.apply(JobSubmitted{classed("any", {})}, now);
    BOOST_TEST(job("any").placements.at(0).worker.value == "w1");
}

// Guards against fragmentation: small jobs that are spread over all workers leave no whole worker for a larger job.
BOOST_AUTO_TEST_CASE(small_jobs_are_packed_so_that_a_whole_worker_stays_free)
{
    addWorkers(2);
    addTeam("t");
    for (int number = 0; number < 4; ++number) {
        submit("s" + std::to_string(number), "t", shape(2));
    }
    submit("whole", "t", shape(8, Adjacency::Worker));
    BOOST_TEST((job("whole").phase == JobPhase::Starting));
    BOOST_TEST(cluster.totals().fragmentation == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()
