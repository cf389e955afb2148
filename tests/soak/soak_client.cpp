#include "soak/soak_client.hpp"

#include "heatherquay/transport/http_server.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <sys/socket.h>

namespace heatherquay::soak
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace detail
{

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds connectTimeout{1'000};
constexpr std::chrono::milliseconds callerDeadline{3'000};
constexpr std::chrono::milliseconds responseTimeout{4'500}; // Beyond the deadline, to see late responses.
constexpr std::chrono::milliseconds resetDelay{20}; // For the reset that may follow the end of a connection.
constexpr std::size_t liveJobsMax = 600;
constexpr double openSubmissionsCancelled = 0.3; // Share of the submissions without an answer.
constexpr unsigned submissionAttemptsMax = 5;
constexpr double settlingRateFactor = 2;

asio::awaitable<void> pause(asio::io_context &io, Clock::duration time)
{
    asio::steady_timer timer(io, time);
    co_await timer.async_wait(awaitTuple);
}

/// @return whether the peer has ended the connection or sent unexpected bytes
bool endSeen(beast::tcp_stream &stream)
{
    char byte = 0;
    return ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0
        || (errno != EAGAIN && errno != EWOULDBLOCK);
}

/// A process that closes a socket before it has read a request makes the kernel answer the request with a reset. If
/// the end of the connection came first, only the socket's pending error tells.
bool resetPending(beast::tcp_stream &stream)
{
    int error = 0;
    socklen_t size = sizeof error;
    return ::getsockopt(stream.socket().native_handle(), SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error != 0;
}

std::string submissionBody(const SoakJob &job)
{
    boost::json::array steps;
    for (std::size_t step = 0; step < job.steps.size(); ++step) {
        boost::json::object json{
            {"count", job.steps[step]}, {"cpu", SoakJob::taskMillicores}, {"memMb", 500}, {"estimateMs", 500}};
        if (step > 0) {
            json["after"] = boost::json::array{step - 1};
        }
        steps.push_back(std::move(json));
    }
    return boost::json::serialize(boost::json::object{{"spec", "x"}, {"steps", steps}});
}

} // namespace detail

SoakClient::SoakClient(ClientContext &context, std::uint64_t seed)
    : m_context(context)
    , m_random(seed)
    , m_connections(context.nodes.size())
{
}

double SoakClient::draw()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

std::size_t SoakClient::drawIndex(std::size_t size)
{
    return std::uniform_int_distribution<std::size_t>(0, size - 1)(m_random);
}

asio::awaitable<void> SoakClient::run()
{
    while (m_context.running) {
        const double rate = m_context.options->rate * (m_context.submitting ? 1 : detail::settlingRateFactor);
        const std::chrono::duration<double> interval(std::exponential_distribution<double>(rate)(m_random));
        co_await detail::pause(*m_context.io, std::chrono::duration_cast<Clock::duration>(interval));
        const auto &live = m_context.book->live();
        const auto &accepted = m_context.book->accepted();
        if (!m_context.submitting) {
            if (!live.empty()) {
                co_await query(*live[drawIndex(live.size())]);
            }
            continue;
        }
        const double kind = draw();
        if (kind < m_context.options->submissions && live.size() < detail::liveJobsMax) {
            co_await submit();
        } else if (kind > 0.97 && !accepted.empty()) {
            co_await submitAgain(
                *accepted[accepted.size() - 1 - drawIndex(std::min<std::size_t>(accepted.size(), 50))]);
        } else if (kind > 0.95 && !live.empty()) {
            co_await cancel(*live[drawIndex(live.size())]);
        } else if (kind > 0.85 && !accepted.empty()) {
            co_await query(*accepted[accepted.size() - 1 - drawIndex(std::min<std::size_t>(accepted.size(), 300))]);
        } else if (kind > 0.4 && !live.empty()) {
            co_await query(*live[drawIndex(live.size())]);
        } else {
            co_await queryQueue();
        }
    }
}

asio::awaitable<bool> SoakClient::ready(asio::io_context &io, SoakNode &node)
{
    const SoakOptions options;
    SoakReport report(0, "/dev/null");
    Disturbances disturbances;
    disturbances.begin(); // So that nothing counts as a violation.
    ClientContext context{&io, &options, {&node}, nullptr, &report, &disturbances};
    SoakClient client(context, 0);
    const Result result = co_await client.exchange("GET", "/batch/", "");
    co_return result.status == 200;
}

asio::awaitable<void> SoakClient::submit()
{
    SoakJob draft;
    constexpr const char *digits = "0123456789abcdef";
    for (int i = 0; i < 16; ++i) {
        draft.id += digits[drawIndex(16)];
    }
    for (std::size_t step = 0, count = 1 + drawIndex(3); step < count; ++step) {
        draft.steps.push_back(1 + static_cast<unsigned>(drawIndex(5)));
    }
    SoakJob &job = m_context.book->add(std::move(draft));
    m_context.report->count("submitted");
    for (unsigned attempt = 0; attempt < detail::submissionAttemptsMax && m_context.running; ++attempt) {
        co_await submitAgain(job);
        // A job that was rejected for certain is given up mostly, so that the soak sees whether it runs.
        if (job.acceptedAt || (job.rejectedOnly && draw() < 0.7)) {
            co_return;
        }
        // A submission with an open outcome must not take effect after its cancellation; repeats may follow.
        if (!job.rejectedOnly && !job.cancelSent && draw() < detail::openSubmissionsCancelled) {
            co_await cancel(job);
        }
        co_await detail::pause(*m_context.io, std::chrono::milliseconds(200 + drawIndex(600)));
    }
}

asio::awaitable<void> SoakClient::submitAgain(SoakJob &job)
{
    const Result result = co_await exchange("POST", "/batch/" + job.id, detail::submissionBody(job));
    if (result.outcome == Outcome::NotSent) {
        co_return;
    }
    const bool answered = result.outcome == Outcome::Answered;
    if (answered && result.status / 100 == 2) {
        m_context.book->accept(job);
    } else if (!answered || (result.status != 429 && result.status != 503)) {
        job.rejectedOnly = false;
    }
}

asio::awaitable<void> SoakClient::query(SoakJob &job)
{
    const Result result = co_await exchange("GET", "/batch/" + job.id, "");
    checkKnown(job, result, "GET");
    if (result.outcome != Outcome::Answered || result.status != 200) {
        co_return;
    }
    boost::system::error_code error;
    const auto json = boost::json::parse(result.body, error);
    const auto *state = error || !json.is_object() ? nullptr : json.as_object().if_contains("state");
    const std::string text = state != nullptr && state->is_string() ? std::string(state->as_string()) : "";
    if (text == "completed") {
        m_context.book->complete(job);
    } else if (text == "failed" || (text == "cancelled" && !job.cancelSent)) {
        m_context.report->violation(
            {Clock::now(), "LOST", m_context.nodes[m_lastNode]->name(), job.id, "shown as " + text + " without cause"});
    } else if (text != "queued" && text != "running" && text != "cancelled") {
        m_context.report->violation(
            {Clock::now(), "STATE", m_context.nodes[m_lastNode]->name(), job.id, "no state in: " + result.body});
    }
}

asio::awaitable<void> SoakClient::cancel(SoakJob &job)
{
    m_context.book->sendCancel(job);
    const bool accepted = job.acceptedAt.has_value();
    const Result result = co_await exchange("DELETE", "/batch/" + job.id, "");
    const bool unknown = result.outcome == Outcome::Answered && result.status == 410;
    if (unknown && accepted) {
        m_context.report->violation({Clock::now(), "LOST", m_context.nodes[m_lastNode]->name(), job.id,
                                     "DELETE of an accepted job was answered with 410"});
    }
    const bool recorded = result.outcome == Outcome::Answered && result.status / 100 == 2;
    if ((recorded || (unknown && !accepted)) && !job.cancelledAt) {
        job.cancelledAt = Clock::now();
        m_context.report->count(recorded ? "cancelled" : "withdrawn");
    }
}

asio::awaitable<void> SoakClient::queryQueue()
{
    co_await exchange("GET", "/batch/", "");
}

void SoakClient::checkKnown(const SoakJob &job, const Result &result, const char *method)
{
    if (result.outcome == Outcome::Answered && result.status == 410 && job.acceptedAt && !job.cancelSent) {
        m_context.report->violation({Clock::now(), "LOST", m_context.nodes[m_lastNode]->name(), job.id,
                                     std::string(method) + " of an accepted job was answered with 410"});
    }
}

asio::awaitable<bool> SoakClient::connect(std::size_t node)
{
    auto &connection = m_connections[node];
    if (connection && detail::endSeen(connection->stream)) {
        connection.reset();
    }
    if (connection) {
        co_return true;
    }
    if (!m_context.nodes[node]->acceptsConnections()) {
        co_return false;
    }
    auto opened = std::make_unique<Connection>(*m_context.io);
    opened->stream.expires_after(detail::connectTimeout);
    const auto [error] = co_await opened->stream.async_connect(
        transport::parseAddress(m_context.nodes[node]->address()), detail::awaitTuple);
    if (error) {
        m_context.report->count("not-connected");
        co_return false;
    }
    m_context.report->count("connections");
    connection = std::move(opened);
    co_return true;
}

asio::awaitable<SoakClient::Result> SoakClient::exchange(std::string method, std::string path, std::string body)
{
    m_lastNode = drawIndex(m_context.nodes.size());
    if (!co_await connect(m_lastNode)) {
        co_return Result{};
    }
    const auto sentAt = Clock::now();
    Result result = co_await exchangeOnce(m_lastNode, method, path, std::move(body));
    judge(result, method + " " + path, *m_context.nodes[m_lastNode], sentAt);
    co_return result;
}

asio::awaitable<SoakClient::Result> SoakClient::exchangeOnce(std::size_t node, std::string method, std::string path,
                                                             std::string body)
{
    auto &connection = m_connections[node];
    http::request<http::string_body> request(http::string_to_verb(method), path, 11, std::move(body));
    request.set(http::field::host, host);
    request.set(http::field::authorization, std::string("Bearer ") + key);
    request.set("X-Heatherquay-Deadline-Ms", std::to_string(detail::callerDeadline.count()));
    request.prepare_payload();
    connection->stream.expires_after(detail::responseTimeout);
    const auto [sendError, sent] = co_await http::async_write(connection->stream, request, detail::awaitTuple);
    if (sendError) {
        connection.reset();
        co_return Result{};
    }
    http::response_parser<http::string_body> parser;
    const auto [error, size]
        = co_await http::async_read(connection->stream, connection->buffer, parser, detail::awaitTuple);
    Result result;
    if (!error) {
        result = {Outcome::Answered, parser.get().result_int(), parser.get().body()};
        if (!parser.get().keep_alive()) {
            connection.reset();
        }
        co_return result;
    }
    if (error == beast::error::timeout) {
        result.outcome = Outcome::TimedOut;
    } else if (error == http::error::end_of_stream) {
        co_await detail::pause(*m_context.io, detail::resetDelay);
        result.outcome = detail::resetPending(connection->stream) ? Outcome::ClosedUnread : Outcome::ClosedRead;
    } else if (error == http::error::partial_message) {
        result.outcome = Outcome::ClosedRead;
    } else {
        result.outcome = parser.got_some() ? Outcome::ClosedRead : Outcome::ClosedUnread;
    }
    connection.reset();
    co_return result;
}

void SoakClient::judge(const Result &result, const std::string &request, const SoakNode &node, Clock::time_point sentAt)
{
    SoakReport &report = *m_context.report;
    const bool calm = m_context.disturbances->calmSince(sentAt);
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - sentAt);
    const std::string text = request + " after " + std::to_string(elapsed.count()) + " ms, "
        + std::to_string(node.sinceTermination().count()) + " ms after the last SIGTERM";
    switch (result.outcome) {
    case Outcome::NotSent:
        return;
    case Outcome::Answered:
        report.count("status-" + std::to_string(result.status));
        report.count(calm ? "calm-answered" : "answered");
        return;
    case Outcome::ClosedRead:
        report.count(calm ? "calm-closed-read" : "closed-read");
        if (calm) {
            report.violation({Clock::now(), "LOST", node.name(), "", "read and not answered: " + text});
        }
        return;
    case Outcome::ClosedUnread:
        report.count(calm ? "calm-closed-unread" : "closed-unread");
        report.note("reset " + node.name() + " " + text + (calm ? " calm" : ""));
        return;
    case Outcome::TimedOut:
        report.count(calm ? "calm-timed-out" : "timed-out");
        report.note("timeout " + node.name() + " " + text + (calm ? " calm" : ""));
        return;
    }
}

} // namespace heatherquay::soak
