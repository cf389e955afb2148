#include "heatherquay/state/batch/scheduler.hpp"

#include <algorithm>
#include <map>
#include <optional>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace heatherquay;
using namespace heatherquay::state::batch;
using namespace std::chrono_literals;
using state::Duration;
using state::Instant;
using state::WorkerId;

namespace
{

constexpr Duration shortReportInterval{500};
constexpr Duration reportInterval{900}; // Below SchedulerSettings::passGapMax.
constexpr Duration longTask{100'000}; // The results of shorter tasks depend on the interval between reports.
constexpr std::uint32_t workerCount = 6;

/// Runs tasks, one per worker, for any simulated time. Only the lists of the workers and the clock are simulated.
class TaskPlay
{
public:
    TaskPlay(Duration length, Duration estimate)
        : m_length(length)
        , m_interval(length < longTask ? shortReportInterval : reportInterval)
    {
        m_scheduler.setQueues({{"batch", {"service", 1, 100, 3.0, Duration(1'000)}}});
        for (std::uint32_t i = 0; i < workerCount; ++i) {
            WorkerSpec worker;
            worker.id.value = "w" + std::to_string(i);
            worker.incarnation.value = 1;
            worker.service = "service";
            worker.capacity = {128'000, 256'000, 8};
            m_scheduler.registerWorker(worker, m_now, m_now);
            m_workers[worker.id] = {};
        }
        JobSpec job;
        job.id.value = "a";
        job.queue = "batch";
        StepSpec &step = job.steps.emplace_back();
        step.taskCount = workerCount;
        step.need = {70'000, 1'000, 0};
        step.estimate = estimate;
        m_scheduler.submit(job, m_now);
    }

    /// Plays until the job has completed, for at most ten times the length of a task.
    void run()
    {
        for (Duration passed{}; passed < m_length * 10 && !m_completed && !m_hungAt; passed += m_interval) {
            step();
        }
    }

    bool completed() const
    {
        return m_completed;
    }
    std::uint32_t starts() const
    {
        return m_starts;
    }
    /// @return the time from the stop of the work on the hanging worker until it is noticed
    std::optional<Duration> detection() const
    {
        return m_hungAt ? std::optional(*m_hungAt - *m_stoodStillAt) : std::nullopt;
    }
    std::size_t excludedWorkers() const
    {
        std::size_t excluded = 0;
        for (const auto &[id, worker] : m_scheduler.workers().all()) {
            excluded += m_scheduler.workers().acceptsRuns(worker, m_now) ? 0 : 1;
        }
        return excluded;
    }

    double speed{1}; ///< Of the workers.
    bool allStandStill{}; ///< Not only the first worker makes no progress.
    std::optional<double> standsStillAt; ///< Share of the work after which the first worker makes no progress.

private:
    struct Run
    {
        TaskId task;
        std::uint32_t number{};
        double done{};
    };
    struct SimulatedWorker
    {
        std::optional<Run> run;
        std::vector<EndReport> ended;
        std::uint64_t lastEnd{};
    };

    void step()
    {
        m_now += m_interval;
        for (auto &[id, worker] : m_workers) {
            WorkerReport report{{1}, m_now, {}, {}};
            if (worker.run) {
                work(id, *worker.run);
                if (worker.run->done >= 1) {
                    end(worker, EndKind::Done);
                } else {
                    const auto percent = static_cast<std::uint32_t>(worker.run->done * 100);
                    report.running.push_back({worker.run->task, worker.run->number, "", percent});
                }
            }
            report.ended = std::exchange(worker.ended, {});
            m_scheduler.leaseExtended(id, m_now + 10s);
            m_scheduler.workerAnswered(id, report, m_now);
        }
        const Decision decision = m_scheduler.decide(m_now, m_now);
        for (const JobStatus &status : decision.statuses) {
            m_completed = m_completed || status.state == JobState::Completed;
        }
        if (!decision.hung.empty() && m_stoodStillAt) {
            m_hungAt = m_now;
        }
        for (const StopOrder &order : decision.stops) {
            m_scheduler.stopAnswered(order.task, order.run, m_now);
            end(m_workers.at(order.worker), EndKind::Stopped);
        }
        for (const StartOrder &order : decision.starts) {
            if (m_scheduler.beginStart(order.task, order.run)) {
                ++m_starts;
                m_workers.at(order.worker).run = Run{order.task, order.run, 0};
                m_scheduler.startAnswered(order.task, order.run, StartOutcome::Started, m_now);
            }
        }
    }

    void work(const WorkerId &id, Run &run)
    {
        const bool stands = standsStillAt && (allStandStill || id.value == "w0");
        if (stands && run.done >= *standsStillAt) {
            m_stoodStillAt = m_stoodStillAt.value_or(m_now);
            return;
        }
        run.done += speed * static_cast<double>(m_interval.count()) / static_cast<double>(m_length.count());
    }

    static void end(SimulatedWorker &worker, EndKind kind)
    {
        if (worker.run) {
            worker.ended.push_back({++worker.lastEnd, worker.run->task, worker.run->number, kind, ""});
            worker.run.reset();
        }
    }

    Duration m_length;
    Duration m_interval;
    Scheduler m_scheduler;
    Instant m_now{Duration(1'000'000)};
    std::map<WorkerId, SimulatedWorker> m_workers;
    std::uint32_t m_starts{};
    bool m_completed{};
    std::optional<Instant> m_stoodStillAt;
    std::optional<Instant> m_hungAt;
};

const auto lengths = boost::unit_test::data::make({10, 500, 3'600, 43'200}); // In seconds.
const auto estimateShares = boost::unit_test::data::make({0.0, 0.1, 1.0, 10.0}); // 0 means that there is none.

Duration estimateOf(int seconds, double share)
{
    return Duration(static_cast<std::int64_t>(seconds * 1'000 * share));
}

} // namespace

BOOST_AUTO_TEST_SUITE(batch_hang_detection)

// Guards against tasks that never end: one percent of a long task takes longer than a fixed limit for progress.
BOOST_DATA_TEST_CASE(a_task_of_any_length_starts_once, lengths *estimateShares, length, share)
{
    TaskPlay play(std::chrono::seconds(length), estimateOf(length, share));
    play.run();
    BOOST_TEST(play.completed());
    BOOST_TEST(play.starts() == workerCount);
    BOOST_TEST(play.excludedWorkers() == 0U);
}

// As above, on workers of a third of the usual speed.
BOOST_DATA_TEST_CASE(a_task_on_slow_workers_starts_once, lengths *estimateShares, length, share)
{
    TaskPlay play(std::chrono::seconds(length), estimateOf(length, share));
    play.speed = 1.0 / 3;
    play.run();
    BOOST_TEST(play.completed());
    BOOST_TEST(play.starts() == workerCount);
}

// Guards against a hung task that keeps its worker: it is found within half of a task's length once tasks of its step
// have reported progress.
BOOST_DATA_TEST_CASE(a_task_that_stands_still_is_found,
                     lengths *estimateShares *boost::unit_test::data::make({0.0, 0.5}), length, share, standsStillAt)
{
    TaskPlay play(std::chrono::seconds(length), estimateOf(length, share));
    play.standsStillAt = standsStillAt;
    play.run();
    BOOST_REQUIRE(play.detection());
    BOOST_TEST_MESSAGE("length " << length << " s, estimate x " << share << ", stands still at " << standsStillAt
                                 << ": " << play.detection()->count() << " ms");
    BOOST_TEST(play.detection()->count() <= std::max(length * 500, 6'000));
}

// Guards against an unusable pool: a task that stands still wherever it runs says nothing about the workers.
BOOST_AUTO_TEST_CASE(a_step_that_stands_still_everywhere_excludes_no_worker)
{
    TaskPlay play(10s, 10s);
    play.standsStillAt = 0;
    play.allStandStill = true;
    play.run();
    BOOST_REQUIRE(play.detection());
    BOOST_TEST(play.excludedWorkers() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
