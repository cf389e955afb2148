// Random histories of jobs and disruptions on a simulated pool: no work waits beside free capacity for longer than the
// users' rule allows.

#include "promises/capacity_check.hpp"

#include <cmath>
#include <cstdlib>
#include <random>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace heatherquay;
using namespace heatherquay::state::batch;
using namespace std::chrono_literals;
using test::CapacityCheck;
using test::PoolSimulation;
using test::SimulatedWorker;

namespace
{

constexpr Resources machine{64'000, 256'000, 8};
constexpr std::chrono::milliseconds tick{100}; // Between two looks of the checker.
constexpr std::chrono::milliseconds disturbedTime{2'000};
constexpr std::chrono::milliseconds calmTime{18'500}; // Long enough for each part of the rule to be broken.
constexpr int phases = 3;
constexpr std::chrono::milliseconds withoutEnd{1'000'000};
constexpr std::uint32_t openJobsMax = 40;

/// Plays one history.
class PromiseHistory
{
public:
    explicit PromiseHistory(std::uint64_t seed)
        : m_random(seed)
        , m_pool({}, seed)
        , m_check(m_pool)
    {
        m_pool.setQueue("urgent", {"service", 0, 4, 1.5, 250ms});
        m_pool.setQueue("batch", {"service", 1, 4, 3.0, 1'000ms});
        m_pool.setQueue("bulk", {"service", 2, 4, 3.0, 3'000ms});
        const auto racks = static_cast<std::uint32_t>(2 + draw(5));
        const auto perRack = static_cast<std::uint32_t>(2 + draw(5));
        m_pool.addWorkers(racks * perRack, perRack, machine);
        m_racks = racks;
        m_lastingShare = real() * 0.95;
    }

    void play()
    {
        fill();
        for (int phase = 0; phase < phases; ++phase) {
            for (auto time = 0ms; time < disturbedTime; time += tick) {
                if (chance(0.25)) {
                    disturb();
                }
                turn();
            }
            heal();
            for (auto time = 0ms; time < calmTime; time += tick) {
                turn();
            }
        }
        violations.insert(violations.end(), m_check.violations.begin(), m_check.violations.end());
        violations.insert(violations.end(), m_pool.violations.begin(), m_pool.violations.end());
    }

    std::vector<std::string> violations;

private:
    std::uint64_t draw(std::uint64_t below)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, below - 1)(m_random);
    }
    double real()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }
    bool chance(double share)
    {
        return real() < share;
    }

    void turn()
    {
        if (chance(0.08) && m_open < openJobsMax) {
            submit(chance(0.1) ? lastingJob() : finiteJob());
        }
        if (chance(0.01) && !m_lasting.empty()) {
            cancel(m_lasting[draw(m_lasting.size())]);
        }
        m_pool.advance(tick);
        m_check.observe();
    }

    /// A part of a machine between an eighth and the whole.
    Resources drawNeed()
    {
        const std::int64_t eighths = std::int64_t{1} << draw(4);
        Resources need{machine.cpuMillicores * eighths / 8, machine.memoryMegabytes * eighths / 8, eighths};
        if (chance(0.2)) {
            need.accelerators = 0;
        }
        return need;
    }

    void drawPreferences(StepSpec &step)
    {
        const std::string rack = "r" + std::to_string(draw(m_racks));
        if (chance(0.3)) {
            step.dataRack = rack;
        } else if (chance(0.2)) {
            step.requiredLabel = rack;
        }
        if (chance(0.2)) {
            step.tasksPerWorkerMax = static_cast<std::uint32_t>(1 + draw(2));
        }
    }

    JobSpec newJob(const std::string &queue)
    {
        JobSpec job = test::makeJob("j" + std::to_string(++m_submitted), 1, drawNeed(), 500ms);
        job.queue = queue;
        return job;
    }

    JobSpec lastingJob()
    {
        JobSpec job = newJob(chance(0.5) ? "batch" : "bulk");
        StepSpec &step = job.steps.front();
        step.perpetual = true;
        step.taskCount = static_cast<std::uint32_t>(1 + draw(3));
        if (chance(0.2)) {
            step.tailLatencyTarget = 100ms;
        } else if (chance(0.2)) {
            step.bestEffort = true;
        }
        drawPreferences(step);
        m_lasting.push_back(job.id);
        return job;
    }

    JobSpec finiteJob()
    {
        const char *queues[]{"urgent", "batch", "bulk"};
        JobSpec job = newJob(queues[draw(3)]);
        StepSpec &step = job.steps.front();
        step.taskCount = static_cast<std::uint32_t>(1 + draw(6));
        step.savesProgress = chance(0.3);
        drawPreferences(step);
        if (chance(0.3)) {
            step.gang = true;
            step.sameRack = chance(0.5);
            step.tasksPerWorkerMax = 0;
        }
        if (chance(0.3)) {
            StepSpec next = step;
            next.gang = false;
            next.dependsOn = {0};
            job.steps.push_back(next);
        }
        m_work = std::chrono::milliseconds(200 + draw(5'000));
        const double error = std::pow(10.0, 2 * real() - 1);
        for (StepSpec &each : job.steps) {
            each.estimate
                = std::chrono::milliseconds(static_cast<std::int64_t>(error * static_cast<double>(m_work.count())));
        }
        return job;
    }

    void submit(const JobSpec &job)
    {
        m_pool.submit(job, job.steps.front().perpetual ? withoutEnd : m_work);
        m_check.addJob(job);
        m_ids.push_back(job.id);
        m_open = 0;
        for (const state::JobId &id : m_ids) {
            m_open += isFinal(m_pool.stateOf(id)) ? 0 : 1;
        }
    }

    void cancel(const state::JobId &id)
    {
        m_pool.cancel(id);
        m_check.removeJob(id);
        std::erase(m_lasting, id);
    }

    /// Submits lasting jobs until they hold the drawn share of the accelerators.
    void fill()
    {
        const auto share = [this] {
            std::int64_t used = 0;
            for (const auto &run : m_pool.runs()) {
                used += m_pool.stepOf(run.task).need.accelerators;
            }
            return static_cast<double>(used)
                / static_cast<double>(machine.accelerators * static_cast<std::int64_t>(m_pool.workers().size()));
        };
        for (int i = 0; i < 60 && share() < m_lastingShare; ++i) {
            submit(lastingJob());
            m_pool.advance(tick);
        }
    }

    void disturb()
    {
        std::vector<state::WorkerId> present;
        for (const auto &[id, worker] : m_pool.workers()) {
            if (!worker.gone) {
                present.push_back(id);
            }
        }
        const state::WorkerId worker = present[draw(present.size())];
        m_check.noteDisruption();
        switch (draw(6)) {
        case 0:
            if (present.size() > m_pool.workers().size() * 3 / 4) {
                m_pool.drain(worker);
                m_draining.push_back(worker);
            }
            break;
        case 1:
            m_pool.restart(worker);
            break;
        case 2:
            m_pool.worker(worker).unreachable = true;
            break;
        case 3:
            m_pool.worker(worker).failsRuns = true;
            break;
        case 4:
            if (!m_pool.runs().empty()) {
                m_pool.failRun(m_pool.runs()[draw(m_pool.runs().size())].task);
            }
            break;
        default:
            m_pool.replaceScheduler();
            break;
        }
    }

    /// Ends all disruptions: workers that drain leave, the others are sound.
    void heal()
    {
        for (const state::WorkerId &id : std::exchange(m_draining, {})) {
            m_pool.remove(id);
        }
        for (const auto &[id, worker] : m_pool.workers()) {
            SimulatedWorker &healed = m_pool.worker(id);
            healed.unreachable = worker.gone;
            healed.failsRuns = false;
        }
        m_check.noteDisruption();
    }

    std::mt19937_64 m_random;
    PoolSimulation m_pool;
    CapacityCheck m_check;
    std::uint32_t m_racks{};
    double m_lastingShare{};
    std::chrono::milliseconds m_work{};
    std::uint32_t m_submitted{};
    std::uint32_t m_open{};
    std::vector<state::JobId> m_ids;
    std::vector<state::JobId> m_lasting;
    std::vector<state::WorkerId> m_draining;
};

std::uint64_t numberFromEnvironment(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text == nullptr ? fallback : std::stoull(text);
}

} // namespace

BOOST_AUTO_TEST_SUITE(promises)

// HEATHERQUAY_HISTORIES sets the number of histories, HEATHERQUAY_HISTORY_SEED the seed of the first one.
BOOST_AUTO_TEST_CASE(no_work_waits_beside_free_capacity)
{
    const std::uint64_t first = numberFromEnvironment("HEATHERQUAY_HISTORY_SEED", 1);
    const std::uint64_t count = numberFromEnvironment("HEATHERQUAY_HISTORIES", 200);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        PromiseHistory history(seed);
        history.play();
        for (const std::string &violation : history.violations) {
            BOOST_ERROR("seed " << seed << ": " << violation);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
