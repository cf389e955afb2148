// Measures the time from the start of a commit of a configuration change until the last of nine entries has applied the
// change. All entries run in this process and use TCP connections on loopback to each other and to the table service.

#include "bench_options.hpp"
#include "heatherquay/coordination/cluster_codec.hpp"
#include "heatherquay/coordination/journal.hpp"
#include "heatherquay/protocol/object_store_client.hpp"
#include "heatherquay/protocol/peer_client.hpp"
#include "heatherquay/protocol/peer_server.hpp"
#include "heatherquay/protocol/table_client.hpp"
#include "heatherquay/state/cluster.hpp"
#include "heatherquay/transport/http_server.hpp"

#include <algorithm>
#include <map>
#include <mutex>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>

namespace
{

using namespace heatherquay;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace json = boost::json;

constexpr int entryCount = 9;
constexpr int threadCount = 4;

using BenchJournal
    = coordination::Journal<protocol::TableClient, protocol::ObjectStoreClient, protocol::PeerClient, state::Cluster>;

/// In-memory implementation of the table service.
class TableService
{
public:
    asio::awaitable<transport::HttpResponse> serve(transport::HttpRequest request)
    {
        const std::lock_guard lock(m_mutex);
        const json::value body = json::parse(request.body);
        transport::HttpResponse response;
        if (request.target == "/v1/transact") {
            transact(body.as_object(), response);
        } else if (request.target == "/v1/read") {
            response.body = read(body.as_object());
        } else {
            response.body = scan(body.as_object());
        }
        co_return response;
    }

private:
    struct Value
    {
        std::string text;
        std::uint64_t version{};
    };

    void transact(const json::object &body, transport::HttpResponse &response)
    {
        for (const json::value &condition : body.at("conditions").as_array()) {
            const auto row = m_rows.find(std::string(condition.at("key").as_string()));
            const std::uint64_t actual = row == m_rows.end() ? 0 : row->second.version;
            if (actual != condition.at("version").to_number<std::uint64_t>()) {
                response.status = 409;
                response.body = R"({"conflicts":[]})";
                return;
            }
        }
        ++m_version;
        for (const json::value &put : body.at("puts").as_array()) {
            m_rows[std::string(put.at("key").as_string())] = {std::string(put.at("value").as_string()), m_version};
        }
        for (const json::value &key : body.at("deletes").as_array()) {
            m_rows.erase(std::string(key.as_string()));
        }
        response.body = json::serialize(json::object{{"version", m_version}});
    }
    static json::object encode(const std::string &key, const Value &value)
    {
        return {{"key", key}, {"value", value.text}, {"version", value.version}};
    }
    std::string read(const json::object &body) const
    {
        json::array rows;
        for (const json::value &key : body.at("keys").as_array()) {
            const auto row = m_rows.find(std::string(key.as_string()));
            if (row != m_rows.end()) {
                rows.push_back(encode(row->first, row->second));
            }
        }
        return json::serialize(json::object{{"rows", std::move(rows)}});
    }
    std::string scan(const json::object &body) const
    {
        json::array rows;
        const auto end = m_rows.lower_bound(std::string(body.at("to").as_string()));
        for (auto row = m_rows.lower_bound(std::string(body.at("from").as_string())); row != end; ++row) {
            rows.push_back(encode(row->first, row->second));
        }
        return json::serialize(json::object{{"rows", std::move(rows)}});
    }

    std::mutex m_mutex;
    std::map<std::string, Value> m_rows;
    std::uint64_t m_version{};
};

/// Serves the peer calls of the journal and gives an empty response to all others.
class JournalHandler : public protocol::PeerHandler
{
public:
    explicit JournalHandler(BenchJournal &journal)
        : m_journal(journal)
    {
    }
    asio::awaitable<protocol::Gossip> gossip(protocol::Gossip gossip) override
    {
        co_return gossip;
    }
    asio::awaitable<std::uint64_t> append(std::vector<protocol::JournalRecord> records) override
    {
        return m_journal.onAppend(std::move(records));
    }
    asio::awaitable<protocol::FetchReply> fetch(std::uint64_t from) override
    {
        return m_journal.onFetch(from);
    }
    asio::awaitable<std::optional<protocol::Loan>> borrow(protocol::BorrowRequest) override
    {
        co_return std::nullopt;
    }
    asio::awaitable<void> giveBack(state::EntryId, std::uint64_t) override
    {
        co_return;
    }
    asio::awaitable<std::string> burn(std::string query) override
    {
        co_return query;
    }
    asio::awaitable<bool> renewFor(protocol::RelayedRenewal) override
    {
        co_return false;
    }

private:
    BenchJournal &m_journal;
};

struct BenchEntry
{
    std::shared_ptr<protocol::PeerRuntime> runtime = std::make_shared<protocol::PeerRuntime>();
    std::unique_ptr<BenchJournal> journal;
    std::unique_ptr<protocol::PeerServer> server;
    std::string address;
};

struct EntryCluster
{
    explicit EntryCluster(std::uint64_t seed)
    {
        service.listen("127.0.0.1:0");
        const std::string table = "127.0.0.1:" + std::to_string(service.localEndpoint().port());
        for (int i = 0; i < entryCount; ++i) {
            entries.push_back(std::make_unique<BenchEntry>());
        }
        for (int i = 0; i < entryCount; ++i) {
            start(*entries[i], i, table, seed);
        }
        for (int i = 0; i < threadCount; ++i) {
            threads.emplace_back([this] {
                io.run();
            });
        }
    }
    ~EntryCluster()
    {
        io.stop();
        for (std::thread &thread : threads) {
            thread.join();
        }
        entries.clear();
    }

    void start(BenchEntry &entry, int index, const std::string &table, std::uint64_t seed)
    {
        coordination::JournalSettings settings;
        settings.self = {"e" + std::to_string(index)};
        coordination::JournalHooks hooks;
        hooks.mayAct = [] {
            return true;
        };
        hooks.active = [] {
            return false;
        };
        hooks.peers = [this, &entry] {
            std::vector<std::string> addresses;
            for (const auto &other : entries) {
                if (other.get() != &entry) {
                    addresses.push_back(other->address);
                }
            }
            return addresses;
        };
        hooks.peerAddress = [](const state::EntryId &) {
            return std::string();
        };
        state::TableSettings tableSettings;
        tableSettings.address = table;
        entry.journal = std::make_unique<BenchJournal>(
            io.get_executor(), settings, protocol::TableClient(io.get_executor(), tableSettings),
            protocol::ObjectStoreClient(io.get_executor(), {.address = table}),
            protocol::PeerClient(entry.runtime, {.secret = "bench"}), coordination::clusterEventCodec(), hooks,
            state::Cluster({}, seed));
        entry.server = std::make_unique<protocol::PeerServer>(
            entry.runtime, io.get_executor(), std::make_shared<JournalHandler>(*entry.journal),
            protocol::PeerServerSettings{.address = "127.0.0.1:0", .secret = "bench"});
        entry.address = "127.0.0.1:" + std::to_string(entry.server->start());
        asio::co_spawn(io, entry.journal->run(), asio::detached);
    }

    /// @return whether all entries are ready and have applied the journal up to record @p number
    bool allApplied(std::uint64_t number) const
    {
        return std::all_of(entries.begin(), entries.end(), [&](const auto &entry) {
            return entry->journal->ready() && entry->journal->number() >= number;
        });
    }
    void waitUntilAllApplied(std::uint64_t number) const
    {
        while (!allApplied(number)) {
            std::this_thread::sleep_for(50us);
        }
    }

    asio::io_context io;
    TableService table;
    transport::HttpServer service{io.get_executor(),
                                  [this](transport::HttpRequest request) {
                                      return table.serve(std::move(request));
                                  },
                                  [](unsigned status, const std::string &) {
                                      transport::HttpResponse response;
                                      response.status = status;
                                      return response;
                                  }};
    std::vector<std::unique_ptr<BenchEntry>> entries;
    std::vector<std::thread> threads;
};

double toMilliseconds(std::chrono::steady_clock::duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

int main(int argc, char **argv)
{
    const benchmarks::BenchOptions options
        = benchmarks::parseOptions(argc, argv, "Time until nine entries have applied a configuration change");
    const int changeCount = options.quick ? 50 : 300;
    transport::configureLog("error");
    EntryCluster cluster(options.seed);
    cluster.waitUntilAllApplied(0);
    std::vector<double> latencies;
    int failures = 0;
    for (int i = 0; i < changeCount; ++i) {
        coordination::Proposal proposal;
        proposal.id = "change-" + std::to_string(i);
        proposal.events.emplace_back(state::SettingChanged{{"policy.weight_completion", i % 2 == 0 ? "0.5" : "0.6"}});
        BenchJournal &writer = *cluster.entries[i % entryCount]->journal;
        const auto startedAt = std::chrono::steady_clock::now();
        const auto outcome = asio::co_spawn(cluster.io, writer.commit(std::move(proposal)), asio::use_future).get();
        if (outcome.status != protocol::CommitStatus::Committed) {
            ++failures;
            continue;
        }
        cluster.waitUntilAllApplied(outcome.number);
        latencies.push_back(toMilliseconds(std::chrono::steady_clock::now() - startedAt));
    }
    benchmarks::Report report(options);
    report.add("config_changes", static_cast<double>(latencies.size()), "count");
    report.add("config_changes_failed", failures, "count");
    report.add("config_in_force_median", benchmarks::percentile(latencies, 0.5), "ms");
    report.add("config_in_force_worst", benchmarks::percentile(latencies, 1.0), "ms");
    report.finish();
    return failures == 0 ? 0 : 1;
}
