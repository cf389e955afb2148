#pragma once

#include "heatherquay/coordination/caller_api.hpp"
#include "heatherquay/transport/digest.hpp"
#include "heatherquay/transport/http_server.hpp"

#include <atomic>
#include <functional>
#include <future>
#include <map>
#include <mutex>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>

namespace heatherquay::test
{

using namespace std::chrono_literals;

/// An io_context with its own threads.
struct Runtime
{
    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{io.get_executor()};
    std::vector<std::thread> threads;

    explicit Runtime(int count = 2)
    {
        for (int i = 0; i < count; ++i) {
            threads.emplace_back([this] {
                io.run();
            });
        }
    }
    ~Runtime()
    {
        io.stop();
        for (std::thread &thread : threads) {
            thread.join();
        }
    }
    template<typename T>
    T run(boost::asio::awaitable<T> operation)
    {
        return boost::asio::co_spawn(io, std::move(operation), boost::asio::use_future).get();
    }
};

/// An HTTP endpoint that records the requests it ran and the maximum number of concurrent requests.
struct FakeEndpoint
{
    using Behaviour = std::function<transport::HttpResponse(const transport::HttpRequest &)>;

    Runtime &runtime;
    std::chrono::milliseconds delay{0};
    Behaviour behaviour = [](const transport::HttpRequest &request) {
        transport::HttpResponse response;
        response.body = request.method + " " + request.target + " " + request.body;
        return response;
    };
    std::atomic<int> running{0};
    std::atomic<int> runningMax{0};
    std::atomic<int> runs{0};
    std::mutex mutex;
    std::map<std::string, int> runsByBody;
    transport::HttpRequest last;
    transport::HttpServer server;

    explicit FakeEndpoint(Runtime &owner)
        : runtime(owner)
        , server(
              owner.io.get_executor(),
              [this](transport::HttpRequest request) {
                  return handle(std::move(request));
              },
              [](unsigned status, const std::string &detail) {
                  return transport::HttpResponse{status, {}, detail, false};
              })
    {
        server.listen("127.0.0.1:0");
    }
    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(server.localEndpoint().port());
    }
    boost::asio::awaitable<transport::HttpResponse> handle(transport::HttpRequest request)
    {
        if (request.target == "/healthz") {
            co_return transport::HttpResponse{};
        }
        const int current = ++running;
        int highest = runningMax.load();
        while (current > highest && !runningMax.compare_exchange_weak(highest, current)) { }
        ++runs;
        {
            const std::lock_guard lock(mutex);
            ++runsByBody[request.body];
            last = request;
        }
        if (delay.count() > 0) {
            boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, delay);
            co_await timer.async_wait(boost::asio::use_awaitable);
        }
        auto response = behaviour(request);
        --running;
        co_return response;
    }
};

inline std::shared_ptr<state::EntrySettings> requestSettings()
{
    auto settings = std::make_shared<state::EntrySettings>();
    settings->id.value = "e1";
    settings->teams
        = {{{"team-a"}, {transport::sha256Hex({"token-a"})}}, {{"team-b"}, {transport::sha256Hex({"token-b"})}}};
    settings->services.resize(1);
    settings->services[0].id.value = "desk";
    settings->services[0].requestTimeout = 2s;
    settings->services[0].abandonGrace = 200ms;
    settings->services[0].probeAfter = 150ms;
    settings->services[0].probeTimeout = 200ms;
    settings->membership.entriesMax = 4;
    return settings;
}

inline std::shared_ptr<const coordination::MemberList> memberList(std::uint64_t version, std::vector<std::string> ids)
{
    auto list = std::make_shared<coordination::MemberList>();
    list->version = version;
    for (std::string &id : ids) {
        list->members.push_back({{std::move(id)}, 1, ""});
    }
    return list;
}

/// The components of one entry that process requests, called directly instead of by HTTP.
struct Entry
{
    std::shared_ptr<coordination::EndpointDirectory> directory;
    std::shared_ptr<coordination::SlotLedger> ledger;
    std::shared_ptr<coordination::Forwarder> forwarder;
    std::unique_ptr<coordination::CallerApi> api;
    std::atomic<bool> mayAct{true};
    std::vector<coordination::RequestRecord> records;
    std::mutex mutex;

    Entry(Runtime &runtime, std::shared_ptr<const state::EntrySettings> settings,
          const std::vector<std::string> &addresses, coordination::AnyLoanClient loans = {},
          coordination::KeyedRunner keyed = {})
    {
        const auto mayActNow = [this] {
            return mayAct.load();
        };
        directory = std::make_shared<coordination::EndpointDirectory>(runtime.io.get_executor(), settings);
        ledger = std::make_shared<coordination::SlotLedger>(settings->id, directory, settings, mayActNow);
        forwarder = std::make_shared<coordination::Forwarder>(runtime.io.get_executor(), directory, ledger, settings,
                                                              mayActNow, std::move(loans));
        coordination::CallerApiHooks hooks;
        hooks.runKeyed = std::move(keyed);
        hooks.record = [this](const coordination::RequestRecord &record) {
            const std::lock_guard lock(mutex);
            records.push_back(record);
        };
        api = std::make_unique<coordination::CallerApi>(forwarder, settings, std::move(hooks));
        setEndpoints(addresses);
    }
    void setEndpoints(const std::vector<std::string> &addresses)
    {
        std::vector<coordination::EndpointRecord> endpoints;
        for (const std::string &address : addresses) {
            endpoints.push_back({{"desk"}, address, false});
        }
        directory->update(endpoints);
        ledger->refresh();
    }
};

inline transport::HttpRequest callerRequest(std::string method, std::string target, std::string body = {},
                                            std::string key = {})
{
    transport::HttpRequest request;
    request.method = std::move(method);
    request.target = std::move(target);
    request.fields.add("Authorization", "Bearer token-a");
    request.body = std::move(body);
    if (!key.empty()) {
        request.fields.add("Idempotency-Key", key);
    }
    return request;
}

} // namespace heatherquay::test
