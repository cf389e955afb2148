#include "heatherquay/error.hpp"
#include "state/cluster_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace heatherquay;
using namespace heatherquay::state;

BOOST_FIXTURE_TEST_SUITE(guarantees, ClusterFixture)

BOOST_AUTO_TEST_CASE(a_guarantee_is_admitted_only_when_all_guaranteed_shapes_fit_at_once)
{
    addWorkers(2);
    addTeam("a");
    addTeam("b");
    grant("g1", "a", shape(8, Adjacency::Worker));
    grant("g2", "b", shape(4, Adjacency::Worker));
    const std::uint64_t before = cluster.fingerprint();
    BOOST_CHECK_THROW(grant("g3", "b", shape(8, Adjacency::Worker)), Error);
    BOOST_TEST(cluster.fingerprint() == before);
    const GuaranteeIntent intent{{GuaranteeId{"g3"}, TeamId{"b"}, shape(5, Adjacency::Worker)}, false};
    BOOST_TEST(!cluster.preview(intent, now).admitted);
    grant("g3", "b", shape(4));
}

// Guards against borrowers that are not preempted, or run past their checkpoint deadline, while a guaranteed job waits.
BOOST_AUTO_TEST_CASE(a_claim_preempts_borrowers_after_a_checkpoint)
{
    addWorkers(1);
    addTeam("owner");
    addTeam("guest");
    grant("g", "owner", shape(8, Adjacency::Worker));
    run("borrowed", "guest", shape(8));
    const auto commands = submit("mine", "owner", shape(8, Adjacency::Worker));
    BOOST_REQUIRE(all<CheckpointGang>(commands).size() == 1U);
    BOOST_TEST(all<CheckpointGang>(commands)[0].grace.count() == 10'000);
    BOOST_TEST((job("mine").phase == JobPhase::Waiting));
    BOOST_TEST(all<StopGang>(tickAfter(Duration(10'000))).size() == 1U);
    const auto after = stopped("borrowed");
    BOOST_REQUIRE(all<StartGang>(after).size() == 1U);
    BOOST_TEST(job("mine").onGuarantee);
    BOOST_TEST((job("borrowed").phase == JobPhase::Waiting));
}

BOOST_AUTO_TEST_CASE(a_job_on_a_guarantee_is_never_a_victim)
{
    addWorkers(2);
    addTeam("a");
    addTeam("b");
    grant("ga", "a", shape(8, Adjacency::Worker));
    grant("gb", "b", shape(8, Adjacency::Worker));
    run("a1", "a", shape(8, Adjacency::Worker));
    run("b1", "b", shape(8, Adjacency::Worker));
    BOOST_TEST(job("a1").onGuarantee);
    BOOST_TEST(job("b1").onGuarantee);
    BOOST_TEST(submit("a2", "a", shape(8, Adjacency::Worker)).empty());
    BOOST_TEST((job("a2").phase == JobPhase::Waiting));
}

// Guards against a preemption that moving the reserved cell avoids.
BOOST_AUTO_TEST_CASE(a_cell_moves_to_free_accelerators_rather_than_stopping_a_borrower)
{
    addWorkers(2);
    addTeam("owner");
    addTeam("guest");
    grant("g", "owner", shape(8, Adjacency::Worker));
    run("borrowed", "guest", shape(8, Adjacency::Worker));
    const auto commands = submit("mine", "owner", shape(8, Adjacency::Worker));
    BOOST_TEST(all<CheckpointGang>(commands).empty());
    BOOST_TEST(all<StartGang>(commands).size() == 1U);
    BOOST_TEST(job("mine").onGuarantee);
}

BOOST_AUTO_TEST_CASE(the_borrower_that_loses_least_work_is_stopped)
{
    addWorkers(2);
    addTeam("owner");
    addTeam("guest");
    run("old", "guest", shape(8, Adjacency::Worker));
    now += std::chrono::hours(5);
    run("young", "guest", shape(8, Adjacency::Worker));
    now += std::chrono::minutes(1);
    grant("g", "owner", shape(8, Adjacency::Worker));
    const PlanOutcome plan = cluster.preview(JobIntent{jobSpec("mine", "owner", shape(8, Adjacency::Worker))}, now);
    BOOST_REQUIRE(plan.preemptions.size() == 1U);
    BOOST_TEST(plan.preemptions[0].job.value == "young");
    const auto commands = submit("mine", "owner", shape(8, Adjacency::Worker));
    BOOST_REQUIRE(all<CheckpointGang>(commands).size() == 1U);
    BOOST_TEST(all<CheckpointGang>(commands)[0].job.value == "young");
}

// Guards against comparing placements by their most expensive victim instead of by the total cost of all victims.
BOOST_AUTO_TEST_CASE(one_cheap_gang_is_stopped_rather_than_many_that_lose_more_in_total)
{
    addWorkers(2);
    addTeam("owner");
    addTeam("guest");
    for (int number = 0; number < 8; ++number) {
        run("small" + std::to_string(number), "guest", shape(1));
    }
    now += std::chrono::minutes(30);
    run("whole", "guest", shape(8, Adjacency::Worker));
    now += std::chrono::minutes(10);
    grant("g", "owner", shape(8, Adjacency::Worker));
    const auto commands = submit("mine", "owner", shape(8, Adjacency::Worker));
    BOOST_REQUIRE(all<CheckpointGang>(commands).size() == 1U);
    BOOST_TEST(all<CheckpointGang>(commands)[0].job.value == "whole");
}

BOOST_AUTO_TEST_CASE(a_planned_drain_that_breaks_a_guarantee_is_refused)
{
    addWorkers(2);
    addTeam("t");
    grant("g", "t", shape(8, Adjacency::Worker));
    DrainIntent drain;
    drain.worker = WorkerId{"w0"};
    BOOST_TEST(cluster.preview(drain, now).admitted);
    cluster.apply(WorkerDraining{WorkerId{"w1"}, true}, now);
    const PlanOutcome refused = cluster.preview(drain, now);
    BOOST_TEST(!refused.admitted);
    BOOST_TEST(refused.refusal.find("guarantee g") != std::string::npos);
}

// Guards against degrading an earlier guarantee in favour of a later one.
BOOST_AUTO_TEST_CASE(the_last_admitted_guarantee_degrades_first_and_comes_back_with_the_hardware)
{
    addWorkers(3);
    for (const std::string team : {"a", "b", "c"}) {
        addTeam(team);
        grant("g" + team, team, shape(8, Adjacency::Worker));
    }
    run("jc", "c", shape(8, Adjacency::Worker));
    const WorkerId used = job("jc").placements.at(0).worker;
    const WorkerId lost{used.value == "w0" ? "w1" : "w0"};
    const auto commands = cluster.apply(WorkerLost{lost}, now);
    BOOST_REQUIRE(all<NotifyOperator>(commands).size() == 1U);
    BOOST_TEST((all<NotifyOperator>(commands)[0].severity == Severity::Critical));
    BOOST_TEST(cluster.team(TeamId{"a"})->degraded.empty());
    BOOST_TEST(cluster.team(TeamId{"b"})->degraded.empty());
    BOOST_TEST(cluster.team(TeamId{"c"})->degraded.size() == 1U);
    BOOST_TEST(!job("jc").onGuarantee);
    BOOST_CHECK_THROW(grant("gd", "a", shape(1)), Error);
    const auto back = cluster.apply(WorkerReturned{lost}, now);
    BOOST_TEST(all<NotifyOperator>(back).size() == 1U);
    BOOST_TEST(cluster.team(TeamId{"c"})->degraded.empty());
}

// Guards against restarting a gang while members of its previous start still run.
BOOST_AUTO_TEST_CASE(a_gang_on_a_lost_worker_holds_its_other_members_until_they_have_stopped)
{
    addWorkers(3);
    addTeam("t");
    run("j", "t", shape(16));
    const WorkerId lost = job("j").placements.at(0).worker;
    const auto commands = cluster.apply(WorkerLost{lost}, now);
    BOOST_TEST(all<StopGang>(commands).size() == 1U);
    BOOST_TEST((job("j").phase == JobPhase::Stopping));
    const auto after = stopped("j", false);
    BOOST_TEST(all<StartGang>(after).size() == 1U);
    for (const Placement &placement : job("j").placements) {
        BOOST_TEST(placement.worker.value != lost.value);
    }
}

BOOST_AUTO_TEST_CASE(urgent_jobs_come_first_within_the_guarantee)
{
    addWorkers(1);
    addTeam("t");
    grant("g", "t", shape(8));
    run("running", "t", shape(8));
    submit("normal", "t", shape(8));
    JobSpec urgent = jobSpec("urgent", "t", shape(8));
    urgent.urgent = true;
    cluster.apply(JobSubmitted{urgent}, now);
    finished("running");
    BOOST_TEST((job("urgent").phase == JobPhase::Starting));
    BOOST_TEST((job("normal").phase == JobPhase::Waiting));
}

BOOST_AUTO_TEST_CASE(a_quota_cannot_fall_below_the_guarantee)
{
    addWorkers(1);
    addTeam("t");
    grant("g", "t", shape(8));
    BOOST_CHECK_THROW(addTeam("t", 1, 7), Error);
    addTeam("t", 1, 8);
}

BOOST_AUTO_TEST_SUITE_END()
