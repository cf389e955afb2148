#include "workload.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

namespace heatherquay::benchmarks
{

using namespace heatherquay::state;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t kWorkersPerRack = 8;
constexpr std::uint32_t kJobClasses = 4;
constexpr std::uint32_t kCpuSlotsPerWorker = 26; ///< Slots of kind "cpu" of a worker of the large site.

struct ShapeChoice
{
    double weight{};
    std::uint32_t count{};
    Adjacency adjacency{Adjacency::None};
};

const std::vector<ShapeChoice> &shapeChoices(Site site)
{
    static const std::vector<ShapeChoice> userT{{35, 1, Adjacency::None},   {15, 2, Adjacency::Worker},
                                                {17, 4, Adjacency::Worker}, {15, 8, Adjacency::Worker},
                                                {8, 16, Adjacency::Rack},   {4, 32, Adjacency::Rack},
                                                {4, 24, Adjacency::None},   {2, 64, Adjacency::FailureDomain}};
    static const std::vector<ShapeChoice> userL{{15, 1, Adjacency::None},          {15, 4, Adjacency::Worker},
                                                {25, 8, Adjacency::Worker},        {17, 16, Adjacency::Rack},
                                                {12, 32, Adjacency::Rack},         {8, 64, Adjacency::Rack},
                                                {5, 64, Adjacency::FailureDomain}, {3, 128, Adjacency::FailureDomain}};
    static const std::vector<ShapeChoice> large{{20, 1, Adjacency::None},   {15, 2, Adjacency::Worker},
                                                {25, 8, Adjacency::Rack},   {15, 16, Adjacency::Rack},
                                                {10, 32, Adjacency::None},  {10, 64, Adjacency::FailureDomain},
                                                {5, 128, Adjacency::Region}};
    switch (site) {
    case Site::UserL:
        return userL;
    case Site::Large:
        return large;
    case Site::UserT:
        break;
    }
    return userT;
}

/// All workers of a rack have the same kind of accelerator; neighbouring racks have different kinds.
std::string kindOfRack(std::uint32_t rack)
{
    static const std::array<const char *, 7> kinds{"a100", "t4", "a100", "t4", "h100", "a100", "t4"};
    return kinds[rack % kinds.size()];
}

void addUserWorkers(Site site, std::uint32_t count, Workload &workload)
{
    const bool isT = site == Site::UserT;
    const std::array<const char *, 3> domains = isT
        ? std::array<const char *, 3>{"suva", "lautoka", "nadi"}
        : std::array<const char *, 3>{"tw-north-a", "tw-north-b", "tw-north-c"};
    const std::uint32_t racks = (count + kWorkersPerRack - 1) / kWorkersPerRack;
    for (std::uint32_t i = 0; i < count; ++i) {
        const std::uint32_t rack = i / kWorkersPerRack;
        WorkerSpec worker;
        worker.id.value = "w" + std::to_string(i);
        worker.address = "127.0.0.1:" + std::to_string(10'000 + i);
        worker.region.value = isT ? "viti" : "tw-north";
        worker.failureDomain.value = domains.at(std::min<std::size_t>(2, rack * 3 / racks));
        worker.rack.value = "r" + std::to_string(rack);
        worker.cores = isT ? 128 : 64;
        worker.memoryMegabytes = 256 * 1024;
        worker.accelerators.assign(8, AcceleratorSpec{kindOfRack(rack)});
        workload.workers.push_back(worker);
    }
}

void addLargeWorkers(std::uint32_t count, Workload &workload)
{
    for (std::uint32_t i = 0; i < count; ++i) {
        const std::uint32_t rack = i / kWorkersPerRack;
        WorkerSpec worker;
        worker.id.value = "w" + std::to_string(i);
        worker.address = "127.0.0.1:" + std::to_string(10'000 + i);
        const std::uint32_t domain = static_cast<std::uint32_t>(std::uint64_t{i} * 4 / count);
        worker.region.value = domain < 2 ? "north" : "south";
        worker.failureDomain.value = "domain-" + std::to_string(domain);
        worker.rack.value = "r" + std::to_string(domain) + "-" + std::to_string(rack);
        worker.cores = 128;
        worker.memoryMegabytes = 256 * 1024;
        worker.accelerators.assign(2, AcceleratorSpec{kindOfRack(rack)});
        worker.accelerators.insert(worker.accelerators.end(), kCpuSlotsPerWorker, AcceleratorSpec{"cpu"});
        workload.workers.push_back(worker);
    }
}

Shape makeShape(std::vector<ShapePart> parts)
{
    return Shape{std::move(parts)};
}

void addGuarantee(Workload &workload, std::uint32_t team, Shape shape)
{
    GuaranteeSpec guarantee;
    guarantee.id.value = "g" + std::to_string(workload.guarantees.size());
    guarantee.team = workload.teams.at(team).id;
    guarantee.shape = std::move(shape);
    workload.guarantees.push_back(guarantee);
}

void addTeams(Site site, std::uint32_t count, Workload &workload)
{
    for (std::uint32_t i = 0; i < count; ++i) {
        TeamSpec team;
        team.id.value = "team" + std::to_string(i);
        team.share = i < 2 ? 4 : 1;
        workload.teams.push_back(team);
    }
    const ShapePart rack32{32, {}, Adjacency::Rack};
    const ShapePart domain64{64, {}, Adjacency::FailureDomain};
    const ShapePart rack16{16, {}, Adjacency::Rack};
    const ShapePart worker8{8, {}, Adjacency::Worker};
    if (site == Site::UserT) {
        addGuarantee(workload, 0, makeShape({rack32, rack32}));
        addGuarantee(workload, 1, makeShape({rack32}));
        addGuarantee(workload, 2, makeShape({worker8, worker8}));
        addGuarantee(workload, 3, makeShape({worker8}));
    } else if (site == Site::UserL) {
        addGuarantee(workload, 0, makeShape({domain64}));
        addGuarantee(workload, 1, makeShape({domain64}));
        addGuarantee(workload, 2, makeShape({rack16}));
        addGuarantee(workload, 3, makeShape({worker8}));
    } else {
        for (std::uint32_t i = 0; i < count; ++i) {
            addGuarantee(workload, i,
                         makeShape({{16, {"cpu"}, Adjacency::Rack}, {2, {"a100", "t4", "h100"}, Adjacency::Worker}}));
        }
    }
}

void addSpeeds(Workload &workload)
{
    const std::array<double, kJobClasses> spread{1.0, 0.8, 1.2, 0.9};
    for (std::uint32_t i = 0; i < kJobClasses; ++i) {
        const std::string name = "class" + std::to_string(i);
        workload.speeds.set(name, "t4", 1.0);
        workload.speeds.set(name, "a100", 2.0 * spread.at(i));
        workload.speeds.set(name, "h100", 4.0 * spread.at((i + 1) % kJobClasses));
        workload.speeds.set(name, "cpu", 1.0);
    }
}

class WorkloadGenerator
{
public:
    WorkloadGenerator(const WorkloadSettings &settings, Workload &workload)
        : m_settings(settings)
        , m_workload(workload)
        , m_random(settings.seed * 7919 + 17)
    {
        for (const ShapeChoice &choice : shapeChoices(settings.site)) {
            m_shapeWeights.push_back(choice.weight);
        }
    }

    void addJobs()
    {
        double capacity = 0.0;
        for (const auto &[kind, count] : acceleratorsByKind(m_workload.workers)) {
            double sum = 0.0;
            const std::vector<std::string> classes = m_workload.speeds.classes();
            for (const std::string &jobClass : classes) {
                sum += m_workload.speeds.speed(jobClass, kind);
            }
            capacity += count * sum / static_cast<double>(classes.size());
        }
        const double target = m_settings.load * capacity * static_cast<double>(m_settings.window.count());
        double offered = 0.0;
        while (offered < target) {
            const std::uint32_t burst = chance(0.02) ? 10 + below(21) : 1;
            const Instant at = m_workload.begin
                + Duration(static_cast<std::int64_t>(below64(static_cast<std::uint64_t>(m_settings.window.count()))));
            const std::uint32_t burstTeam = pickTeam();
            for (std::uint32_t i = 0; i < burst && offered < target; ++i) {
                WorkloadJob job = makeJob(at, burst > 1 ? burstTeam : pickTeam());
                offered += static_cast<double>(job.work.count()) * acceleratorCount(job.spec.shape);
                m_workload.jobs.push_back(std::move(job));
            }
        }
        std::stable_sort(m_workload.jobs.begin(), m_workload.jobs.end(),
                         [](const WorkloadJob &left, const WorkloadJob &right) {
                             return left.submittedAt < right.submittedAt;
                         });
        for (std::size_t i = 0; i < m_workload.jobs.size(); ++i) {
            m_workload.jobs[i].spec.id.value = "j" + std::to_string(i);
        }
    }

    void addDisturbances()
    {
        for (WorkloadJob &job : m_workload.jobs) {
            job.alwaysFails = chance(0.005);
            if (chance(0.02)) {
                cancel(job, 10min + Duration(below64(7'200'000)));
            }
        }
        for (int wave = 0; wave < 2; ++wave) {
            const Instant at = randomTime();
            for (const WorkloadJob &job : m_workload.jobs) {
                if (job.submittedAt <= at && job.submittedAt + 2h > at && chance(0.2)) {
                    m_workload.disturbances.push_back({at, JobCancelled{job.spec.id}});
                }
            }
        }
        for (int i = 0; i < 3; ++i) {
            const Instant lost = randomTime();
            const WorkerId lostWorker = pickWorker();
            m_workload.disturbances.push_back({lost, WorkerLost{lostWorker}});
            m_workload.disturbances.push_back({lost + 30min, WorkerReturned{lostWorker}});
            const Instant drained = randomTime();
            const WorkerId drainedWorker = pickWorker();
            m_workload.disturbances.push_back({drained, WorkerDraining{drainedWorker, true}});
            m_workload.disturbances.push_back({drained + 1h, WorkerDraining{drainedWorker, false}});
        }
        const Instant failing = randomTime();
        m_workload.failingWorkers.push_back({pickWorker(), failing, failing + 2h});
        std::stable_sort(m_workload.disturbances.begin(), m_workload.disturbances.end(),
                         [](const TimedEvent &left, const TimedEvent &right) {
                             return left.at < right.at;
                         });
    }

private:
    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(m_random) < probability;
    }

    std::uint32_t below(std::uint32_t bound)
    {
        return std::uniform_int_distribution<std::uint32_t>(0, bound - 1)(m_random);
    }

    std::uint64_t below64(std::uint64_t bound)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_random);
    }

    Instant randomTime()
    {
        return m_workload.begin + Duration(below64(static_cast<std::uint64_t>(m_settings.window.count())));
    }

    std::uint32_t pickTeam()
    {
        const auto count = static_cast<std::uint32_t>(m_workload.teams.size());
        return chance(0.6) ? below(std::min(2U, count)) : below(count);
    }

    /// Returns each worker at most once, so that the periods in which a worker is lost, drained or failing do not
    /// overlap.
    WorkerId pickWorker()
    {
        if (m_undisturbedWorkers.empty()) {
            for (const WorkerSpec &worker : m_workload.workers) {
                m_undisturbedWorkers.push_back(worker.id);
            }
            std::shuffle(m_undisturbedWorkers.begin(), m_undisturbedWorkers.end(), m_random);
        }
        WorkerId worker = m_undisturbedWorkers.back();
        m_undisturbedWorkers.pop_back();
        return worker;
    }

    void cancel(const WorkloadJob &job, Duration after)
    {
        m_workload.disturbances.push_back({job.submittedAt + after, JobCancelled{job.spec.id}});
    }

    std::vector<std::string> pickKinds()
    {
        if (m_settings.site == Site::Large) {
            return chance(0.75) ? std::vector<std::string>{"cpu"} : std::vector<std::string>{"a100", "t4", "h100"};
        }
        const std::uint32_t draw = below(10);
        if (draw < 6) {
            return {};
        }
        if (draw < 9) {
            return {"a100", "h100"};
        }
        return {"t4", "a100"};
    }

    WorkloadJob makeJob(Instant at, std::uint32_t team)
    {
        std::discrete_distribution<std::size_t> shapeDistribution(m_shapeWeights.begin(), m_shapeWeights.end());
        const ShapeChoice &choice = shapeChoices(m_settings.site)[shapeDistribution(m_random)];
        const double medianMinutes = m_settings.site == Site::UserT ? 30.0 : 120.0;
        const double minutes
            = std::clamp(std::lognormal_distribution<double>(std::log(medianMinutes), 1.0)(m_random), 1.0, 720.0);
        WorkloadJob job;
        job.submittedAt = at;
        job.work = Duration(static_cast<std::int64_t>(minutes * 60'000.0));
        job.checkpointTime = Duration(static_cast<std::int64_t>(1'000 + below(12'000)));
        job.spec.team = m_workload.teams.at(team).id;
        job.spec.shape.parts.push_back({choice.count, pickKinds(), choice.adjacency});
        if (m_settings.site == Site::Large && job.spec.shape.parts[0].kinds.size() > 1) {
            job.spec.shape.parts[0].count = std::min(choice.count, 16U);
            job.spec.shape.parts[0].adjacency = choice.count <= 2 ? choice.adjacency : Adjacency::FailureDomain;
        }
        job.spec.urgent = chance(0.03);
        job.spec.useGuarantee = chance(0.7);
        // A third of the declared run times is near the actual one. The others are wrong by a factor of up to 20.
        const double factor = std::exp(std::normal_distribution<double>(0.0, chance(0.33) ? 0.2 : 1.5)(m_random));
        job.spec.declaredRunTime
            = Duration(static_cast<std::int64_t>(minutes * 60'000.0 * std::clamp(factor, 0.05, 20.0)));
        job.spec.jobClass = "class" + std::to_string(below(kJobClasses));
        job.spec.command = "train";
        return job;
    }

    const WorkloadSettings &m_settings;
    Workload &m_workload;
    std::mt19937_64 m_random;
    std::vector<double> m_shapeWeights;
    std::vector<WorkerId> m_undisturbedWorkers;
};

} // namespace

void SpeedTable::set(const std::string &jobClass, const std::string &kind, double speed)
{
    m_speeds[jobClass][kind] = speed;
}

double SpeedTable::speed(const std::string &jobClass, const std::string &kind) const
{
    return m_speeds.at(jobClass).at(kind);
}

std::vector<std::string> SpeedTable::classes() const
{
    std::vector<std::string> names;
    for (const auto &[name, speeds] : m_speeds) {
        names.push_back(name);
    }
    return names;
}

Workload makeSite(Site site, std::uint32_t workers, std::uint32_t teams)
{
    Workload workload;
    workload.begin = Instant(1'000'000'000s);
    if (site == Site::Large) {
        addLargeWorkers(workers == 0 ? 1'100 : workers, workload);
    } else {
        addUserWorkers(site, workers == 0 ? 50 : workers, workload);
    }
    const std::uint32_t ownTeams = site == Site::Large ? 230 : 4;
    addTeams(site, teams == 0 ? ownTeams : teams, workload);
    addSpeeds(workload);
    return workload;
}

Workload makeWorkload(const WorkloadSettings &settings)
{
    Workload workload = makeSite(settings.site);
    workload.window = settings.window;
    WorkloadGenerator generator(settings, workload);
    generator.addJobs();
    if (settings.disturbances) {
        generator.addDisturbances();
    }
    return workload;
}

std::map<std::string, double> acceleratorsByKind(const std::vector<WorkerSpec> &workers)
{
    std::map<std::string, double> counts;
    for (const WorkerSpec &worker : workers) {
        for (const AcceleratorSpec &accelerator : worker.accelerators) {
            counts[accelerator.kind] += 1.0;
        }
    }
    return counts;
}

} // namespace heatherquay::benchmarks
