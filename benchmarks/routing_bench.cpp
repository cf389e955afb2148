#include "bench_options.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <queue>
#include <random>

using namespace heatherquay::benchmarks;

namespace
{

// All times are in seconds of virtual time.
constexpr std::size_t kEntries = 9;
constexpr std::size_t kEndpoints = 50;
constexpr int kSlotsPerEndpoint = 8;
constexpr std::size_t kFailureDomains = 3;
/// Mean of the fastest third of the endpoints; the other thirds take two and four times as long.
constexpr double kBaseServiceTime = 0.05;
constexpr double kServiceSigma = 0.5; ///< Standard deviation of the logarithm of the service time.
constexpr double kLocalDelay = 0.0001; ///< One way within a failure domain.
constexpr double kRemoteDelay = 0.001; ///< One way between failure domains.
constexpr double kDeadline = 2.0; ///< Requests that wait longer are rejected.
constexpr std::size_t kQueueLimit = 256;
constexpr double kGossipInterval = 0.5;
constexpr double kRemovalDelay = 8.0; ///< From the failure of an entry to its removal: its lease and a safety margin.
/// The slots of a removed entry are reassigned this long after its removal, when its requests have timed out.
constexpr double kRequestTimeout = 10.0;
/// Added to the request timeout before a lender takes back a slot of a failed entry.
constexpr double kLoanGrace = 2.0;
constexpr double kBalancerDelay = 1.0; ///< The load balancer keeps sending callers to a failed entry for this long.
constexpr double kLatencySmoothing = 0.2; ///< Weight of a new sample in the moving average of the latency.
constexpr std::size_t kFailingEntry = 4;
constexpr std::size_t kSlowEndpoint = 0;

enum class Strategy
{
    StaticShares, ///< Each entry owns a fixed share of the slots.
    SharesWithLoans, ///< Like StaticShares, but an entry borrows idle slots of other entries.
    TwoChoices, ///< No slots: picks the better of two random endpoints by the entry's own observations.
    LearnedLoad, ///< No slots: picks the best endpoint by the load that responses report.
    OwnerHop ///< One entry owns all slots of an endpoint; requests are forwarded to an owner.
};

struct Config
{
    Strategy strategy{};
    double load{};
    bool slowEndpoint{};
    bool entryFails{};
    double seconds{30.0};
    std::uint64_t seed{1};
};

struct Outcome
{
    std::vector<double> latencies;
    std::uint64_t requests{};
    std::uint64_t rejectedRequests{}; ///< Not executed, and reported so to the caller.
    std::uint64_t lostRequests{}; ///< Lost with the failed entry.
    int maxRunning{}; ///< Maximum number of concurrent requests at one endpoint.
};

struct Request
{
    double arrived{};
    std::size_t entry{}; ///< Entry that received the request from the caller.
};

/// Simulates one strategy event by event in virtual time.
class RoutingRun
{
public:
    explicit RoutingRun(const Config &config)
        : m_config(config)
        , m_random(config.seed)
    {
        for (std::size_t endpoint = 0; endpoint < kEndpoints; ++endpoint) {
            m_meanServiceTime.at(endpoint) = kBaseServiceTime * static_cast<double>(1U << (endpoint % 3));
            for (std::size_t slot = 0; slot < kSlotsPerEndpoint; ++slot) {
                const std::size_t slotIndex = endpoint * kSlotsPerEndpoint + slot;
                const std::size_t owner
                    = config.strategy == Strategy::OwnerHop ? endpointOwner(endpoint) : slotIndex % kEntries;
                ++m_entries.at(owner).freeSlots.at(endpoint);
            }
        }
        for (const double service : m_meanServiceTime) {
            m_arrivalRate += config.load * kSlotsPerEndpoint / service;
        }
        if (config.slowEndpoint) {
            m_meanServiceTime.at(kSlowEndpoint) *= 10.0;
        }
    }

    Outcome run()
    {
        scheduleAt(0.0, [this] {
            handleArrival();
        });
        scheduleAt(kGossipInterval, [this] {
            gossip();
        });
        if (m_config.entryFails) {
            scheduleAt(m_config.seconds / 3.0, [this] {
                failEntry();
            });
        }
        while (!m_events.empty()) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.action();
        }
        return m_outcome;
    }

private:
    struct Event
    {
        double time{};
        std::uint64_t sequence{};
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return time != other.time ? time > other.time : sequence > other.sequence;
        }
    };

    struct Entry
    {
        bool alive{true};
        std::deque<Request> queue;
        std::array<int, kEndpoints> freeSlots{}; ///< Idle slots that the entry owns, by endpoint.
        std::array<int, kEndpoints> inFlight{};
        /// Moving average of the time to a response; 0 before the first one.
        std::array<double, kEndpoints> averageLatency{};
        /// Requests at the endpoint by its last response, plus those sent since.
        std::array<int, kEndpoints> knownLoad{};
        std::array<int, kEntries> reportedIdle{}; ///< Idle slots of each entry by its last gossip.
        std::size_t pendingLoans{}; ///< Loans that were requested and have no response yet.
    };

    void scheduleAt(double time, std::function<void()> action)
    {
        m_events.push({time, m_sequence++, std::move(action)});
    }

    double uniform()
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(m_random);
    }

    std::size_t below(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random);
    }

    static double delay(std::size_t left, std::size_t right)
    {
        return left % kFailureDomains == right % kFailureDomains ? kLocalDelay : kRemoteDelay;
    }

    /// Computes the one-way delay so that endpoints of each speed are in all failure domains.
    static double endpointDelay(std::size_t entry, std::size_t endpoint)
    {
        return delay(entry, endpoint / 3);
    }

    /// Assigns the owner of an endpoint so that each entry owns endpoints of every speed.
    static std::size_t endpointOwner(std::size_t endpoint)
    {
        return (endpoint / 3 + 3 * (endpoint % 3)) % kEntries;
    }

    static int idleSlots(const Entry &entry)
    {
        int idle = 0;
        for (const int free : entry.freeSlots) {
            idle += free;
        }
        return idle;
    }

    void handleArrival()
    {
        if (m_now > m_config.seconds) {
            return;
        }
        scheduleAt(m_now + std::exponential_distribution<double>(m_arrivalRate)(m_random), [this] {
            handleArrival();
        });
        std::size_t number = below(kEntries);
        while (!m_entries.at(number).alive && m_now > m_failedAt + kBalancerDelay) {
            number = below(kEntries);
        }
        ++m_outcome.requests;
        if (!m_entries.at(number).alive) {
            ++m_outcome.lostRequests;
            return;
        }
        if (m_config.strategy == Strategy::OwnerHop) {
            forwardToOwner({m_now, number});
        } else {
            enqueue(number, {m_now, number});
        }
    }

    /// Forwards a request to the one of two random entries that reported more idle slots.
    void forwardToOwner(const Request &request)
    {
        const Entry &entry = m_entries.at(request.entry);
        std::size_t owner = below(kEntries);
        const std::size_t other = below(kEntries);
        const bool removed = m_now > m_failedAt + kRemovalDelay;
        if (entry.reportedIdle.at(other) > entry.reportedIdle.at(owner) || (removed && !m_entries.at(owner).alive)) {
            owner = other;
        }
        scheduleAt(m_now + delay(request.entry, owner), [this, owner, request] {
            enqueue(owner, request);
        });
    }

    void enqueue(std::size_t number, const Request &request)
    {
        Entry &entry = m_entries.at(number);
        if (!entry.alive) {
            ++m_outcome.lostRequests;
        } else if (entry.queue.size() >= kQueueLimit) {
            ++m_outcome.rejectedRequests;
        } else {
            entry.queue.push_back(request);
            dispatch(number);
        }
    }

    void dispatch(std::size_t number)
    {
        Entry &entry = m_entries.at(number);
        while (entry.alive && !entry.queue.empty()) {
            if (m_now - entry.queue.front().arrived > kDeadline) {
                ++m_outcome.rejectedRequests;
                entry.queue.pop_front();
                continue;
            }
            const std::size_t endpoint = chooseEndpoint(entry);
            if (endpoint == kEndpoints) {
                break;
            }
            const Request request = entry.queue.front();
            entry.queue.pop_front();
            if (usesSlots()) {
                --entry.freeSlots.at(endpoint);
            }
            send(number, endpoint, number, request);
        }
        if (m_config.strategy == Strategy::SharesWithLoans) {
            borrow(number);
        }
    }

    bool usesSlots() const
    {
        return m_config.strategy != Strategy::TwoChoices && m_config.strategy != Strategy::LearnedLoad;
    }

    /// Chooses the endpoint for the next request of an entry.
    /// @return the endpoint, or kEndpoints if the request must wait
    std::size_t chooseEndpoint(const Entry &entry)
    {
        if (m_config.strategy == Strategy::TwoChoices) {
            const std::size_t left = below(kEndpoints);
            const std::size_t right = below(kEndpoints);
            const auto cost = [&](std::size_t endpoint) {
                return (entry.inFlight.at(endpoint) + 1) * entry.averageLatency.at(endpoint);
            };
            const std::size_t better = cost(left) <= cost(right) ? left : right;
            return entry.inFlight.at(better) < kSlotsPerEndpoint ? better : kEndpoints;
        }
        std::size_t best = kEndpoints;
        double bestCost = 0.0;
        for (std::size_t endpoint = 0; endpoint < kEndpoints; ++endpoint) {
            const bool learnedLoad = m_config.strategy == Strategy::LearnedLoad;
            // An entry learns the load of an endpoint only from responses. Without a request in flight there it may
            // send one to a full endpoint, since it would never see that the endpoint has capacity again.
            const bool hasCapacity
                = entry.knownLoad.at(endpoint) < kSlotsPerEndpoint || entry.inFlight.at(endpoint) == 0;
            const bool free = learnedLoad ? hasCapacity : entry.freeSlots.at(endpoint) > 0;
            const double loadFactor
                = learnedLoad ? 1.0 + static_cast<double>(entry.knownLoad.at(endpoint)) / kSlotsPerEndpoint : 1.0;
            const double cost = entry.averageLatency.at(endpoint) * loadFactor;
            if (free && (best == kEndpoints || cost < bestCost)) {
                best = endpoint;
                bestCost = cost;
            }
        }
        return best;
    }

    /// Requests a loan for each queued request that has none pending, from the entry that reported the most idle slots.
    void borrow(std::size_t number)
    {
        Entry &entry = m_entries.at(number);
        while (entry.alive && entry.pendingLoans < entry.queue.size()) {
            const auto most = std::max_element(entry.reportedIdle.begin(), entry.reportedIdle.end());
            if (*most <= 0) {
                return;
            }
            --*most;
            ++entry.pendingLoans;
            const auto lender = static_cast<std::size_t>(most - entry.reportedIdle.begin());
            scheduleAt(m_now + delay(number, lender), [this, number, lender] {
                lend(number, lender);
            });
        }
    }

    void lend(std::size_t borrower, std::size_t number)
    {
        Entry &lender = m_entries.at(number);
        const double responseAt = m_now + delay(borrower, number);
        if (!lender.alive) {
            scheduleAt(m_now + 1.0, [this, borrower, number] {
                receiveLoan(borrower, number, kEndpoints, 0);
            });
            return;
        }
        const std::size_t endpoint = lender.queue.empty() ? chooseEndpoint(lender) : kEndpoints;
        if (endpoint != kEndpoints) {
            --lender.freeSlots.at(endpoint);
        }
        scheduleAt(responseAt, [this, borrower, number, endpoint, idle = idleSlots(lender)] {
            receiveLoan(borrower, number, endpoint, idle);
        });
    }

    void receiveLoan(std::size_t number, std::size_t lender, std::size_t endpoint, int idle)
    {
        Entry &entry = m_entries.at(number);
        --entry.pendingLoans;
        entry.reportedIdle.at(lender) = idle;
        if (!entry.alive) {
            return;
        }
        if (endpoint != kEndpoints && entry.queue.empty()) {
            returnSlot(number, lender, endpoint);
        } else if (endpoint != kEndpoints) {
            const Request request = entry.queue.front();
            entry.queue.pop_front();
            send(number, endpoint, lender, request);
        }
        dispatch(number);
    }

    void returnSlot(std::size_t number, std::size_t owner, std::size_t endpoint)
    {
        if (!usesSlots()) {
            return;
        }
        const double returnedAt = number == owner ? m_now : m_now + delay(number, owner);
        scheduleAt(returnedAt, [this, owner, endpoint] {
            if (m_entries.at(owner).alive) {
                ++m_entries.at(owner).freeSlots.at(endpoint);
                dispatch(owner);
            }
        });
    }

    void send(std::size_t number, std::size_t endpoint, std::size_t owner, const Request &request)
    {
        ++m_entries.at(number).inFlight.at(endpoint);
        ++m_entries.at(number).knownLoad.at(endpoint);
        scheduleAt(m_now + endpointDelay(number, endpoint), [this, number, endpoint, owner, request, sent = m_now] {
            int &running = m_running.at(endpoint);
            ++running;
            m_outcome.maxRunning = std::max(m_outcome.maxRunning, running);
            // An endpoint with more requests than slots divides its speed among them.
            const double slowdown = std::max(1.0, static_cast<double>(running) / kSlotsPerEndpoint);
            const double mean = m_meanServiceTime.at(endpoint) * slowdown;
            const double logMean = std::log(mean) - kServiceSigma * kServiceSigma / 2.0;
            const double service = std::lognormal_distribution<double>(logMean, kServiceSigma)(m_random);
            scheduleAt(m_now + service, [this, number, endpoint, owner, request, sent] {
                --m_running.at(endpoint);
                scheduleAt(m_now + endpointDelay(number, endpoint),
                           [this, number, endpoint, owner, request, sent, load = m_running.at(endpoint)] {
                               handleResponse(number, endpoint, owner, request, sent, load);
                           });
            });
        });
    }

    void handleResponse(std::size_t number, std::size_t endpoint, std::size_t owner, const Request &request,
                        double sent, int load)
    {
        Entry &entry = m_entries.at(number);
        if (!entry.alive || !m_entries.at(request.entry).alive) {
            ++m_outcome.lostRequests;
        }
        if (!entry.alive) {
            if (owner != number) {
                scheduleAt(std::max(m_now, sent + kRequestTimeout + kLoanGrace), [this, owner, endpoint] {
                    returnSlot(owner, owner, endpoint);
                });
            }
            return;
        }
        --entry.inFlight.at(endpoint);
        entry.knownLoad.at(endpoint) = std::max(load, entry.inFlight.at(endpoint));
        double &averageLatency = entry.averageLatency.at(endpoint);
        averageLatency = averageLatency == 0.0 ? m_now - sent
                                               : averageLatency + kLatencySmoothing * (m_now - sent - averageLatency);
        const double returnDelay = request.entry == number ? 0.0 : delay(number, request.entry);
        if (m_entries.at(request.entry).alive) {
            m_outcome.latencies.push_back(m_now + returnDelay - request.arrived);
        }
        returnSlot(number, owner, endpoint);
        dispatch(number);
    }

    void gossip()
    {
        for (std::size_t from = 0; from < kEntries; ++from) {
            const Entry &sender = m_entries.at(from);
            const int idle = sender.alive && sender.queue.empty() ? idleSlots(sender) : 0;
            for (std::size_t to = 0; to < kEntries; ++to) {
                // The last report of a failed entry is used until its removal.
                if (sender.alive || m_now > m_failedAt + kRemovalDelay) {
                    m_entries.at(to).reportedIdle.at(from)
                        = from == to && m_config.strategy != Strategy::OwnerHop ? 0 : idle;
                }
            }
        }
        for (std::size_t number = 0; number < kEntries; ++number) {
            dispatch(number);
        }
        if (m_now < m_config.seconds + kDeadline + kGossipInterval) {
            scheduleAt(m_now + kGossipInterval, [this] {
                gossip();
            });
        }
    }

    void failEntry()
    {
        Entry &entry = m_entries.at(kFailingEntry);
        m_failedAt = m_now;
        entry.alive = false;
        m_outcome.lostRequests += entry.queue.size();
        entry.queue.clear();
        scheduleAt(m_now + kRemovalDelay + kRequestTimeout, [this] {
            reassignSlots();
        });
    }

    /// Distributes the slots of the failed entry to the others, once its requests have timed out.
    void reassignSlots()
    {
        if (!usesSlots()) {
            return;
        }
        std::size_t newOwner = 0;
        for (std::size_t endpoint = 0; endpoint < kEndpoints; ++endpoint) {
            for (std::size_t slot = 0; slot < kSlotsPerEndpoint; ++slot) {
                const std::size_t slotIndex = endpoint * kSlotsPerEndpoint + slot;
                const bool wasOwned = m_config.strategy == Strategy::OwnerHop ? endpointOwner(endpoint) == kFailingEntry
                                                                              : slotIndex % kEntries == kFailingEntry;
                if (!wasOwned) {
                    continue;
                }
                if (m_config.strategy != Strategy::OwnerHop || slot == 0) {
                    do {
                        newOwner = (newOwner + 1) % kEntries;
                    } while (newOwner == kFailingEntry);
                }
                ++m_entries.at(newOwner).freeSlots.at(endpoint);
            }
        }
    }

    Config m_config;
    std::mt19937_64 m_random;
    std::priority_queue<Event> m_events;
    std::uint64_t m_sequence{};
    double m_now{};
    double m_arrivalRate{};
    double m_failedAt{1e18};
    std::array<double, kEndpoints> m_meanServiceTime{};
    std::array<int, kEndpoints> m_running{};
    std::array<Entry, kEntries> m_entries{};
    Outcome m_outcome;
};

void measure(Report &report, const std::string &scenario, Config config)
{
    const std::array<std::pair<const char *, Strategy>, 5> strategies{{{"static_shares", Strategy::StaticShares},
                                                                       {"shares_with_loans", Strategy::SharesWithLoans},
                                                                       {"two_choices", Strategy::TwoChoices},
                                                                       {"learned_load", Strategy::LearnedLoad},
                                                                       {"owner_hop", Strategy::OwnerHop}}};
    for (const auto &[name, strategy] : strategies) {
        config.strategy = strategy;
        const Outcome outcome = RoutingRun(config).run();
        std::string key = scenario;
        key += '.';
        key += name;
        const auto requests = static_cast<double>(outcome.requests);
        report.add(key + ".p50", percentile(outcome.latencies, 0.50) * 1'000.0, "ms");
        report.add(key + ".p99", percentile(outcome.latencies, 0.99) * 1'000.0, "ms");
        report.add(key + ".refused", static_cast<double>(outcome.rejectedRequests) / requests, "share");
        report.add(key + ".broken", static_cast<double>(outcome.lostRequests), "requests");
        report.add(key + ".most_running", outcome.maxRunning, "requests");
    }
}

} // namespace

int main(int argc, char **argv)
{
    const BenchOptions options = parseOptions(
        argc, argv, "Simulation in virtual time of strategies that share endpoint slots between entries");
    Report report(options);
    Config config;
    config.seed = options.seed;
    config.seconds = options.quick ? 9.0 : 60.0;
    for (const int percent : {50, 80, 95, 120}) {
        config.load = percent / 100.0;
        measure(report, "load" + std::to_string(percent), config);
    }
    config.load = 0.8;
    config.slowEndpoint = true;
    measure(report, "slow_endpoint", config);
    config.slowEndpoint = false;
    config.entryFails = true;
    measure(report, "entry_dies", config);
    report.finish();
    return 0;
}
