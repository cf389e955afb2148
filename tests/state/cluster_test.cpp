#include "heatherquay/error.hpp"
#include "state/cluster_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace heatherquay;
using namespace heatherquay::state;

BOOST_FIXTURE_TEST_SUITE(cluster, ClusterFixture)

// Guards against gangs that hold only some of the accelerators that they need.
BOOST_AUTO_TEST_CASE(a_gang_starts_on_all_of_its_accelerators_or_waits)
{
    addWorkers(2);
    addTeam("t");
    const auto commands = submit("big", "t", shape(12, Adjacency::Rack));
    BOOST_TEST(all<StartGang>(commands).size() == 1U);
    BOOST_TEST(held(job("big")) == 12U);
    submit("late", "t", shape(8));
    BOOST_TEST((job("late").phase == JobPhase::Waiting));
    BOOST_TEST(job("late").placements.empty());
    started("big");
    const auto after = finished("big");
    BOOST_TEST(all<StartGang>(after).size() == 1U);
    BOOST_TEST((job("late").phase == JobPhase::Starting));
}

// Guards against a part with worker adjacency that is split across workers.
BOOST_AUTO_TEST_CASE(adjacent_accelerators_lie_on_one_worker)
{
    addWorkers(2);
    addTeam("t");
    submit("small", "t", shape(3, Adjacency::Worker));
    submit("wide", "t", shape(8, Adjacency::Worker));
    BOOST_TEST(job("wide").placements.size() == 1U);
    submit("third", "t", shape(6, Adjacency::Worker));
    BOOST_TEST((job("third").phase == JobPhase::Waiting));
}

// Guards against accelerators that stay held after a failed start, and against late reports that change a newer start.
BOOST_AUTO_TEST_CASE(a_failed_start_frees_all_members_and_a_stale_report_is_refused)
{
    addWorkers(1);
    addTeam("t");
    submit("j", "t", shape(8));
    const Fence old = job("j").fence;
    cluster.apply(GangStartFailed{JobId{"j"}, old, std::nullopt}, now);
    BOOST_TEST(job("j").fence.value > old.value);
    BOOST_CHECK_THROW(cluster.apply(GangStarted{JobId{"j"}, old}, now), Error);
}

// Guards against state that a snapshot omits, and against truncated snapshots that are accepted.
BOOST_AUTO_TEST_CASE(a_snapshot_restores_an_equal_state)
{
    addWorkers(3);
    addTeam("t", 2, 20);
    submit("j", "t", shape(8));
    started("j");
    submit("k", "t", shape(30));
    Cluster copy = Cluster::deserialize(cluster.serialize());
    BOOST_TEST(copy.fingerprint() == cluster.fingerprint());
    copy.apply(JobFinished{JobId{"j"}, job("j").fence}, now);
    finished("j");
    BOOST_TEST(copy.fingerprint() == cluster.fingerprint());
    const std::string text = cluster.serialize();
    BOOST_CHECK_THROW(Cluster::deserialize(text.substr(0, text.size() / 2)), Error);
}

// Guards against plans that admit a job larger than the cluster, and against previews that change the state.
BOOST_AUTO_TEST_CASE(a_plan_for_a_job_that_can_never_run_is_refused_with_the_reason)
{
    addWorkers(1);
    addTeam("t");
    const std::uint64_t before = cluster.fingerprint();
    const PlanOutcome refused = cluster.preview(JobIntent{jobSpec("j", "t", shape(9))}, now);
    BOOST_TEST(!refused.admitted);
    BOOST_TEST(refused.refusal.find("can never run") != std::string::npos);
    const PlanOutcome admitted = cluster.preview(JobIntent{jobSpec("j", "t", shape(8))}, now);
    BOOST_TEST(admitted.admitted);
    BOOST_TEST(admitted.events.size() == 1U);
    BOOST_TEST(cluster.fingerprint() == before);
}

// Guards against starts on a draining worker and against gangs that are stopped there without a checkpoint.
BOOST_AUTO_TEST_CASE(a_draining_worker_gets_no_new_work_and_loses_its_gangs_after_a_checkpoint)
{
    addWorkers(1);
    addTeam("t");
    run("j", "t", shape(4));
    const auto commands = cluster.apply(WorkerDraining{WorkerId{"w0"}, true}, now);
    BOOST_TEST(all<CheckpointGang>(commands).size() == 1U);
    stopped("j");
    BOOST_TEST((job("j").phase == JobPhase::Waiting));
    cluster.apply(WorkerDraining{WorkerId{"w0"}, false}, now);
    BOOST_TEST((job("j").phase == JobPhase::Starting));
}

// Guards against settings out of range or with unknown keys that are accepted, and against valid ones that are ignored.
BOOST_AUTO_TEST_CASE(an_invalid_setting_is_refused_and_a_valid_one_takes_effect)
{
    BOOST_CHECK_THROW(cluster.apply(SettingChanged{{"policy.weight_completion", "2"}}, now), Error);
    BOOST_CHECK_THROW(cluster.apply(SettingChanged{{"policy.unknown", "2"}}, now), Error);
    cluster.apply(SettingChanged{{"policy.reclaim_grace", "3s"}}, now);
    bool found = false;
    for (const SettingValue &setting : cluster.settings()) {
        found = found || (setting.key == "policy.reclaim_grace" && setting.value == "3000ms");
    }
    BOOST_TEST(found);
}

BOOST_AUTO_TEST_SUITE_END()
