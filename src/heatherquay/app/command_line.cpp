#include "heatherquay/app/command_line.hpp"

#include "heatherquay/app/entry.hpp"
#include "heatherquay/app/exit_code.hpp"
#include "heatherquay/app/log_reader.hpp"
#include "heatherquay/app/operator_client.hpp"
#include "heatherquay/app/operator_views.hpp"
#include "heatherquay/app/settings_parser.hpp"
#include "heatherquay/app/shape_argument.hpp"
#include "heatherquay/error.hpp"
#include "heatherquay/protocol/event_codec.hpp"
#include "heatherquay/protocol/outcome.hpp"
#include "heatherquay/state/units.hpp"
#include "heatherquay/transport/log.hpp"

#include <fstream>
#include <functional>
#include <iostream>
#include <optional>

#include <boost/json.hpp>

#include <CLI/CLI.hpp>

namespace heatherquay::app
{

namespace detail
{

constexpr const char *footer = "Exit codes: 0 done, 1 refused and nothing changed, 2 wrong command line, 3 no entry "
                               "answered and nothing changed, 4 outcome unknown.";

/// Everything the command line can say.
struct Arguments
{
    OperatorAccess access;
    std::string timeout{"10s"};
    bool json{};
    std::string configFile;
    std::string planId;
    std::string jobId;
    std::vector<std::string> logFiles;
    state::TeamIntent team;
    state::GuaranteeIntent guarantee;
    state::JobIntent job;
    state::CancelIntent cancel;
    state::SettingIntent setting;
    std::vector<std::string> shape;
    std::string runTime{"1h"};
    std::string drainWorker;
    std::string drainEndpoint;
    bool readmit{};
    bool noGuarantee{};
};

/// Builds the parser, runs the chosen command and maps errors to exit codes.
class CommandLine
{
public:
    CommandLine(std::ostream &out, std::ostream &err, const PlatformService &platform);
    int run(int argc, const char *const *argv);

private:
    using View = void (*)(const std::string &, std::ostream &);

    void addServing();
    void addExplain();
    ExitCode explain();
    void addReading();
    void addPlanning();
    CLI::App *addIntent(CLI::App *plan, const char *name, const char *help, std::function<state::Intent()> intent);
    void addAccess(CLI::App *command);
    void addRead(const char *name, const char *help, const char *target, View view);
    ExitCode execute();
    ExitCode call(const std::string &method, const std::string &target, const std::string &body, View view);
    ExitCode plan(const state::Intent &intent);
    state::Intent drainIntent() const;
    ExitCode report(const Error &error);

    std::ostream &m_out;
    std::ostream &m_err;
    const PlatformService &m_platform;
    Arguments m_arguments;
    CLI::App m_app{"heatherquay: a scheduler for multi-accelerator jobs under team guarantees, and a request router."};
    std::function<ExitCode()> m_action;
};

ExitCode exitCodeFor(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::Unavailable:
    case ErrorKind::Timeout:
        return ExitCode::Unreachable;
    case ErrorKind::OutcomeUnknown:
        return ExitCode::OutcomeUnknown;
    default:
        return ExitCode::Refused;
    }
}

CommandLine::CommandLine(std::ostream &out, std::ostream &err, const PlatformService &platform)
    : m_out(out)
    , m_err(err)
    , m_platform(platform)
{
    m_app.require_subcommand(1);
    m_app.footer(footer);
    m_app.set_version_flag("--version", std::string("heatherquay " HEATHERQUAY_VERSION));
    addServing();
    addExplain();
    addReading();
    addPlanning();
}

void CommandLine::addAccess(CLI::App *command)
{
    command->add_option("--operator", m_arguments.access.address, "IP number and port of an entry's operator interface")
        ->envname("HEATHERQUAY_OPERATOR")
        ->required();
    command->add_option("--token", m_arguments.access.token, "Operator token")
        ->envname("HEATHERQUAY_TOKEN")
        ->required();
    command->add_option("--timeout", m_arguments.timeout, "Longest wait for the answer, such as 500ms or 10s")
        ->capture_default_str();
    command->add_flag("--json", m_arguments.json, "Print the entry's answer as JSON");
    command->footer(footer);
}

void CommandLine::addServing()
{
    auto *serve = m_app.add_subcommand("serve", "Run an entry until SIGTERM");
    auto *config = serve->add_option("--config", m_arguments.configFile, "Settings file (TOML)");
    if (m_platform.settingsPath.empty()) {
        config->required();
    }
    serve->footer(footer);
    serve->callback([this] {
        m_action = [this] {
            if (m_arguments.configFile.empty()) {
                transport::configureLog("info");
                return static_cast<ExitCode>(m_platform.run(m_platform.settingsPath));
            }
            const state::EntrySettings settings = readSettings(m_arguments.configFile);
            transport::configureLog(settings.logLevel);
            return static_cast<ExitCode>(runEntry(settings));
        };
    });
    auto *check = m_app.add_subcommand("check-config", "Check a settings file and report every fault");
    check->add_option("FILE", m_arguments.configFile, "Settings file (TOML)")->required();
    check->footer(footer);
    check->callback([this] {
        m_action = [this] {
            const state::EntrySettings settings = readSettings(m_arguments.configFile);
            m_out << m_arguments.configFile << ": valid; entry " << settings.id << ", " << settings.services.size()
                  << " services, " << settings.teams.size() << " teams, " << settings.operators.size()
                  << " operators\n";
            return ExitCode::Ok;
        };
    });
}

void CommandLine::addExplain()
{
    auto *command = m_app.add_subcommand("explain", "Print one job's history from the logs of all processes");
    command->add_option("ID", m_arguments.jobId, "Id of the job")->required();
    command->add_option("FILE", m_arguments.logFiles, "Log files; standard input when none is given");
    command->add_flag("--json", m_arguments.json, "Print the history as JSON");
    command->footer(footer);
    command->callback([this] {
        m_action = [this] {
            return explain();
        };
    });
}

ExitCode CommandLine::explain()
{
    std::vector<LogLine> lines;
    for (const std::string &path : m_arguments.logFiles) {
        std::ifstream file(path);
        if (!file) {
            throw Error(ErrorKind::NotFound, "cannot read " + path, "name the log file of a process");
        }
        const std::vector<LogLine> read = readLog(file, path);
        lines.insert(lines.end(), read.begin(), read.end());
    }
    if (m_arguments.logFiles.empty()) {
        lines = readLog(std::cin, "-");
    }
    const std::vector<LogLine> history = historyOf(m_arguments.jobId, std::move(lines));
    if (m_arguments.json) {
        m_out << toJson(history) << '\n';
    } else {
        for (const LogLine &line : history) {
            m_out << toText(line) << '\n';
        }
    }
    if (history.empty()) {
        throw Error(ErrorKind::NotFound, "no line names job " + m_arguments.jobId,
                    "give the logs of all processes from before the job was handed in");
    }
    return ExitCode::Ok;
}

void CommandLine::addRead(const char *name, const char *help, const char *target, View view)
{
    auto *command = m_app.add_subcommand(name, help);
    addAccess(command);
    command->callback([this, target, view] {
        m_action = [this, target, view] {
            return call("GET", target, {}, view);
        };
    });
}

void CommandLine::addReading()
{
    addRead("status", "Entry, members and totals", "/v1/status", printStatus);
    addRead("teams", "Teams with shares, quotas and guarantees", "/v1/teams", printTeams);
    addRead("workers", "Workers with phase and busy accelerators", "/v1/workers", printWorkers);
    auto *jobs = m_app.add_subcommand("jobs", "All jobs, or one with its placements");
    jobs->add_option("ID", m_arguments.jobId, "Job");
    addAccess(jobs);
    jobs->callback([this] {
        m_action = [this] {
            return m_arguments.jobId.empty() ? call("GET", "/v1/jobs", {}, printJobs)
                                             : call("GET", "/v1/jobs/" + m_arguments.jobId, {}, printJob);
        };
    });
    auto *reports = m_app.add_subcommand("report", "Reports over all entries");
    reports->require_subcommand(1);
    auto *burn = reports->add_subcommand("burn", "Service-level burn rates; see docs/burn.md");
    addAccess(burn);
    burn->callback([this] {
        m_action = [this] {
            return call("GET", "/v1/burn", {}, printBurn);
        };
    });
}

CLI::App *CommandLine::addIntent(CLI::App *plan, const char *name, const char *help,
                                 std::function<state::Intent()> intent)
{
    auto *command = plan->add_subcommand(name, help);
    addAccess(command);
    command->callback([this, intent] {
        m_action = [this, intent] {
            return this->plan(intent());
        };
    });
    return command;
}

void CommandLine::addPlanning()
{
    Arguments &args = m_arguments;
    auto *plans = m_app.add_subcommand("plan", "Say what an intent would change; nothing takes effect before confirm");
    plans->require_subcommand(1);
    const char *shapeHelp = "Parts COUNT[xKIND[/KIND]][@ADJACENCY], such as 8xa100@rack; adjacency is none, worker, "
                            "rack, failure-domain or region";

    auto *team = addIntent(plans, "team", "Declare or change a team", [&args] {
        return state::Intent(args.team);
    });
    team->add_option("ID", args.team.team.id.value, "Team")->required();
    team->add_option("--share", args.team.team.share, "Weight in the fair shares of free accelerators")
        ->capture_default_str();
    team->add_option("--quota", args.team.team.quota, "Most accelerators the team may hold; 0 sets no bound")
        ->capture_default_str();

    auto *guarantee = addIntent(plans, "guarantee", "Grant or withdraw a guaranteed shape", [&args] {
        args.guarantee.guarantee.shape = parseShape(args.shape);
        return state::Intent(args.guarantee);
    });
    guarantee->add_option("ID", args.guarantee.guarantee.id.value, "Guarantee")->required();
    auto *withdraw = guarantee->add_flag("--withdraw", args.guarantee.withdraw, "Withdraw the guarantee");
    guarantee->add_option("--team", args.guarantee.guarantee.team.value, "Team")->excludes(withdraw);
    guarantee->add_option("--shape", args.shape, shapeHelp)->allow_extra_args(false)->excludes(withdraw);

    auto *job = addIntent(plans, "job", "Submit a job", [&args] {
        args.job.job.shape = parseShape(args.shape);
        args.job.job.declaredRunTime = state::parseDuration(args.runTime);
        args.job.job.useGuarantee = !args.noGuarantee;
        return state::Intent(args.job);
    });
    job->add_option("ID", args.job.job.id.value, "Job")->required();
    job->add_option("--team", args.job.job.team.value, "Team")->required();
    job->add_option("--shape", args.shape, shapeHelp)->allow_extra_args(false)->required();
    job->add_flag("--urgent", args.job.job.urgent, "Start within 1.6 s on the team's guarantee");
    job->add_flag("--no-guarantee", args.noGuarantee, "Only borrow, never claim the team's guarantee");
    job->add_option("--run-time", args.runTime, "Expected run time, such as 90min")->capture_default_str();
    job->add_option("--class", args.job.job.jobClass, "Jobs of one class are expected to behave alike");
    job->add_option("--command", args.job.job.command, "Passed to the workers unchanged");

    auto *cancel = addIntent(plans, "cancel", "Cancel a job", [&args] {
        return state::Intent(args.cancel);
    });
    cancel->add_option("ID", args.cancel.job.value, "Job")->required();

    auto *drain = addIntent(plans, "drain", "Give a worker or an endpoint no new work", [this] {
        return drainIntent();
    });
    auto *worker = drain->add_option("--worker", args.drainWorker, "Worker");
    drain->add_option("--endpoint", args.drainEndpoint, "SERVICE=IP:PORT")->excludes(worker);
    drain->add_flag("--readmit", args.readmit, "End a drain");

    auto *setting = addIntent(plans, "setting", "Change a setting on all entries", [&args] {
        return state::Intent(args.setting);
    });
    setting->add_option("KEY", args.setting.setting.key, "Key, such as policy.reclaim_grace")->required();
    setting->add_option("VALUE", args.setting.setting.value, "Value, such as 20s")->required();

    auto *confirm = m_app.add_subcommand("confirm", "Commit a plan; sending it again is safe");
    confirm->add_option("ID", args.planId, "Plan")->required();
    addAccess(confirm);
    confirm->callback([this] {
        m_action = [this] {
            return call("POST", "/v1/plans/" + m_arguments.planId + "/confirm", {}, printConfirmation);
        };
    });
}

state::Intent CommandLine::drainIntent() const
{
    state::DrainIntent intent;
    intent.draining = !m_arguments.readmit;
    if (!m_arguments.drainWorker.empty()) {
        intent.worker = state::WorkerId{m_arguments.drainWorker};
        return intent;
    }
    const std::size_t equals = m_arguments.drainEndpoint.find('=');
    if (equals == std::string::npos) {
        throw Error(ErrorKind::BadInput, "neither a worker nor an endpoint is named",
                    "write --worker ID or --endpoint SERVICE=IP:PORT");
    }
    intent.service = state::ServiceId{m_arguments.drainEndpoint.substr(0, equals)};
    intent.endpoint = m_arguments.drainEndpoint.substr(equals + 1);
    return intent;
}

ExitCode CommandLine::call(const std::string &method, const std::string &target, const std::string &body, View view)
{
    m_arguments.access.timeout = state::parseDuration(m_arguments.timeout);
    const transport::HttpResponse response = callOperator(m_arguments.access, method, target, body);
    if (response.status >= 300) {
        const bool unknown
            = response.fields.get(protocol::outcomeField) == protocol::toString(protocol::Outcome::Unknown);
        if (m_arguments.json) {
            m_out << response.body << '\n';
        }
        m_err << "heatherquay: " << describeProblem(response.body) << " (status " << response.status << ")\n";
        return unknown ? ExitCode::OutcomeUnknown : ExitCode::Refused;
    }
    if (m_arguments.json) {
        m_out << response.body << '\n';
    } else {
        view(response.body, m_out);
    }
    return ExitCode::Ok;
}

ExitCode CommandLine::plan(const state::Intent &intent)
{
    bool admitted = false;
    const std::string body = protocol::encode(intent);
    m_arguments.access.timeout = state::parseDuration(m_arguments.timeout);
    // A plan without confirmation changes nothing, so a lost answer is not an unknown outcome.
    try {
        const transport::HttpResponse response = callOperator(m_arguments.access, "POST", "/v1/plans", body);
        if (response.status >= 300) {
            m_err << "heatherquay: " << describeProblem(response.body) << " (status " << response.status << ")\n";
            return ExitCode::Refused;
        }
        if (m_arguments.json) {
            m_out << response.body << '\n';
        } else {
            printPlan(response.body, m_out);
        }
        boost::system::error_code failure;
        const boost::json::value answer = boost::json::parse(response.body, failure);
        const boost::json::value *flag = answer.is_object() ? answer.get_object().if_contains("admitted") : nullptr;
        admitted = flag && flag->is_bool() && flag->get_bool();
    } catch (const Error &error) {
        if (error.kind() != ErrorKind::OutcomeUnknown) {
            throw;
        }
        throw Error(ErrorKind::Unavailable, "no answer from " + m_arguments.access.address + "; nothing has changed",
                    "ask for the plan again");
    }
    return admitted ? ExitCode::Ok : ExitCode::Refused;
}

ExitCode CommandLine::report(const Error &error)
{
    m_err << "heatherquay: " << error.what() << '\n';
    return exitCodeFor(error.kind());
}

ExitCode CommandLine::execute()
{
    try {
        return m_action ? m_action() : ExitCode::Usage;
    } catch (const Error &error) {
        return report(error);
    } catch (const std::exception &error) {
        m_err << "heatherquay: " << error.what() << '\n';
        return ExitCode::Refused;
    }
}

int CommandLine::run(int argc, const char *const *argv)
{
    try {
        m_app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        const bool wanted = m_app.exit(error, m_out, m_err) == 0;
        return static_cast<int>(wanted ? ExitCode::Ok : ExitCode::Usage);
    }
    return static_cast<int>(execute());
}

} // namespace detail

int runCommandLine(int argc, const char *const *argv, std::ostream &out, std::ostream &err,
                   const PlatformService &platform)
{
    return detail::CommandLine(out, err, platform).run(argc, argv);
}

} // namespace heatherquay::app
