#pragma once

// Starts the processes of the system as the platform does, and the checks that the cases share.

#include "platform.hpp"

#include <csignal>
#include <filesystem>
#include <iostream>
#include <sstream>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review
{

// Figures of the site file tanoa-shared-grown.
/// Size of a machine.
struct MachineSize
{
    const char *cpuShare;
    std::int64_t memoryMb;
    int fileDescriptors;
    const char *linkMbps;
};
constexpr MachineSize largeMachine{"0.5", 512, 8'192, "200.0"};
constexpr MachineSize middleMachine{"0.3", 400, 10'250, "10.0"};
constexpr MachineSize smallMachine{"0.09", 120, 3'075, "10.0"};
constexpr std::int64_t leaseMaxMs = 10'000; // maxHoldMs
constexpr Millis finishTime{14'000}; // finish_s
constexpr std::int64_t runnerCpu = 128'000;

inline std::uint16_t freePort(const std::string &ip)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = socketAddress(ip, 0);
    if (::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        throw std::runtime_error("no free port on " + ip);
    }
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    ::close(fd);
    return ntohs(address.sin_port);
}

/// A machine of the class frontend with its one process, `target/heatherquay serve`.
class Node
{
public:
    Node(Record &record, std::string name, std::string ip, std::string zone, MachineSize size,
         std::filesystem::path folder)
        : m_record(record)
        , m_name(std::move(name))
        , m_ip(std::move(ip))
        , m_zone(std::move(zone))
        , m_size(size)
        , m_folder(std::move(folder))
    {
        const auto newAddress = [this] {
            return m_ip + ":" + std::to_string(freePort(m_ip));
        };
        front = newAddress();
        ready = newAddress();
        control = newAddress();
    }
    ~Node()
    {
        end();
    }
    void writeSettings(const std::string &storeAddress, const std::vector<std::string> &seeds)
    {
        std::string list;
        for (const std::string &seed : seeds) {
            list += (list.empty() ? "\"" : ",\"") + seed + "\"";
        }
        std::ofstream file(m_folder / (m_name + ".toml"));
        file << "node = \"" << m_name << "\"\nrole = \"entry\"\nmachineClass = \"frontend\"\n"
             << "serves = [\"frontend\",\"control\"]\nip = \"" << m_ip << "\"\nzone = \"" << m_zone
             << "\"\nregion = \"viti\"\ninternalPorts = [7000,7015]\nseeds = [" << list
             << "]\nbootstrap = true\nincludeInTolerance = false\ndiscovery = \"platform\"\nentry = \"virtual_ip\"\n"
             << "heartbeatMs = 1500\ncontrolMode = \"invocation\"\n[zones]\n"
             << m_zone << " = \"viti\"\n[listen]\n"
             << "front = \"" << front << "\"\nready = \"" << ready << "\"\ncontrol = \"" << control << "\"\n"
             << "[limits]\ncpuShare = " << m_size.cpuShare << "\ncores = 1\nmemoryMb = " << m_size.memoryMb
             << "\nfileDescriptors = " << m_size.fileDescriptors << "\nlinkMbps = " << m_size.linkMbps
             << "\ndiskMb = 0\n[tolerate]\nmachines = 1\nzones = 0\n"
             << "regions = 0\n[bounds]\ncontactMs = 4000\nackTimeoutMs = 6000\ndrainMs = 3000\ngraceS = 6\n"
             << "configApplyMs = 3000\nrecoveryS = 15\nmaxHoldMs = " << leaseMaxMs << "\nstopTimeoutMs = 200"
             << "\ngangTimeoutMs = 4000\ncancel_ms = 4000\nvisible_ms = 3000\nfinish_s = 14\nstatus_s = 120\n"
             << "checkpointS = 1\nrestoreMs = 250\nleaseMs = 3000\n[platform]\naddress = \"" << storeAddress
             << "\"\nform = \"table\"\nwritesPerS = 1200\nreadsPerS = 6000\ntransactionMs = 3.0\n"
             << "partitionWritesS = 300\nrowBytes = 65536\nacross = true\nhistoryS = 20\n";
    }
    void begin()
    {
        const std::string settings = m_folder / (m_name + ".toml");
        const std::string log = m_folder / (m_name + ".log");
        const pid_t parent = ::getpid();
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // Ends with the script, however that ends.
            if (::getppid() != parent) {
                ::_exit(1);
            }
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(out, STDOUT_FILENO);
            ::dup2(out, STDERR_FILENO);
            ::setenv("HEATHERQUAY_NODE_FILE", settings.c_str(), 1);
            ::execl("target/heatherquay", "target/heatherquay", "serve", nullptr);
            ::_exit(127);
        }
        m_record.line("node " + m_name + " starts");
    }
    void signal(int number) const
    {
        if (m_pid > 0) {
            ::kill(m_pid, number);
        }
    }
    void end()
    {
        if (m_pid > 0) {
            ::kill(m_pid, SIGKILL);
            ::waitpid(m_pid, nullptr, 0);
            m_pid = 0;
        }
    }
    /// @return whether the process has ended by itself
    bool hasEnded()
    {
        if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
            m_pid = 0;
            return true;
        }
        return false;
    }
    std::int64_t memoryMb() const
    {
        std::ifstream status("/proc/" + std::to_string(m_pid) + "/statm");
        std::int64_t size = 0;
        std::int64_t resident = 0;
        status >> size >> resident;
        return resident * ::sysconf(_SC_PAGESIZE) / (1024 * 1024);
    }
    const std::string &name() const
    {
        return m_name;
    }
    std::int64_t memoryLimitMb() const
    {
        return m_size.memoryMb;
    }

    std::string front;
    std::string ready;
    std::string control;

private:
    Record &m_record;
    std::string m_name;
    std::string m_ip;
    std::string m_zone;
    MachineSize m_size;
    std::filesystem::path m_folder;
    pid_t m_pid{};
};

/// The store, three nodes in three zones and a client that calls them.
class Deployment
{
public:
    explicit Deployment(const std::string &recordPath)
        : record(recordPath)
        , store("127.0.0.1")
        , m_folder(makeFolder())
    {
        const char *zones[]{"suva", "lautoka", "nadi"};
        const MachineSize sizes[]{largeMachine, middleMachine, smallMachine};
        for (int i = 0; i < 3; ++i) {
            nodes.push_back(std::make_unique<Node>(record, std::string("frontend-") + zones[i] + "-1",
                                                   "127.0.0." + std::to_string(10 + i), zones[i], sizes[i], m_folder));
        }
        std::vector<std::string> seeds;
        for (const auto &node : nodes) {
            seeds.push_back(node->control);
        }
        for (const auto &node : nodes) {
            node->writeSettings(store.address(), seeds);
        }
        store.put("op", "", "config",
                  R"({"version":7,"routes":[{"name":"quote","host":"jobs.example",)"
                  R"("prefix":"/quote/","service":"hire-desk","priority":1,"maxAttempts":4,)"
                  R"("stretch":3,"latencyTargetMs":1000,"timeoutMs":3000}],)"
                  R"("services":[{"name":"hire-desk","rejectsOverload":true}],)"
                  R"("tenants":[{"name":"t1","apiKeys":["key-1"],"guaranteed":{"gpu":4}}],)"
                  R"("limits":{"maxBodyBytes":262144}})");
    }
    ~Deployment()
    {
        nodes.clear();
        std::error_code ignored;
        if (std::getenv("KEEP") == nullptr) {
            std::filesystem::remove_all(m_folder, ignored);
        } else {
            std::cout << "logs in " << m_folder << '\n';
        }
    }
    /// Starts the nodes and waits until they are ready and one of them leads.
    /// @return false when that took too long: the case couldn't run
    bool begin()
    {
        for (const auto &node : nodes) {
            node->begin();
        }
        return waitFor(Millis(15'000), [this] {
            bool ready = !leader().empty();
            for (const auto &node : nodes) {
                ready = ready && callHttp(node->ready, "GET", "/v1/readiness", {}, "", Millis(500)).status == 200;
            }
            return ready;
        });
    }
    /// @return the name of the node in the term row; empty when there is none
    std::string leader()
    {
        const std::string term = store.value("hq-board", "decider", "!term");
        boost::system::error_code error;
        const json::value value = json::parse(term, error);
        return error || !value.is_object() ? std::string() : text(value.as_object(), "owner");
    }
    Response call(std::size_t node, const std::string &method, const std::string &path, const std::string &body)
    {
        return callHttp(nodes[node % nodes.size()]->front, method, path,
                        {{"Host", "jobs.example"},
                         {"Authorization", "Bearer key-1"},
                         {"Content-Type", "application/json"},
                         {"X-Heatherquay-Deadline-Ms", "3000"}},
                        body, Millis(3'000));
    }
    /// Hands a job in, and again at the other nodes while there is no answer or a refusal, like the clients.
    /// @return the last status
    int submit(const std::string &id, const std::string &body)
    {
        int status = 0;
        for (std::size_t attempt = 0; attempt < 5 && status != 200; ++attempt) {
            status = call(m_nextNode++, "POST", "/quote/" + id, body).status;
            record.line("client hands in " + id + ": " + std::to_string(status));
            if (status != 200) {
                std::this_thread::sleep_for(Millis(200));
            }
        }
        return status;
    }
    /// @return the state that a client is shown; the status as text when there is none
    std::string state(const std::string &id)
    {
        const Response response = call(m_nextNode++, "GET", "/quote/" + id, "");
        boost::system::error_code error;
        const json::value value = json::parse(response.body, error);
        return response.status == 200 && !error && value.is_object() ? text(value.as_object(), "state")
                                                                     : std::to_string(response.status);
    }
    static bool waitFor(Millis longest, const std::function<bool()> &condition)
    {
        const auto until = Clock::now() + longest;
        while (!condition()) {
            if (Clock::now() >= until) {
                return false;
            }
            std::this_thread::sleep_for(Millis(10));
        }
        return true;
    }

    Record record;
    Store store;
    std::vector<std::unique_ptr<Node>> nodes;

private:
    static std::filesystem::path makeFolder()
    {
        std::string pattern = std::filesystem::temp_directory_path() / "heatherquay-review-XXXXXX";
        if (::mkdtemp(pattern.data()) == nullptr) {
            throw std::runtime_error("no temporary folder");
        }
        return pattern;
    }

    std::filesystem::path m_folder;
    std::atomic<std::size_t> m_nextNode{};
};

inline std::string jobId(std::uint64_t number)
{
    char id[17];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(number));
    return id;
}

/// @return the settings of runner number @p index, which runs in the service hire-desk
inline RunnerSettings runnerSettings(int index)
{
    RunnerSettings settings;
    settings.id = "runner-" + std::to_string(101 + index);
    settings.ip = "127.0.0.1";
    settings.service = "hire-desk";
    settings.zone = "suva";
    settings.kind = "a";
    settings.rack = "r-" + std::to_string(1 + index / 20);
    settings.cpu = runnerCpu;
    settings.leaseMax = Millis(leaseMaxMs);
    return settings;
}

/// @return a job of one step
inline std::string job(const std::string &spec, int count, int cpu, int memoryMb, int gpu, int estimateMs,
                       int antiAffinity = 0)
{
    json::object step{{"count", count}, {"cpu", cpu}, {"memMb", memoryMb}, {"gpu", gpu}, {"estimateMs", estimateMs}};
    if (antiAffinity > 0) {
        step["antiAffinity"] = antiAffinity;
    }
    return json::serialize(json::object{{"spec", spec}, {"steps", json::array{std::move(step)}}});
}

/// Checks rule TWICE on what the runners did: no two runs of a task at the same time on runners that are up, and no
/// start after a run has ended `done`, if that end is taken note of then or later.
/// @return the violations, one line each
inline std::vector<std::string> violationsOfTwice(const std::vector<RunEvent> &events)
{
    std::map<std::string, std::vector<const RunEvent *>> byTask;
    for (const RunEvent &event : events) {
        byTask[event.task].push_back(&event);
    }
    const auto name = [](const RunEvent &event) {
        return "run " + std::to_string(event.run) + " on " + event.runner;
    };
    const auto seconds = [](Millis time) {
        std::ostringstream out;
        out << static_cast<double>(time.count()) / 1'000 << " s";
        return out.str();
    };
    std::vector<std::string> found;
    for (const auto &[task, runs] : byTask) {
        for (const RunEvent *first : runs) {
            for (const RunEvent *second : runs) {
                if (first == second || first->startedAt > second->startedAt
                    || (first->startedAt == second->startedAt && first >= second)) {
                    continue;
                }
                if (!first->endedAt || *first->endedAt > second->startedAt) {
                    found.push_back(task + ": " + name(*first) + " at work from " + seconds(first->startedAt) + " to "
                                    + (first->endedAt ? seconds(*first->endedAt) : "the end") + ", " + name(*second)
                                    + " starts at " + seconds(second->startedAt));
                } else if (first->how == "done" && first->notedAt) {
                    found.push_back(task + ": " + name(*first) + " ended done at " + seconds(*first->endedAt)
                                    + ", taken note of at " + seconds(*first->notedAt) + ", " + name(*second)
                                    + " starts at " + seconds(second->startedAt));
                }
            }
        }
    }
    return found;
}

/// Prints the result of a case.
/// @return the exit status of the script
inline int finish(Record &record, const std::string &rule, const std::vector<std::string> &violations)
{
    for (const std::string &violation : violations) {
        record.line("BROKEN " + rule + ": " + violation);
    }
    const std::string result = violations.empty()
        ? rule + " held"
        : rule + " broken, " + std::to_string(violations.size()) + " times: " + violations.front();
    record.line(result);
    std::cout << result << '\n';
    return violations.empty() ? 0 : 1;
}

inline bool troubleWanted()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review
