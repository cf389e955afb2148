#include "emulator/platform_emulator.hpp"
#include "heatherquay/coordination/batch/layout.hpp"
#include "heatherquay/protocol/batch/record_codec.hpp"
#include "heatherquay/transport/http_server.hpp"
#include "platform/ingress.hpp"
#include "platform/wire_records.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace heatherquay;
using namespace std::chrono_literals;
using namespace heatherquay::coordination::batch;

namespace
{

const std::string jobA = "00000000000000aa";
const std::string jobB = "00000000000000bb";
const std::string submission = R"({"spec":"x","steps":[{"count":1,"cpu":1000}]})";

constexpr const char *routes = R"("routes":[
    {"name":"batch","host":"h","prefix":"/batch/","service":"s"},
    {"name":"night","host":"h","prefix":"/night/","service":"s"},
    {"name":"open","host":"h","prefix":"/open/","service":"s","anonymous":true}])";
constexpr const char *teams = R"("tenants":[{"name":"red","apiKeys":["red-1","red-2"]},
    {"name":"blue","apiKeys":["blue-1"]}])";

/// One entry process's handling of callers' requests, with the emulator's store.
struct EntryFixture
{
    EntryFixture(boost::asio::io_context &context, test::PlatformEmulator &emulator)
        : client(context.get_executor(), emulator.storeAddress(), metrics)
        , acceptance(client)
        , peers(context.get_executor(), "127.0.0.1:1")
        , ingress({[this] {
                       return queues;
                   },
                   [this] {
                       return fresh;
                   },
                   &board, &acceptance, &peers, &metrics, 65'536})
    {
        configure(std::string(R"({"version":1,)") + routes + "," + teams + "}");
    }

    void configure(const std::string &text)
    {
        queues = std::make_shared<QueueTable>(platform::parseQueueTable(text));
    }

    std::shared_ptr<const QueueTable> queues;
    bool fresh{true};
    JobBoard board;
    transport::MetricsRegistry metrics;
    platform::StoreClient client;
    Acceptance<platform::StoreClient> acceptance;
    platform::Peers peers;
    platform::Ingress ingress;
};

struct JobAccessFixture
{
    JobAccessFixture()
        : emulator(0, 0ms)
        , entry(context, emulator)
        , peer(context, emulator)
        , peerServer(
              context.get_executor(),
              [this](transport::HttpRequest request) -> boost::asio::awaitable<transport::HttpResponse> {
                  const auto relayed = platform::decodeRelayedRequest(request.body);
                  BOOST_REQUIRE(relayed.has_value());
                  co_return co_await peer.ingress.handle(makeRequest(relayed->method, relayed->target,
                                                                     relayed->authorization, relayed->body,
                                                                     relayed->host),
                                                         false);
              },
              [](unsigned status, const std::string &) {
                  transport::HttpResponse response;
                  response.status = status;
                  return response;
              })
    {
        peerServer.listen("127.0.0.1:0");
        entry.peers.setSeeds({"127.0.0.1:" + std::to_string(peerServer.localEndpoint().port())});
    }

    static transport::HttpRequest makeRequest(const std::string &method, const std::string &path,
                                              const std::string &authorization, const std::string &body,
                                              const std::string &host = "h")
    {
        transport::HttpRequest request;
        request.method = method;
        request.target = path;
        request.fields.set("Host", host);
        request.fields.set("Authorization", authorization);
        request.body = body;
        return request;
    }

    unsigned call(const std::string &method, const std::string &path, const std::string &key)
    {
        const std::string authorization = key.empty() ? std::string() : "Bearer " + key;
        auto answer = boost::asio::co_spawn(
            context,
            entry.ingress.handle(makeRequest(method, path, authorization, method == "POST" ? submission : ""), true),
            boost::asio::use_future);
        while (answer.wait_for(0s) != std::future_status::ready) {
            context.run_one_for(100ms);
        }
        const transport::HttpResponse response = answer.get();
        body = response.body;
        return response.status;
    }

    std::string stored(const protocol::batch::RowKey &key)
    {
        return emulator.runOnEmulatorThread([&key](test::PlatformEmulator &self) {
            return self.store().value(key);
        });
    }

    void store(const protocol::batch::RowKey &key, const std::string &value)
    {
        emulator.runOnEmulatorThread([&](test::PlatformEmulator &self) {
            self.store().put(key, value);
            return true;
        });
    }

    /// Brings the job's intake row to the board, as the mirror does.
    void showOnBoard(const std::string &job)
    {
        entry.board.applyRow(emulator.runOnEmulatorThread([&job](test::PlatformEmulator &self) {
            return self.store().row(intakeRow({job}));
        }));
    }

    bool cancelled(const std::string &job)
    {
        return decodeIntake(stored(intakeRow({job}))).cancelRequested;
    }

    boost::asio::io_context context;
    test::PlatformEmulator emulator;
    EntryFixture entry;
    EntryFixture peer;
    transport::HttpServer peerServer;
    std::string body;
};

/// Configurations that an operator may apply after a job of team "red" was accepted.
const std::string redRenamed = std::string(R"({"version":2,)") + routes
    + R"(,"tenants":[{"name":"crimson","apiKeys":["red-1"]},{"name":"blue","apiKeys":["blue-1"]}]})";
const std::string redMissing
    = std::string(R"({"version":2,)") + routes + R"(,"tenants":[{"name":"blue","apiKeys":["blue-1"]}]})";
const std::string redKeyWithdrawn = std::string(R"({"version":2,)") + routes
    + R"(,"tenants":[{"name":"red","apiKeys":["red-2"]},{"name":"blue","apiKeys":["blue-1"]}]})";

} // namespace

BOOST_FIXTURE_TEST_SUITE(platform_job_access, JobAccessFixture)

// Guards against the state of a job shown to another team, or under the prefix of another queue.
BOOST_DATA_TEST_CASE_F(JobAccessFixture, a_state_is_shown_only_to_the_jobs_team_on_its_queue,
                       boost::unit_test::data::make({false, true}), onBoard)
{
    BOOST_TEST(call("POST", "/batch/" + jobA, "red-1") == 200U);
    if (onBoard) {
        showOnBoard(jobA);
    }
    BOOST_TEST(call("GET", "/batch/" + jobA, "red-1") == 200U);
    BOOST_TEST(call("GET", "/batch/" + jobA, "red-2") == 200U);
    BOOST_TEST(call("GET", "/batch/" + jobA, "blue-1") == 410U);
    const std::string foreign = body;
    BOOST_TEST(call("GET", "/night/" + jobA, "red-1") == 410U);
    BOOST_TEST(call("GET", "/open/" + jobA, "") == 410U);
    BOOST_TEST(call("GET", "/batch/" + jobB, "blue-1") == 410U);
    BOOST_TEST(foreign == body); // As for a job that does not exist.
}

// Guards against a read of the store for each state that the board holds.
BOOST_AUTO_TEST_CASE(the_state_of_an_own_job_on_the_board_needs_no_call_to_the_store)
{
    call("POST", "/batch/" + jobA, "red-1");
    showOnBoard(jobA);
    const std::string before = entry.metrics.text();
    BOOST_TEST(call("GET", "/batch/" + jobA, "red-2") == 200U);
    BOOST_TEST(entry.metrics.text() == before);
}

// Guards against 410 for an id that its own team uses again, while the board still shows the earlier job of another.
BOOST_AUTO_TEST_CASE(a_board_that_lags_hides_no_new_job_of_the_same_id)
{
    call("POST", "/batch/" + jobA, "blue-1");
    showOnBoard(jobA);
    emulator.runOnEmulatorThread([](test::PlatformEmulator &self) {
        self.store().remove(jobRow({jobA}));
        self.store().remove(intakeRow({jobA}));
        return true;
    });
    BOOST_TEST(call("POST", "/batch/" + jobA, "red-1") == 200U);
    BOOST_TEST(call("GET", "/batch/" + jobA, "red-1") == 200U);
    BOOST_TEST(body == R"({"state":"queued"})");
}

// Guards against states that are lost or shown to all when the operator changes teams or keys.
BOOST_AUTO_TEST_CASE(jobs_outlive_changes_of_teams_and_keys)
{
    call("POST", "/batch/" + jobA, "red-1");
    showOnBoard(jobA);
    entry.configure(redKeyWithdrawn);
    BOOST_TEST(call("GET", "/batch/" + jobA, "red-1") == 401U);
    BOOST_TEST(call("GET", "/batch/" + jobA, "red-2") == 200U);
    BOOST_TEST(call("GET", "/batch/" + jobA, "blue-1") == 410U);
    entry.configure(redRenamed);
    BOOST_TEST(call("GET", "/batch/" + jobA, "red-1") == 200U);
    BOOST_TEST(call("POST", "/batch/" + jobA, "red-1") == 200U);
    entry.configure(redMissing);
    BOOST_TEST(call("GET", "/batch/" + jobA, "blue-1") == 200U);
    BOOST_TEST(call("GET", "/night/" + jobA, "blue-1") == 410U);
}

// Guards against 410 for a key that two teams hold, of which the job's team is listed last.
BOOST_AUTO_TEST_CASE(a_key_of_two_teams_opens_the_jobs_of_both)
{
    call("POST", "/batch/" + jobA, "red-1");
    entry.configure(
        std::string(R"({"version":2,)") + routes
        + R"(,"tenants":[{"name":"blue","apiKeys":["blue-1","red-1"]},{"name":"red","apiKeys":["red-1"]}]})");
    BOOST_TEST(call("GET", "/batch/" + jobA, "red-1") == 200U);
    BOOST_TEST(call("GET", "/batch/" + jobA, "blue-1") == 410U);
}

// Guards against an error, or 410, for a job whose intake row was damaged.
BOOST_AUTO_TEST_CASE(an_unreadable_intake_row_hides_no_job)
{
    store(intakeRow({jobA}), "{");
    BOOST_TEST(call("GET", "/batch/" + jobA, "red-1") == 200U);
}

// Guards against 410 for jobs whose intake row an earlier version wrote.
BOOST_DATA_TEST_CASE_F(JobAccessFixture, a_row_of_an_earlier_version_is_visible_on_its_queue,
                       boost::unit_test::data::make({false, true}), onBoard)
{
    store(intakeRow({jobA}), R"({"queue":"batch","cancel":false})");
    if (onBoard) {
        showOnBoard(jobA);
    }
    BOOST_TEST(call("GET", "/batch/" + jobA, "red-1") == 200U);
    BOOST_TEST(call("GET", "/batch/" + jobA, "blue-1") == 200U);
    BOOST_TEST(call("GET", "/night/" + jobA, "red-1") == 410U);
    BOOST_TEST(call("DELETE", "/batch/" + jobA, "red-1") == 200U);
    BOOST_TEST(call("GET", "/batch/" + jobA, "red-1") == 200U);
}

// Guards against rows that processes of another version cannot read during a rolling upgrade.
BOOST_AUTO_TEST_CASE(an_intake_row_with_fields_of_another_version_is_read)
{
    const IntakeRecord record = decodeIntake(R"({"queue":"batch","cancel":true,"team":"red","later":1})");
    BOOST_TEST(record.queue == "batch");
    BOOST_TEST(record.cancelRequested);
}

// Guards against 410 for callers of a route that asks for no key, whichever key the job was submitted with.
BOOST_AUTO_TEST_CASE(jobs_of_an_anonymous_queue_are_visible_to_its_callers)
{
    call("POST", "/open/" + jobA, "red-1");
    call("POST", "/open/" + jobB, "");
    for (const std::string &job : {jobA, jobB}) {
        showOnBoard(job);
        for (const char *key : {"", "red-1", "blue-1", "unknown"}) {
            BOOST_TEST(call("GET", "/open/" + job, key) == 200U);
            BOOST_TEST(call("POST", "/open/" + job, key) == 200U);
        }
    }
    BOOST_TEST(call("GET", "/batch/" + jobB, "red-1") == 410U);
    BOOST_TEST(call("DELETE", "/open/" + jobB, "") == 200U);
}

// Guards against a cancellation by another team, or under the prefix of another queue.
BOOST_AUTO_TEST_CASE(a_job_is_cancelled_only_by_its_team_on_its_queue)
{
    call("POST", "/batch/" + jobA, "red-1");
    BOOST_TEST(call("DELETE", "/batch/" + jobA, "blue-1") == 410U);
    BOOST_TEST(call("DELETE", "/night/" + jobA, "red-1") == 410U);
    BOOST_TEST(call("DELETE", "/open/" + jobA, "") == 410U);
    BOOST_TEST(!cancelled(jobA));
    BOOST_TEST(call("DELETE", "/batch/" + jobA, "red-2") == 200U);
    BOOST_TEST(cancelled(jobA));
    BOOST_TEST(call("DELETE", "/batch/" + jobA, "blue-1") == 410U);
    BOOST_TEST(call("GET", "/batch/" + jobA, "blue-1") == 410U); // The cancellation keeps the team.
}

// Guards against a submission that is accepted although its job was cancelled before it was stored.
BOOST_AUTO_TEST_CASE(a_job_cancelled_before_it_was_stored_is_refused)
{
    BOOST_TEST(call("DELETE", "/batch/" + jobA, "red-1") == 410U);
    BOOST_TEST(call("POST", "/batch/" + jobA, "red-1") == 409U);
    BOOST_TEST(body == R"({"error":"the job was cancelled before it was stored; submit it under another id"})");
    BOOST_TEST(stored(jobRow({jobA})).empty());
    BOOST_TEST(call("GET", "/batch/" + jobA, "red-1") == 410U);
    showOnBoard(jobA);
    BOOST_TEST(call("GET", "/batch/" + jobA, "red-1") == 410U);
    BOOST_TEST(call("DELETE", "/batch/" + jobA, "red-1") == 410U);
    BOOST_TEST(entry.board.queuedJobCount("batch") == 0U);
}

// Guards against 200 for a job that never runs because its id is taken, and against one that replaces the other.
BOOST_AUTO_TEST_CASE(an_id_that_another_team_or_queue_uses_is_refused)
{
    BOOST_TEST(call("POST", "/batch/" + jobA, "red-1") == 200U);
    const std::string job = stored(jobRow({jobA}));
    BOOST_TEST(call("POST", "/batch/" + jobA, "blue-1") == 409U);
    BOOST_TEST(body == R"({"error":"the job id is taken; submit the job under another one"})");
    BOOST_TEST(call("POST", "/night/" + jobA, "red-1") == 409U);
    BOOST_TEST(call("POST", "/open/" + jobA, "") == 409U);
    BOOST_TEST(call("POST", "/batch/" + jobA, "red-2") == 200U); // It remains one job.
    BOOST_TEST(stored(jobRow({jobA})) == job);
    BOOST_TEST(call("GET", "/batch/" + jobA, "red-1") == 200U);
}

// Guards against 409 for the repeated request of a caller whose first answer was lost.
BOOST_AUTO_TEST_CASE(a_submission_after_a_lost_answer_is_accepted)
{
    emulator.runOnEmulatorThread([](test::PlatformEmulator &self) {
        self.store().loseResponses = 1;
        return true;
    });
    BOOST_TEST(call("POST", "/batch/" + jobA, "red-1") == 200U);
    BOOST_TEST(call("POST", "/batch/" + jobA, "red-2") == 200U);
}

// Guards against 409 for the repeated request of a job that an earlier version stored without a team.
BOOST_AUTO_TEST_CASE(a_job_stored_without_a_team_remains_one_job)
{
    state::batch::JobSpec job = platform::parseSubmission(submission);
    job.id.value = jobA;
    job.queue = "batch";
    job.policy.service = "s";
    store(jobRow(job.id), protocol::batch::encodeJob(job));
    store(intakeRow(job.id), R"({"queue":"batch","cancel":false})");
    BOOST_TEST(call("POST", "/batch/" + jobA, "red-1") == 200U);
    BOOST_TEST(call("POST", "/night/" + jobA, "red-1") == 409U);
}

// Guards against a peer that answers a relayed request without the caller's key or queue.
BOOST_AUTO_TEST_CASE(relayed_requests_are_checked_by_the_peer)
{
    entry.fresh = false;
    BOOST_TEST(call("POST", "/batch/" + jobA, "red-1") == 200U);
    BOOST_TEST(call("POST", "/batch/" + jobA, "blue-1") == 409U);
    BOOST_TEST(call("GET", "/batch/" + jobA, "red-2") == 200U);
    BOOST_TEST(call("GET", "/batch/" + jobA, "blue-1") == 410U);
    BOOST_TEST(call("GET", "/night/" + jobA, "red-1") == 410U);
    BOOST_TEST(call("DELETE", "/batch/" + jobA, "blue-1") == 410U);
    BOOST_TEST(!cancelled(jobA));
    BOOST_TEST(call("DELETE", "/batch/" + jobA, "red-1") == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
