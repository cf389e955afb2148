#include "state/history.hpp"

#include "heatherquay/error.hpp"
#include "heatherquay/protocol/event_codec.hpp"

#include <algorithm>
#include <array>
#include <ostream>
#include <random>
#include <sstream>

namespace heatherquay::tests
{

using namespace heatherquay::state;
using namespace std::chrono_literals;

namespace
{

constexpr Duration gangStartDelay = 100ms;
constexpr Duration gangStopDelay = 100ms;
constexpr Duration tickInterval = 1s;
constexpr Duration finishTickInterval = 30s;
constexpr Duration claimSlack = tickInterval + gangStopDelay + 1ms;
constexpr Duration finishClaimSlack = finishTickInterval + gangStopDelay + 1ms;
constexpr std::array<const char *, actionCount> actionNames{
    "submit", "advance", "finish", "cancel",   "fail",  "fail-next-start", "lose",  "return",
    "drain",  "undrain", "grant",  "withdraw", "quota", "stale",           "usage", "round-trip"};

std::string withoutDigits(std::string text)
{
    std::erase_if(text, [](char letter) {
        return letter >= '0' && letter <= '9';
    });
    return text;
}

Shape single(std::uint32_t count, Adjacency adjacency, std::vector<std::string> kinds = {})
{
    return Shape{{ShapePart{count, std::move(kinds), adjacency}}};
}

} // namespace

std::ostream &operator<<(std::ostream &out, const Step &step)
{
    return out << actionNames.at(static_cast<std::size_t>(step.action)) << '(' << step.first << ',' << step.second
               << ')';
}

std::string describe(const std::vector<Step> &history)
{
    std::ostringstream out;
    for (const Step &step : history) {
        out << step << ' ';
    }
    return out.str();
}

HistorySetup smallSetup()
{
    HistorySetup setup;
    for (std::uint32_t i = 0; i < 6; ++i) {
        WorkerSpec worker;
        worker.id.value = "w" + std::to_string(i);
        worker.region.value = "region";
        worker.failureDomain.value = i < 4 ? "fd0" : "fd1";
        worker.rack.value = "r" + std::to_string(i / 2);
        worker.accelerators.assign(4, AcceleratorSpec{i % 3 == 0 ? "fast" : "slow"});
        setup.workers.push_back(worker);
    }
    setup.teams = {{TeamId{"a"}, 1, 0}, {TeamId{"b"}, 2, 0}, {TeamId{"c"}, 1, 16}};
    setup.guaranteeShapes
        = {single(4, Adjacency::Worker), single(8, Adjacency::Rack), single(2, Adjacency::Worker, {"fast"}),
           single(8, Adjacency::FailureDomain), Shape{{{4, {}, Adjacency::Worker}, {2, {}, Adjacency::Worker}}}};
    setup.jobShapes = setup.guaranteeShapes;
    for (const Shape &shape : {single(1, Adjacency::None), single(2, Adjacency::Worker), single(12, Adjacency::None),
                               single(6, Adjacency::Rack, {"slow"}), single(24, Adjacency::None)}) {
        setup.jobShapes.push_back(shape);
    }
    return setup;
}

HistorySetup tinySetup()
{
    HistorySetup setup;
    for (std::uint32_t i = 0; i < 2; ++i) {
        WorkerSpec worker;
        worker.id.value = "w" + std::to_string(i);
        worker.region.value = "region";
        worker.failureDomain.value = "fd0";
        worker.rack.value = "r0";
        worker.accelerators.assign(2, AcceleratorSpec{"gpu"});
        setup.workers.push_back(worker);
    }
    setup.teams = {{TeamId{"a"}, 1, 0}, {TeamId{"b"}, 1, 0}};
    setup.guaranteeShapes = {single(2, Adjacency::Worker)};
    setup.jobShapes = {single(2, Adjacency::Worker), single(1, Adjacency::None), single(4, Adjacency::Rack)};
    return setup;
}

HistoryPlayer::HistoryPlayer(const HistorySetup &setup, std::uint64_t seed)
    : m_setup(&setup)
    , m_cluster(PolicySettings{}, seed)
    , m_checker(PolicySettings{}.reclaimGrace, claimSlack)
    , m_now(Instant(1'000'000'000s))
    , m_nextTick(m_now + tickInterval)
{
    for (const WorkerSpec &worker : setup.workers) {
        applyEvent(WorkerAdded{worker}, true);
    }
    for (const TeamSpec &team : setup.teams) {
        applyEvent(TeamDeclared{team}, true);
    }
}

bool HistoryPlayer::applyEvent(const Event &event, bool mustBeValid)
{
    const std::uint64_t before = mustBeValid ? 0 : m_cluster.fingerprint();
    if (m_trace != nullptr && !std::holds_alternative<Tick>(event)) {
        *m_trace << m_now.time_since_epoch().count() << " event " << protocol::encode(event) << '\n';
    }
    std::vector<Command> commands;
    try {
        commands = m_cluster.apply(event, m_now);
    } catch (const Error &error) {
        if (mustBeValid) {
            throw RuleViolation("a valid event of type " + std::to_string(event.index())
                                + " was refused: " + error.what());
        }
        if (m_cluster.fingerprint() != before) {
            throw RuleViolation("a refused event of type " + std::to_string(event.index()) + " changed the state");
        }
        return false;
    }
    if (m_trace != nullptr) {
        for (const Command &command : commands) {
            *m_trace << m_now.time_since_epoch().count() << " command " << protocol::encode(command) << '\n';
        }
    }
    ++m_acceptedEvents;
    m_checker.observe(event, commands, m_now);
    scheduleReports(commands);
    return true;
}

void HistoryPlayer::scheduleReports(const std::vector<Command> &commands)
{
    for (const Command &command : commands) {
        if (const auto *start = std::get_if<StartGang>(&command)) {
            if (m_startsToFail > 0) {
                --m_startsToFail;
                m_pendingReports.push_back(
                    {m_now + gangStartDelay,
                     GangStartFailed{start->job, start->fence, start->placements.front().worker}});
            } else {
                m_pendingReports.push_back({m_now + gangStartDelay, GangStarted{start->job, start->fence}});
            }
        } else if (const auto *checkpoint = std::get_if<CheckpointGang>(&command)) {
            // A third of the jobs never complete the checkpoint, so they only end after a StopGang.
            const std::size_t behaviour = std::hash<std::string>()(checkpoint->job.value) % 3;
            if (behaviour != 0) {
                const Duration needed = behaviour == 1 ? 1'500ms : checkpoint->grace;
                m_pendingReports.push_back({m_now + std::min(needed, checkpoint->grace),
                                            TasksStopped{checkpoint->job, checkpoint->fence, true}});
            }
        } else if (const auto *stop = std::get_if<StopGang>(&command)) {
            m_pendingReports.push_back({m_now + gangStopDelay, TasksStopped{stop->job, stop->fence, false}});
        }
    }
}

void HistoryPlayer::deliverReport(const Event &event)
{
    JobId id;
    Fence fence;
    std::visit(
        [&](const auto &one) {
            if constexpr (requires { one.fence; }) {
                id = one.job;
                fence = one.fence;
            }
        },
        event);
    const ClusterChecker::Job &job = m_checker.jobs().at(id);
    const bool starts = std::holds_alternative<GangStarted>(event) || std::holds_alternative<GangStartFailed>(event);
    const bool holding = job.phase == ObservedPhase::Starting || job.phase == ObservedPhase::Running
        || job.phase == ObservedPhase::Stopping;
    if (!holding || job.fence != fence) {
        applyEvent(event, false);
    } else if (starts && job.phase != ObservedPhase::Starting) {
        // The stop arrived before the report about the start. A report about the stop follows.
        if (std::holds_alternative<GangStarted>(event)) {
            applyEvent(event, false);
        }
    } else {
        applyEvent(event, true);
    }
}

void HistoryPlayer::advance(Duration time, Duration interval)
{
    const Instant until = m_now + time;
    m_nextTick = std::min(m_nextTick, m_now + interval);
    while (m_now < until) {
        const auto next = std::min_element(m_pendingReports.begin(), m_pendingReports.end(),
                                           [](const PendingReport &left, const PendingReport &right) {
                                               return left.at < right.at;
                                           });
        const Instant limit = std::min(until, m_nextTick);
        if (next != m_pendingReports.end() && next->at <= limit) {
            const PendingReport due = *next;
            m_pendingReports.erase(next);
            m_now = std::max(m_now, due.at);
            deliverReport(due.event);
            continue;
        }
        m_now = limit;
        if (m_now == m_nextTick) {
            m_nextTick += interval;
            applyEvent(Tick{}, true);
        }
    }
}

std::vector<JobId> HistoryPlayer::jobsIn(std::initializer_list<ObservedPhase> phases) const
{
    std::vector<JobId> ids;
    for (const auto &[id, job] : m_checker.jobs()) {
        if (std::find(phases.begin(), phases.end(), job.phase) != phases.end()) {
            ids.push_back(id);
        }
    }
    return ids;
}

void HistoryPlayer::submit(std::uint32_t first, std::uint32_t second)
{
    const std::size_t team = first % m_setup->teams.size();
    JobSpec spec;
    spec.id.value = "j" + std::to_string(m_nextJob++);
    spec.team = m_setup->teams[team].id;
    spec.useGuarantee = first / 8 % 4 != 0;
    spec.urgent = first / 32 % 4 == 0;
    spec.declaredRunTime = Duration(60'000 * (1 + second % 100));
    spec.jobClass = second % 2 == 0 ? "even" : "odd";
    spec.shape = m_setup->jobShapes[second % m_setup->jobShapes.size()];
    std::vector<Shape> own;
    for (const GuaranteeSpec &guarantee : m_granted) {
        if (guarantee.team == spec.team) {
            own.push_back(guarantee.shape);
        }
    }
    if (!own.empty() && second % 2 == 0) {
        spec.shape = own[second / 2 % own.size()];
    }
    applyEvent(JobSubmitted{spec}, true);
}

void HistoryPlayer::playOnJob(const Step &step)
{
    std::vector<JobId> ids = step.action == Action::Cancel
        ? jobsIn({ObservedPhase::Waiting, ObservedPhase::Parked, ObservedPhase::Starting, ObservedPhase::Running})
        : jobsIn({ObservedPhase::Running});
    if (ids.empty()) {
        return;
    }
    const JobId id = ids[step.first % ids.size()];
    const ClusterChecker::Job &job = m_checker.jobs().at(id);
    const Fence fence = job.fence;
    if (step.action == Action::Finish) {
        applyEvent(JobFinished{id, fence}, true);
    } else if (step.action == Action::Cancel) {
        applyEvent(JobCancelled{id}, true);
    } else if (step.action == Action::Fail) {
        const WorkerId failedWorker = job.placements[step.second % job.placements.size()].worker;
        applyEvent(TaskFailed{id, fence, failedWorker}, true);
    } else {
        applyEvent(UsageReported{id, fence, step.second % 100 / 100.0, 1min}, true);
    }
}

void HistoryPlayer::playOnWorker(const Step &step)
{
    const WorkerId id = m_setup->workers[step.first % m_setup->workers.size()].id;
    const bool lost = m_lost.contains(id);
    if (step.action == Action::LoseWorker && !lost) {
        m_lost.insert(id);
        applyEvent(WorkerLost{id}, true);
    } else if (step.action == Action::ReturnWorker && lost) {
        m_lost.erase(id);
        applyEvent(WorkerReturned{id}, true);
    } else if (step.action == Action::DrainWorker && m_draining.insert(id).second) {
        applyEvent(WorkerDraining{id, true}, true);
    } else if (step.action == Action::UndrainWorker && m_draining.erase(id) > 0) {
        applyEvent(WorkerDraining{id, false}, true);
    }
}

void HistoryPlayer::playOnTeam(const Step &step)
{
    TeamSpec team = m_setup->teams[step.first % m_setup->teams.size()];
    if (step.action == Action::GrantGuarantee) {
        GuaranteeSpec guarantee{GuaranteeId{"g" + std::to_string(m_nextGuarantee++)}, team.id,
                                m_setup->guaranteeShapes[step.second % m_setup->guaranteeShapes.size()]};
        const PlanOutcome outcome = m_cluster.preview(GuaranteeIntent{guarantee, false}, m_now);
        const bool accepted = applyEvent(GuaranteeGranted{guarantee}, false);
        if (accepted != outcome.admitted) {
            throw RuleViolation("the preview and the event have different outcomes for guarantee "
                                + guarantee.id.value);
        }
        if (accepted) {
            m_granted.push_back(guarantee);
        }
    } else if (step.action == Action::WithdrawGuarantee && !m_granted.empty()) {
        const std::size_t number = step.first % m_granted.size();
        applyEvent(GuaranteeWithdrawn{m_granted[number].id}, true);
        m_granted.erase(m_granted.begin() + static_cast<std::ptrdiff_t>(number));
    } else if (step.action == Action::ChangeQuota) {
        team.quota = step.second % 4 == 0 ? 0 : 4 * (step.second % 7);
        // The event is refused if the team's guarantees exceed the quota.
        applyEvent(TeamDeclared{team}, false);
    }
}

void HistoryPlayer::playStaleReport(std::uint32_t first)
{
    std::vector<JobId> ids;
    for (const auto &[id, job] : m_checker.jobs()) {
        if (job.fence.value > 0) {
            ids.push_back(id);
        }
    }
    if (ids.empty()) {
        return;
    }
    const JobId id = ids[first % ids.size()];
    const Fence old{m_checker.jobs().at(id).fence.value - 1};
    const std::vector<Event> reports{JobFinished{id, old}, TasksStopped{id, old, true}, TaskFailed{id, old, {}},
                                     GangStarted{id, old}, GangStartFailed{id, old, {}}};
    if (applyEvent(reports[first / 8 % reports.size()], false)) {
        throw RuleViolation("a report about an earlier start of " + id.value + " was accepted");
    }
}

void HistoryPlayer::restoreSnapshot()
{
    Cluster copy = Cluster::deserialize(m_cluster.serialize());
    if (copy.fingerprint() != m_cluster.fingerprint()) {
        throw RuleViolation("a snapshot does not restore the state");
    }
    m_cluster = std::move(copy);
}

void HistoryPlayer::checkViews() const
{
    for (const auto &[id, job] : m_checker.jobs()) {
        const auto view = m_cluster.job(id);
        const bool holding = job.phase == ObservedPhase::Starting || job.phase == ObservedPhase::Running
            || job.phase == ObservedPhase::Stopping;
        if (holding && (!view || view->placements != job.placements || view->fence != job.fence)) {
            throw RuleViolation("the view of job " + id.value + " does not match the commands");
        }
    }
    for (const TeamSpec &team : m_setup->teams) {
        const auto view = m_cluster.team(team.id);
        if (!view || view->heldAccelerators != m_checker.heldBy(team.id)) {
            throw RuleViolation("the view of team " + team.id.value
                                + " does not count the accelerators that the commands assigned");
        }
    }
}

void HistoryPlayer::play(const Step &step)
{
    switch (step.action) {
    case Action::Submit:
        submit(step.first, step.second);
        break;
    case Action::Advance:
        advance(Duration(1 + step.first % 15'000), tickInterval);
        break;
    case Action::Finish:
    case Action::Cancel:
    case Action::Fail:
    case Action::ReportUsage:
        playOnJob(step);
        break;
    case Action::FailNextStart:
        ++m_startsToFail;
        break;
    case Action::LoseWorker:
    case Action::ReturnWorker:
    case Action::DrainWorker:
    case Action::UndrainWorker:
        playOnWorker(step);
        break;
    case Action::GrantGuarantee:
    case Action::WithdrawGuarantee:
    case Action::ChangeQuota:
        playOnTeam(step);
        break;
    case Action::SendStaleReport:
        playStaleReport(step.first);
        break;
    case Action::RestoreSnapshot:
        restoreSnapshot();
        break;
    }
    checkViews();
}

bool HistoryPlayer::canRun(const ClusterChecker::Job &job) const
{
    const std::uint32_t quota = m_checker.quotaOf(job.spec.team);
    return (quota == 0 || acceleratorCount(job.spec.shape) <= quota)
        && allFit(job.spec.shape.parts, m_checker.hardware(false));
}

void HistoryPlayer::finish()
{
    m_startsToFail = 0;
    m_checker.setSlack(finishClaimSlack);
    for (const WorkerSpec &worker : m_setup->workers) {
        playOnWorker({Action::ReturnWorker, static_cast<std::uint32_t>(&worker - m_setup->workers.data()), 0});
        playOnWorker({Action::UndrainWorker, static_cast<std::uint32_t>(&worker - m_setup->workers.data()), 0});
    }
    const std::size_t rounds = 2 * m_checker.jobs().size() + 30;
    for (std::size_t round = 0; round < rounds; ++round) {
        advance(2min, finishTickInterval);
        const std::vector<JobId> running = jobsIn({ObservedPhase::Running});
        for (const JobId &id : running) {
            const ClusterChecker::Job &job = m_checker.jobs().at(id);
            if (job.phase == ObservedPhase::Running) {
                applyEvent(JobFinished{id, job.fence}, true);
            }
        }
        const auto &jobs = m_checker.jobs();
        if (std::none_of(jobs.begin(), jobs.end(), [this](const auto &entry) {
                const ObservedPhase phase = entry.second.phase;
                return phase != ObservedPhase::Ended && phase != ObservedPhase::Parked
                    && (phase != ObservedPhase::Waiting || canRun(entry.second));
            })) {
            return;
        }
    }
    for (const auto &[id, job] : m_checker.jobs()) {
        if (job.phase != ObservedPhase::Ended && job.phase != ObservedPhase::Parked && canRun(job)) {
            throw RuleViolation("job " + id.value + " fits the cluster but never finished");
        }
    }
}

void HistoryPlayer::setTrace(std::ostream &out)
{
    m_trace = &out;
}

std::uint64_t HistoryPlayer::acceptedEvents() const
{
    return m_acceptedEvents;
}

const ClusterChecker &HistoryPlayer::checker() const
{
    return m_checker;
}

std::vector<Step> randomHistory(std::uint64_t seed, std::size_t length)
{
    std::mt19937_64 random(seed);
    // In the order of the enumerators of Action.
    const std::array<double, actionCount> weights{30, 25, 12, 5, 2, 1, 2, 3, 1, 2, 6, 0.7, 0.7, 2, 2, 1};
    std::array<double, actionCount> stableClusterWeights = weights;
    for (const Action action : {Action::Fail, Action::FailNextStart, Action::LoseWorker, Action::DrainWorker,
                                Action::WithdrawGuarantee, Action::ChangeQuota}) {
        stableClusterWeights.at(static_cast<std::size_t>(action)) = 0.0;
    }
    // Half of the histories do not change the hardware, so that the stricter rules for guarantees apply throughout.
    const auto &chosen = seed % 2 == 0 ? stableClusterWeights : weights;
    std::discrete_distribution<std::uint32_t> actions(chosen.begin(), chosen.end());
    std::uniform_int_distribution<std::uint32_t> numbers(0, 100'000);
    std::vector<Step> history;
    for (std::size_t i = 0; i < length; ++i) {
        const auto action = static_cast<Action>(actions(random));
        const std::uint32_t first = numbers(random);
        history.push_back({action, first, numbers(random)});
    }
    return history;
}

std::string traceHistory(const HistorySetup &setup, const std::vector<Step> &history, std::uint64_t seed)
{
    std::ostringstream out;
    HistoryPlayer player(setup, seed);
    player.setTrace(out);
    try {
        for (const Step &step : history) {
            player.play(step);
        }
        player.finish();
    } catch (const RuleViolation &violation) {
        out << violation.what() << '\n';
    }
    return out.str();
}

std::string playHistory(const HistorySetup &setup, const std::vector<Step> &history, std::uint64_t seed)
{
    try {
        HistoryPlayer player(setup, seed);
        for (const Step &step : history) {
            player.play(step);
        }
        player.finish();
    } catch (const RuleViolation &violation) {
        return violation.what();
    }
    return {};
}

std::vector<Step> shrinkHistory(const HistorySetup &setup, std::vector<Step> history, std::uint64_t seed)
{
    const std::string rule = withoutDigits(playHistory(setup, history, seed));
    for (std::size_t chunk = std::max<std::size_t>(1, history.size() / 2); chunk > 0; chunk /= 2) {
        for (std::size_t first = 0; first < history.size();) {
            std::vector<Step> shorter = history;
            const auto begin = shorter.begin() + static_cast<std::ptrdiff_t>(first);
            shorter.erase(begin, begin + static_cast<std::ptrdiff_t>(std::min(chunk, history.size() - first)));
            if (withoutDigits(playHistory(setup, shorter, seed)) == rule) {
                history = shorter;
            } else {
                first += chunk;
            }
        }
    }
    return history;
}

} // namespace heatherquay::tests
