#include "heatherquay/app/command_line.hpp"

#include "heatherquay/app/entry.hpp"
#include "heatherquay/app/exit_code.hpp"
#include "heatherquay/app/job_account.hpp"
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

constexpr const char *footer = "Exit codes: 0 success, 1 rejected and nothing changed, 2 invalid command line, 3 no "
                               "entry responded and nothing changed, 4 outcome unknown.";

/// Values of all options and positional arguments.
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

/// Defines the subcommands, runs the selected one and maps errors to exit codes.
class CommandLine
{
public:
    CommandLine(std::ostream &out, std::ostream &err, const PlatformService &platform);
    int run(int argc, const char *const *argv);

private:
    using PrintFunction = void (*)(const std::string &, std::ostream &);

    void addServeCommands();
    void addExplainCommand();
    ExitCode explain();
    void addAccountCommand();
    /// @return the lines of the log files, or of standard input. @throws Error if a file cannot be read
    std::vector<LogLine> readLogs() const;
    void addQueryCommands();
    void addPlanCommands();
    /// Adds a subcommand of `plan`. @param intent returns the intent from the parsed arguments
    CLI::App *addIntentCommand(CLI::App *plan, const char *name, const char *help,
                               std::function<state::Intent()> intent);
    void addOperatorOptions(CLI::App *command);
    /// Adds a subcommand that reads @p target from the operator interface.
    void addQueryCommand(const char *name, const char *help, const char *target, PrintFunction print);
    ExitCode runAction();
    /// Sends a request to the operator interface and prints the response with @p print, or as JSON with --json.
    ExitCode sendAndPrint(const std::string &method, const std::string &target, const std::string &body,
                          PrintFunction print);
    /// Requests a plan for the intent and prints it. @return Refused if the plan is not admitted
    ExitCode requestPlan(const state::Intent &intent);
    state::Intent drainIntent() const;
    /// Prints the error message. @return the exit code of the error
    ExitCode printError(const Error &error);

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
    addServeCommands();
    addExplainCommand();
    addAccountCommand();
    addQueryCommands();
    addPlanCommands();
}

void CommandLine::addOperatorOptions(CLI::App *command)
{
    command
        ->add_option("--operator", m_arguments.access.address, "IP address and port of an entry's operator interface")
        ->envname("HEATHERQUAY_OPERATOR")
        ->required();
    command->add_option("--token", m_arguments.access.token, "Operator token")
        ->envname("HEATHERQUAY_TOKEN")
        ->required();
    command->add_option("--timeout", m_arguments.timeout, "Maximum time to wait for the response, such as 500ms or 10s")
        ->capture_default_str();
    command->add_flag("--json", m_arguments.json, "Print the entry's response as JSON");
    command->footer(footer);
}

void CommandLine::addServeCommands()
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
    auto *check = m_app.add_subcommand("check-config", "Check a settings file and report all errors");
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

void CommandLine::addExplainCommand()
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

void CommandLine::addAccountCommand()
{
    auto *command = m_app.add_subcommand(
        "account", "Print why jobs were late and whose work was lost, from the logs of all processes");
    command->add_option("FILE", m_arguments.logFiles, "Log files; standard input when none is given");
    command->add_flag("--json", m_arguments.json, "Print the account as JSON");
    command->footer(footer);
    command->callback([this] {
        m_action = [this] {
            const Account account = accountJobs(readLogs());
            if (m_arguments.json) {
                m_out << toJson(account) << '\n';
            } else {
                printAccount(account, m_out);
            }
            return ExitCode::Ok;
        };
    });
}

std::vector<LogLine> CommandLine::readLogs() const
{
    std::vector<LogLine> lines;
    for (const std::string &path : m_arguments.logFiles) {
        std::ifstream file(path);
        if (!file) {
            throw Error(ErrorKind::NotFound, "cannot read " + path, "pass the path of a readable log file");
        }
        const std::vector<LogLine> read = readLog(file, path);
        lines.insert(lines.end(), read.begin(), read.end());
    }
    if (m_arguments.logFiles.empty()) {
        lines = readLog(std::cin, "-");
    }
    return lines;
}

ExitCode CommandLine::explain()
{
    const std::vector<LogLine> history = jobHistory(m_arguments.jobId, readLogs());
    if (m_arguments.json) {
        m_out << toJson(history) << '\n';
    } else {
        for (const LogLine &line : history) {
            m_out << toText(line) << '\n';
        }
    }
    if (history.empty()) {
        throw Error(ErrorKind::NotFound, "no log line mentions job " + m_arguments.jobId,
                    "pass the logs of all processes, starting before the job was submitted");
    }
    return ExitCode::Ok;
}

void CommandLine::addQueryCommand(const char *name, const char *help, const char *target, PrintFunction print)
{
    auto *command = m_app.add_subcommand(name, help);
    addOperatorOptions(command);
    command->callback([this, target, print] {
        m_action = [this, target, print] {
            return sendAndPrint("GET", target, {}, print);
        };
    });
}

void CommandLine::addQueryCommands()
{
    addQueryCommand("status", "Entry, members and totals", "/v1/status", printStatus);
    addQueryCommand("teams", "Teams with shares, quotas and guarantees", "/v1/teams", printTeams);
    addQueryCommand("workers", "Workers with phase and busy accelerators", "/v1/workers", printWorkers);
    auto *jobs = m_app.add_subcommand("jobs", "All jobs, or one with its placements");
    jobs->add_option("ID", m_arguments.jobId, "Job");
    addOperatorOptions(jobs);
    jobs->callback([this] {
        m_action = [this] {
            return m_arguments.jobId.empty() ? sendAndPrint("GET", "/v1/jobs", {}, printJobs)
                                             : sendAndPrint("GET", "/v1/jobs/" + m_arguments.jobId, {}, printJob);
        };
    });
    auto *reports = m_app.add_subcommand("report", "Reports over all entries");
    reports->require_subcommand(1);
    auto *burn = reports->add_subcommand("burn", "Service-level burn rates; see docs/burn.md");
    addOperatorOptions(burn);
    burn->callback([this] {
        m_action = [this] {
            return sendAndPrint("GET", "/v1/burn", {}, printBurn);
        };
    });
}

CLI::App *CommandLine::addIntentCommand(CLI::App *plan, const char *name, const char *help,
                                        std::function<state::Intent()> intent)
{
    auto *command = plan->add_subcommand(name, help);
    addOperatorOptions(command);
    command->callback([this, intent] {
        m_action = [this, intent] {
            return this->requestPlan(intent());
        };
    });
    return command;
}

void CommandLine::addPlanCommands()
{
    Arguments &args = m_arguments;
    auto *plans = m_app.add_subcommand("plan", "Show what an intent would change; only 'confirm' applies the plan");
    plans->require_subcommand(1);
    const char *shapeHelp = "Parts COUNT[xKIND[/KIND]][@ADJACENCY], such as 8xa100@rack; adjacency is none, worker, "
                            "rack, failure-domain or region";

    auto *team = addIntentCommand(plans, "team", "Declare or change a team", [&args] {
        return state::Intent(args.team);
    });
    team->add_option("ID", args.team.team.id.value, "Team")->required();
    team->add_option("--share", args.team.team.share, "Weight in the fair shares of free accelerators")
        ->capture_default_str();
    team->add_option("--quota", args.team.team.quota,
                     "Maximum number of accelerators the team may hold; 0 means no limit")
        ->capture_default_str();

    auto *guarantee = addIntentCommand(plans, "guarantee", "Grant or withdraw a guaranteed shape", [&args] {
        args.guarantee.guarantee.shape = parseShape(args.shape);
        return state::Intent(args.guarantee);
    });
    guarantee->add_option("ID", args.guarantee.guarantee.id.value, "Guarantee")->required();
    auto *withdraw = guarantee->add_flag("--withdraw", args.guarantee.withdraw, "Withdraw the guarantee");
    guarantee->add_option("--team", args.guarantee.guarantee.team.value, "Team")->excludes(withdraw);
    guarantee->add_option("--shape", args.shape, shapeHelp)->allow_extra_args(false)->excludes(withdraw);

    auto *job = addIntentCommand(plans, "job", "Submit a job", [&args] {
        args.job.job.shape = parseShape(args.shape);
        args.job.job.declaredRunTime = state::parseDuration(args.runTime);
        args.job.job.useGuarantee = !args.noGuarantee;
        return state::Intent(args.job);
    });
    job->add_option("ID", args.job.job.id.value, "Job")->required();
    job->add_option("--team", args.job.job.team.value, "Team")->required();
    job->add_option("--shape", args.shape, shapeHelp)->allow_extra_args(false)->required();
    job->add_flag("--urgent", args.job.job.urgent, "Start within 1.6 s on the team's guarantee");
    job->add_flag("--no-guarantee", args.noGuarantee, "Use borrowed accelerators only, never the team's guarantee");
    job->add_option("--run-time", args.runTime, "Expected run time, such as 90min")->capture_default_str();
    job->add_option("--class", args.job.job.jobClass, "Job class; jobs of one class are expected to perform alike");
    job->add_option("--command", args.job.job.command, "Passed to the workers unchanged");

    auto *cancel = addIntentCommand(plans, "cancel", "Cancel a job", [&args] {
        return state::Intent(args.cancel);
    });
    cancel->add_option("ID", args.cancel.job.value, "Job")->required();

    auto *drain
        = addIntentCommand(plans, "drain", "Drain a worker or an endpoint, so that it receives no new work", [this] {
              return drainIntent();
          });
    auto *worker = drain->add_option("--worker", args.drainWorker, "Worker");
    drain->add_option("--endpoint", args.drainEndpoint, "SERVICE=IP:PORT")->excludes(worker);
    drain->add_flag("--readmit", args.readmit, "End the drain");

    auto *setting = addIntentCommand(plans, "setting", "Change a setting on all entries", [&args] {
        return state::Intent(args.setting);
    });
    setting->add_option("KEY", args.setting.setting.key, "Key, such as policy.reclaim_grace")->required();
    setting->add_option("VALUE", args.setting.setting.value, "Value, such as 20s")->required();

    auto *confirm = m_app.add_subcommand("confirm", "Commit a plan; repeating the command is safe");
    confirm->add_option("ID", args.planId, "Plan")->required();
    addOperatorOptions(confirm);
    confirm->callback([this] {
        m_action = [this] {
            return sendAndPrint("POST", "/v1/plans/" + m_arguments.planId + "/confirm", {}, printConfirmation);
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
        throw Error(ErrorKind::BadInput, "neither --worker nor a well-formed --endpoint is given",
                    "write --worker ID or --endpoint SERVICE=IP:PORT");
    }
    intent.service = state::ServiceId{m_arguments.drainEndpoint.substr(0, equals)};
    intent.endpoint = m_arguments.drainEndpoint.substr(equals + 1);
    return intent;
}

ExitCode CommandLine::sendAndPrint(const std::string &method, const std::string &target, const std::string &body,
                                   PrintFunction print)
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
        print(response.body, m_out);
    }
    return ExitCode::Ok;
}

ExitCode CommandLine::requestPlan(const state::Intent &intent)
{
    bool admitted = false;
    const std::string body = protocol::encode(intent);
    m_arguments.access.timeout = state::parseDuration(m_arguments.timeout);
    // An unconfirmed plan changes nothing, so a lost response does not make the outcome unknown.
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
        const boost::json::value document = boost::json::parse(response.body, failure);
        const boost::json::value *admittedField
            = document.is_object() ? document.get_object().if_contains("admitted") : nullptr;
        admitted = admittedField && admittedField->is_bool() && admittedField->get_bool();
    } catch (const Error &error) {
        if (error.kind() != ErrorKind::OutcomeUnknown) {
            throw;
        }
        throw Error(ErrorKind::Unavailable, "no response from " + m_arguments.access.address + "; nothing has changed",
                    "request the plan again");
    }
    return admitted ? ExitCode::Ok : ExitCode::Refused;
}

ExitCode CommandLine::printError(const Error &error)
{
    m_err << "heatherquay: " << error.what() << '\n';
    return exitCodeFor(error.kind());
}

ExitCode CommandLine::runAction()
{
    try {
        return m_action ? m_action() : ExitCode::Usage;
    } catch (const Error &error) {
        return printError(error);
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
        const bool succeeded = m_app.exit(error, m_out, m_err) == 0;
        return static_cast<int>(succeeded ? ExitCode::Ok : ExitCode::Usage);
    }
    return static_cast<int>(runAction());
}

} // namespace detail

int runCommandLine(int argc, const char *const *argv, std::ostream &out, std::ostream &err,
                   const PlatformService &platform)
{
    return detail::CommandLine(out, err, platform).run(argc, argv);
}

} // namespace heatherquay::app
