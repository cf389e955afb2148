#include "heatherquay/coordination/forwarder.hpp"

#include "heatherquay/coordination/outlier_ejection.hpp"
#include "heatherquay/coordination/retry_budget.hpp"
#include "heatherquay/coordination/service_lookup.hpp"
#include "heatherquay/coordination/wait_queue.hpp"
#include "heatherquay/transport/log.hpp"
#include "heatherquay/transport/random.hpp"

#include <algorithm>
#include <atomic>
#include <bit>
#include <map>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace heatherquay::coordination
{

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;
using protocol::Outcome;
using protocol::Problem;
using state::RoutingStrategy;
using transport::ExchangeProgress;
using transport::ExchangeResult;

namespace detail
{

constexpr std::string_view leavingField = "Heatherquay-Leaving";
constexpr std::chrono::milliseconds backoffInitial{10};
constexpr std::chrono::milliseconds backoffMax{500};
constexpr std::chrono::milliseconds retryAfterDefault{1'000};
constexpr std::uint32_t lendersAskedMax = 3;
constexpr unsigned statusUnavailable = 503;

std::chrono::milliseconds remaining(Clock::time_point deadline)
{
    return std::chrono::floor<std::chrono::milliseconds>(deadline - Clock::now());
}

/// Returns a random delay between zero and a bound that doubles with each attempt (full jitter).
std::chrono::milliseconds backoff(std::uint32_t attempt)
{
    const auto bound = std::min(backoffMax, backoffInitial * (1U << std::min(attempt, 10U)));
    return std::chrono::milliseconds(transport::randomNumber() % static_cast<std::uint64_t>(bound.count() + 1));
}

ForwardResult problemResult(unsigned status, Outcome outcome, std::string type, std::string title, std::string text)
{
    ForwardResult result;
    result.outcome = outcome;
    result.problem.status = status;
    result.problem.outcome = outcome;
    result.problem.type = std::move(type);
    result.problem.title = std::move(title);
    result.problem.detail = std::move(text);
    if (status == statusUnavailable) {
        result.problem.retryAfter = retryAfterDefault;
    }
    return result;
}

/// Settings, queue, retry budget and statistics of one service.
struct ServiceRoute
{
    ServiceRoute(const state::ServiceSettings &service, WaitQueue::ChooseSlot choose,
                 std::shared_ptr<OutlierEjection> ejection)
        : settings(std::make_shared<const state::ServiceSettings>(service))
        , queue(std::move(choose))
        , budget(service.retryBudgetShare, service.retryBudgetPerSecond)
        , outliers(std::move(ejection))
    {
    }

    transport::RcuCell<state::ServiceSettings> settings;
    WaitQueue queue;
    RetryBudget budget;
    std::shared_ptr<OutlierEjection> outliers;
    LatencyEstimate slotHoldTime; ///< Average time for which a request holds a slot.
};

using Routes = std::map<state::ServiceId, std::shared_ptr<ServiceRoute>>;

bool isLeavingSignal(const transport::HttpResponse &answer)
{
    return answer.fields.get(leavingField) == "1" && !answer.keepAlive;
}

} // namespace detail

using detail::ServiceRoute;

struct Forwarder::Core : std::enable_shared_from_this<Forwarder::Core>
{
    Core(asio::any_io_executor ex, std::shared_ptr<EndpointDirectory> endpoints, std::shared_ptr<SlotLedger> slots,
         std::shared_ptr<const state::EntrySettings> entrySettings, std::function<bool()> mayActNow,
         AnyLoanClient client)
        : executor(std::move(ex))
        , directory(std::move(endpoints))
        , ledger(std::move(slots))
        , settings(std::move(entrySettings))
        , mayAct(std::move(mayActNow))
        , loans(std::move(client))
        , routes(std::make_shared<const detail::Routes>())
    {
    }

    /// Results of the previous attempts to send one request.
    struct RetryState
    {
        bool mayHaveRun{}; ///< At least one attempt may have run the request.
        std::uint32_t attempts{};
        std::vector<std::string> avoid; ///< Addresses of endpoints that failed the request.
        std::string lastFailure;
        bool timedOut{}; ///< The last attempt reached the deadline.
    };

    void buildRoutes(std::shared_ptr<const state::EntrySettings> newSettings);
    std::shared_ptr<ServiceRoute> makeRoute(const state::ServiceSettings &service);
    std::optional<SlotGrant> chooseSlot(const state::ServiceId &service, const std::vector<std::string> &avoid) const;
    asio::awaitable<ForwardResult> forward(ForwardRequest job);
    asio::awaitable<std::optional<SlotGrant>> acquireSlot(ServiceRoute &route, const ForwardRequest &job,
                                                          const RetryState &retryState, ForwardResult &refusal);
    bool wouldMissDeadline(const ServiceRoute &route, const ForwardRequest &job) const;
    asio::awaitable<void> borrowForWaiter(std::shared_ptr<ServiceRoute> route,
                                          std::shared_ptr<WaitQueue::Waiter> waiter, state::ServiceId service,
                                          Clock::time_point deadline);
    asio::awaitable<std::optional<SlotGrant>> tryBorrow(const state::ServiceId &service, Clock::time_point deadline);
    asio::awaitable<ExchangeResult> runExchange(ServiceRoute &route, const ForwardRequest &job, const SlotGrant &grant);
    void releaseOrQuarantine(const SlotGrant &grant, ExchangeProgress progress);
    void recordExchange(ServiceRoute &route, const SlotGrant &grant, const ExchangeResult &result,
                        std::chrono::microseconds elapsed) const;
    static ForwardResult failureResult(const RetryState &retryState, const ForwardRequest &job);

    asio::any_io_executor executor;
    std::shared_ptr<EndpointDirectory> directory;
    std::shared_ptr<SlotLedger> ledger;
    transport::RcuCell<state::EntrySettings> settings;
    std::function<bool()> mayAct;
    AnyLoanClient loans;
    transport::RcuCell<detail::Routes> routes;
    std::atomic<std::uint64_t> queuedCount{0};
    std::atomic<std::uint64_t> loanCount{0};
    std::atomic<std::uint64_t> retryCount{0};
    std::atomic<std::uint64_t> refusedCount{0};
};

std::shared_ptr<ServiceRoute> Forwarder::Core::makeRoute(const state::ServiceSettings &service)
{
    const auto weak = weak_from_this();
    auto chooseServiceSlot
        = [weak, id = service.id](const std::vector<std::string> &avoid) -> std::optional<SlotGrant> {
        const auto core = weak.lock();
        return core ? core->chooseSlot(id, avoid) : std::nullopt;
    };
    auto readmitted = [weak, id = service.id] {
        const auto core = weak.lock();
        if (!core) {
            return;
        }
        const auto current = core->routes.read();
        const auto found = current->find(id);
        if (found != current->end()) {
            found->second->queue.grantFreeSlots();
        }
    };
    auto outliers = std::make_shared<OutlierEjection>(executor, std::move(readmitted));
    return std::make_shared<ServiceRoute>(service, std::move(chooseServiceSlot), std::move(outliers));
}

void Forwarder::Core::buildRoutes(std::shared_ptr<const state::EntrySettings> newSettings)
{
    const auto current = routes.read();
    auto next = std::make_shared<detail::Routes>();
    for (const state::ServiceSettings &service : newSettings->services) {
        const auto found = current->find(service.id);
        if (found == current->end()) {
            next->emplace(service.id, makeRoute(service));
            continue;
        }
        found->second->settings.replace(std::make_shared<const state::ServiceSettings>(service));
        next->emplace(service.id, found->second);
    }
    settings.replace(std::move(newSettings));
    routes.replace(std::move(next));
}

std::optional<SlotGrant> Forwarder::Core::chooseSlot(const state::ServiceId &service,
                                                     const std::vector<std::string> &avoid) const
{
    const auto endpoints = directory->read(service);
    if (settings.read()->routing == RoutingStrategy::TwoChoices) {
        return choosePowerOfTwo(*endpoints, avoid);
    }
    return chooseFreeSlot(*endpoints, avoid, Clock::now());
}

/// Estimates from the queue length and the slot count whether a request would miss its deadline, so that it can be
/// refused immediately.
bool Forwarder::Core::wouldMissDeadline(const ServiceRoute &route, const ForwardRequest &job) const
{
    const auto slotHoldTime = route.slotHoldTime.expected();
    std::uint32_t slots = 0;
    for (const auto &endpoint : directory->read(job.service)->endpoints) {
        slots
            += endpoint->acceptsRequests() ? static_cast<std::uint32_t>(std::popcount(endpoint->slotWord.usable())) : 0;
    }
    if (slots == 0) {
        return false;
    }
    const auto wait = slotHoldTime * (route.queue.size() + 1) / slots;
    return Clock::now() + wait + slotHoldTime > job.deadline;
}

asio::awaitable<std::optional<SlotGrant>> Forwarder::Core::acquireSlot(ServiceRoute &route, const ForwardRequest &job,
                                                                       const RetryState &retryState,
                                                                       ForwardResult &refusal)
{
    if (route.queue.size() == 0) {
        if (auto grant = chooseSlot(job.service, retryState.avoid)) {
            co_return grant;
        }
    }
    const auto service = route.settings.read();
    if (wouldMissDeadline(route, job)) {
        refusal = detail::problemResult(
            detail::statusUnavailable, Outcome::NotRun, "wait-too-long", "The request would wait beyond its deadline",
            "all slots of service " + job.service.value + " are busy; retry later or with a longer deadline");
        refusal.problem.retryAfter = std::chrono::ceil<std::chrono::milliseconds>(route.slotHoldTime.expected());
        co_return std::nullopt;
    }
    const auto currentExecutor = co_await asio::this_coro::executor;
    const auto waiter = route.queue.enqueue(currentExecutor, retryState.avoid, service->queueLimit);
    if (!waiter) {
        refusal = detail::problemResult(detail::statusUnavailable, Outcome::NotRun, "queue-full", "The queue is full",
                                        "the queue of service " + job.service.value + " is full; retry later");
        co_return std::nullopt;
    }
    ++queuedCount;
    ledger->addQueued(job.service, 1);
    if (loans.borrow && settings.read()->routing == RoutingStrategy::SharesWithLoans) {
        const auto sharedRoute = routes.read()->at(job.service);
        asio::co_spawn(executor, borrowForWaiter(sharedRoute, waiter, job.service, job.deadline), asio::detached);
    }
    auto grant = co_await route.queue.wait(waiter, job.deadline);
    ledger->addQueued(job.service, -1);
    if (!grant) {
        refusal = detail::problemResult(
            detail::statusUnavailable, Outcome::NotRun, "no-capacity", "No slot became free in time",
            "no endpoint of service " + job.service.value
                + " had a free slot before the deadline; retry later or with a longer deadline");
    }
    co_return grant;
}

/// Tries to borrow a slot for a waiting request until the request has a slot or its deadline passes.
asio::awaitable<void> Forwarder::Core::borrowForWaiter(std::shared_ptr<ServiceRoute> route,
                                                       std::shared_ptr<WaitQueue::Waiter> waiter,
                                                       state::ServiceId service, Clock::time_point deadline)
{
    const auto self = shared_from_this();
    asio::steady_timer timer(executor);
    for (std::uint32_t attempt = 0; route->queue.isWaiting(waiter) && Clock::now() < deadline; ++attempt) {
        auto grant = co_await tryBorrow(service, deadline);
        if (grant && !route->queue.tryGrant(waiter, *grant)) {
            loans.giveBack(grant->lender, grant->loan);
        }
        if (grant) {
            co_return;
        }
        timer.expires_after(detail::backoff(attempt));
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<std::optional<SlotGrant>> Forwarder::Core::tryBorrow(const state::ServiceId &service,
                                                                     Clock::time_point deadline)
{
    const auto lenders = ledger->lenders(service);
    const std::size_t count = std::min<std::size_t>(lenders.size(), detail::lendersAskedMax);
    for (std::size_t i = 0; i < count; ++i) {
        protocol::BorrowRequest request;
        request.memberVersion = ledger->adoptedVersion();
        request.service = service;
        request.term = detail::remaining(deadline);
        if (request.term.count() <= 0) {
            co_return std::nullopt;
        }
        const auto loan = co_await loans.borrow(lenders[i].id, request);
        ledger->updateIdleSlots(service, lenders[i].id, loan.has_value());
        if (!loan) {
            continue;
        }
        const auto endpoints = directory->read(service);
        const auto *endpoint = endpoints->find(loan->slot.endpoint);
        if (endpoint == nullptr || !(*endpoint)->acceptsRequests() || !(*endpoint)->pool->hasCapacity()) {
            loans.giveBack(lenders[i].id, loan->id);
            continue;
        }
        ++loanCount;
        co_return SlotGrant{*endpoint, loan->slot.slot, true, lenders[i].id, loan->id};
    }
    co_return std::nullopt;
}

void Forwarder::Core::releaseOrQuarantine(const SlotGrant &grant, ExchangeProgress progress)
{
    const bool abandoned = progress == ExchangeProgress::MaybeSent;
    if (!grant.slotTaken) {
        return;
    }
    if (!grant.lender.value.empty()) {
        // The lender reclaims the slot of an abandoned request when the term and the abandon grace are over.
        if (!abandoned) {
            loans.giveBack(grant.lender, grant.loan);
        }
    } else if (abandoned) {
        ledger->quarantine(grant.endpoint, grant.slot);
    } else {
        ledger->release(*grant.endpoint, grant.slot);
    }
}

asio::awaitable<ExchangeResult> Forwarder::Core::runExchange(ServiceRoute &route, const ForwardRequest &job,
                                                             const SlotGrant &grant)
{
    const auto service = route.settings.read();
    const ExchangeTimes times{job.deadline, service->probeAfter, service->probeTimeout, service->probePath};
    ++grant.endpoint->running;
    const auto startedAt = Clock::now();
    ExchangeResult result;
    try {
        result = co_await grant.endpoint->pool->exchange(job.request, times, mayAct);
    } catch (const std::exception &error) {
        result.progress = ExchangeProgress::MaybeSent;
        result.failure = error.what();
    }
    const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - startedAt);
    --grant.endpoint->running;
    recordExchange(route, grant, result, elapsed);
    releaseOrQuarantine(grant, result.progress);
    co_return result;
}

/// Updates latency estimates, outlier detection and retry budget with the result of an exchange, and handles the
/// leaving signal of the endpoint.
void Forwarder::Core::recordExchange(ServiceRoute &route, const SlotGrant &grant, const ExchangeResult &result,
                                     std::chrono::microseconds elapsed) const
{
    Endpoint &endpoint = *grant.endpoint;
    const bool answered = result.progress == ExchangeProgress::Answered;
    if (answered && detail::isLeavingSignal(result.response) && !endpoint.signalledLeaving.exchange(true)) {
        transport::log(transport::LogLevel::Info, "endpoint-leaving", {{"endpoint", endpoint.address}});
    }
    if (answered && result.response.status != detail::statusUnavailable) {
        endpoint.latency.record(elapsed);
        route.slotHoldTime.record(elapsed);
        route.outliers->onSuccess(endpoint);
        if (result.response.status < 500) {
            route.budget.onSuccess();
        }
        return;
    }
    if (result.localRefusal || endpoint.signalledLeaving.load()) {
        return;
    }
    const auto endpoints = directory->read(endpoint.service);
    route.outliers->onFailure(grant.endpoint, *endpoints, *route.settings.read());
}

ForwardResult Forwarder::Core::failureResult(const RetryState &retryState, const ForwardRequest &job)
{
    const std::string message = "no endpoint of service " + job.service.value
        + " returned a complete response (last failure: " + retryState.lastFailure + ")";
    if (!retryState.mayHaveRun) {
        return detail::problemResult(detail::statusUnavailable, Outcome::NotRun, "endpoints-unreachable",
                                     "No endpoint could be reached", message + "; retry later");
    }
    if (retryState.timedOut) {
        return detail::problemResult(504, Outcome::Unknown, "deadline-passed", "The deadline passed",
                                     message + "; the request may have run, so check its effect before you retry it");
    }
    return detail::problemResult(502, Outcome::Unknown, "endpoint-failed", "The endpoint failed",
                                 message + "; the request may have run, so check its effect before you retry it");
}

asio::awaitable<ForwardResult> Forwarder::Core::forward(ForwardRequest job)
{
    const auto self = shared_from_this();
    const auto current = routes.read();
    const auto found = current->find(job.service);
    if (found == current->end()) {
        co_return detail::problemResult(
            404, Outcome::NotRun, "unknown-service", "Unknown service",
            "service " + job.service.value
                + " is not configured; the path must be /services/{service}/{path} with a configured service");
    }
    ServiceRoute &route = *found->second;
    RetryState retryState;
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (true) {
        ForwardResult refusal;
        const auto grant = co_await acquireSlot(route, job, retryState, refusal);
        if (!grant) {
            ++refusedCount;
            co_return retryState.mayHaveRun ? failureResult(retryState, job) : refusal;
        }
        ExchangeResult result = co_await runExchange(route, job, *grant);
        ++retryState.attempts;
        const bool answered = result.progress == ExchangeProgress::Answered;
        const bool refusedByEndpoint = answered && result.response.status == detail::statusUnavailable;
        const bool mayRetry = job.idempotent || result.progress == ExchangeProgress::NothingSent;
        const bool retry = (!answered || refusedByEndpoint) && mayRetry && detail::remaining(job.deadline).count() > 0
            && route.budget.tryWithdraw();
        if (answered && !retry) {
            ForwardResult answer;
            answer.outcome = Outcome::Ran;
            answer.answer = std::move(result.response);
            co_return answer;
        }
        retryState.mayHaveRun = retryState.mayHaveRun || result.progress != ExchangeProgress::NothingSent;
        retryState.timedOut = result.timedOut;
        retryState.lastFailure = answered ? "status 503" : result.failure;
        transport::log(transport::LogLevel::Warn, "exchange-failed",
                       {{"request", job.requestId},
                        {"service", job.service.value},
                        {"endpoint", grant->endpoint->address},
                        {"failure", retryState.lastFailure},
                        {"retry", retry ? "yes" : "no"}});
        if (!retry) {
            co_return failureResult(retryState, job);
        }
        ++retryCount;
        retryState.avoid.push_back(grant->endpoint->address);
        if (retryState.avoid.size() >= directory->read(job.service)->endpoints.size()) {
            retryState.avoid.clear();
        }
        timer.expires_after(std::min(detail::backoff(retryState.attempts), detail::remaining(job.deadline)));
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

Forwarder::Forwarder(asio::any_io_executor executor, std::shared_ptr<EndpointDirectory> directory,
                     std::shared_ptr<SlotLedger> ledger, std::shared_ptr<const state::EntrySettings> settings,
                     std::function<bool()> mayAct, AnyLoanClient loans)
    : m_core(std::make_shared<Core>(std::move(executor), std::move(directory), std::move(ledger), settings,
                                    std::move(mayAct), std::move(loans)))
{
    m_core->buildRoutes(std::move(settings));
    m_core->ledger->setFreedCallback([weak = std::weak_ptr(m_core)](const state::ServiceId &service) {
        const auto core = weak.lock();
        if (!core) {
            return;
        }
        const auto routes = core->routes.read();
        const auto found = routes->find(service);
        if (found != routes->end()) {
            found->second->queue.grantFreeSlots();
        }
    });
}

Forwarder::~Forwarder()
{
    stop();
}

asio::awaitable<ForwardResult> Forwarder::forward(ForwardRequest job)
{
    return m_core->forward(std::move(job));
}

void Forwarder::applySettings(std::shared_ptr<const state::EntrySettings> settings)
{
    m_core->buildRoutes(std::move(settings));
}

ForwarderStatistics Forwarder::statistics() const
{
    return {m_core->queuedCount.load(), m_core->loanCount.load(), m_core->retryCount.load(),
            m_core->refusedCount.load()};
}

void Forwarder::stop()
{
    const auto routes = m_core->routes.read();
    for (const auto &[service, route] : *routes) {
        route->outliers->stop();
    }
}

} // namespace heatherquay::coordination
