#pragma once

#include "heatherquay/state/batch/worker.hpp"
#include "heatherquay/state/time.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace heatherquay::coordination::batch
{

/// Limits of the calls to workers: orders, or polls that are answered at once.
struct SendLimits
{
    double bytesPerMillisecond{17'500}; ///< Rate of orders; 0.7 of a link of 200 Mbit/s.
    state::Duration burst{30}; ///< Orders of this time at the rate may be sent at once.
    std::uint32_t inFlightMax{64}; ///< Bounds the answers that wait for the processor at the same time.
    std::uint32_t inFlightPerWorker{2}; ///< Connections for orders to one worker.
    /// An order without an answer counts as in flight for this long, so that silent workers do not stop all orders.
    state::Duration answerTime{100};
    state::Duration backlog{150}; ///< Work for this time at the rate may wait in the queue before placement pauses.
    double typicalBytes{900}; ///< Size of an order of average payload, for the length of the backlog in orders.
};

/// Order in which queued calls are sent.
enum class SendClass
{
    Urgent, ///< Starts of urgent jobs, and stops, which make room.
    Ordinary
};

/// Calls to workers that wait to be sent. Keeps to the rate of the link, limits the calls in flight, in total and to
/// each worker, and sends urgent ones first. Uses no clock and no network. The decider has one queue for orders and one
/// for polls; the names below speak of orders.
/// @tparam Order what is sent
template<typename Order>
class SendQueue
{
public:
    /// Identifies an order in flight.
    using Ticket = std::uint64_t;
    struct Sent
    {
        Ticket ticket{};
        Order order;
    };

    explicit SendQueue(SendLimits limits = {})
        : m_limits(limits)
        , m_tokens(burstBytes())
    {
    }

    /// Adds an order behind those of its class.
    /// @param bytes size on the wire
    void push(SendClass sendClass, const state::WorkerId &worker, double bytes, Order order)
    {
        Waiting &waiting = m_waiting[worker];
        unlist(worker, waiting);
        waiting.items.emplace(Key{sendClass, ++m_sequence}, Item{bytes, std::move(order)});
        list(worker, waiting);
        ++m_size;
    }
    /// @return the next order if one may be sent now; it counts as in flight until answered()
    std::optional<Sent> pop(state::Instant now);
    /// Reports that the order was answered, or that its call has ended without an answer.
    void answered(Ticket ticket);
    /// @return the time after which pop() may return an order if nothing is answered before; nothing while the queue is
    /// empty or only an answer helps
    std::optional<state::Duration> nextSendIn(state::Instant now) const;
    std::size_t size() const
    {
        return m_size;
    }
    /// @return how many further orders may be planned before the backlog is full
    std::size_t freeBacklog() const
    {
        const double orders
            = m_limits.bytesPerMillisecond * static_cast<double>(m_limits.backlog.count()) / m_limits.typicalBytes;
        const auto most = std::max<std::size_t>(static_cast<std::size_t>(orders), 1);
        return most > m_size ? most - m_size : 0;
    }

private:
    using Key = std::pair<SendClass, std::uint64_t>;
    struct Item
    {
        double bytes{};
        Order order;
    };
    struct Waiting
    {
        std::map<Key, Item> items;
        std::uint32_t inFlight{};
    };
    struct InFlight
    {
        state::WorkerId worker;
        state::Instant sentAt;
    };

    double burstBytes() const
    {
        return m_limits.bytesPerMillisecond * static_cast<double>(m_limits.burst.count());
    }
    /// Removes the worker's first order from the orders that may be sent.
    void unlist(const state::WorkerId &worker, const Waiting &waiting)
    {
        if (!waiting.items.empty()) {
            m_ready.erase({waiting.items.begin()->first, worker});
        }
    }
    /// Adds the worker's first order to the orders that may be sent, if the worker takes another one.
    void list(const state::WorkerId &worker, const Waiting &waiting)
    {
        if (!waiting.items.empty() && waiting.inFlight < m_limits.inFlightPerWorker) {
            m_ready.insert({waiting.items.begin()->first, worker});
        }
    }
    double tokensAt(state::Instant now) const
    {
        const double earned = m_limits.bytesPerMillisecond * static_cast<double>((now - m_refilledAt).count());
        return std::min(m_tokens + std::max(earned, 0.0), burstBytes());
    }
    std::size_t recentlySent(state::Instant now) const
    {
        const auto old = m_sentAt.upper_bound({now - m_limits.answerTime, ~std::uint64_t{}});
        return static_cast<std::size_t>(std::distance(old, m_sentAt.end()));
    }

    SendLimits m_limits;
    std::map<state::WorkerId, Waiting> m_waiting;
    std::set<std::pair<Key, state::WorkerId>> m_ready; ///< First order of each worker that takes another one.
    std::map<Ticket, InFlight> m_inFlight;
    std::set<std::pair<state::Instant, Ticket>> m_sentAt; ///< Orders in flight by the time of sending.
    double m_tokens; ///< Bytes that may be sent at m_refilledAt; negative after an order above the burst.
    state::Instant m_refilledAt;
    std::uint64_t m_sequence{};
    Ticket m_lastTicket{};
    std::size_t m_size{};
};

template<typename Order>
std::optional<typename SendQueue<Order>::Sent> SendQueue<Order>::pop(state::Instant now)
{
    const double tokens = tokensAt(now);
    if (m_ready.empty() || tokens <= 0 || recentlySent(now) >= m_limits.inFlightMax) {
        return std::nullopt;
    }
    const state::WorkerId worker = m_ready.begin()->second;
    Waiting &waiting = m_waiting.at(worker);
    unlist(worker, waiting);
    auto item = waiting.items.extract(waiting.items.begin());
    m_tokens = tokens - item.mapped().bytes;
    m_refilledAt = now;
    --m_size;
    ++waiting.inFlight;
    list(worker, waiting);
    const Ticket ticket = ++m_lastTicket;
    m_inFlight[ticket] = {worker, now};
    m_sentAt.insert({now, ticket});
    return Sent{ticket, std::move(item.mapped().order)};
}

template<typename Order>
void SendQueue<Order>::answered(Ticket ticket)
{
    const auto found = m_inFlight.find(ticket);
    if (found == m_inFlight.end()) {
        return;
    }
    const state::WorkerId worker = found->second.worker;
    m_sentAt.erase({found->second.sentAt, ticket});
    m_inFlight.erase(found);
    Waiting &waiting = m_waiting.at(worker);
    --waiting.inFlight;
    if (waiting.items.empty() && waiting.inFlight == 0) {
        m_waiting.erase(worker);
        return;
    }
    list(worker, waiting);
}

template<typename Order>
std::optional<state::Duration> SendQueue<Order>::nextSendIn(state::Instant now) const
{
    if (m_ready.empty()) {
        return std::nullopt;
    }
    state::Duration wait{0};
    if (const double tokens = tokensAt(now); tokens <= 0) {
        wait = state::Duration(static_cast<std::int64_t>(-tokens / m_limits.bytesPerMillisecond) + 1);
    }
    if (recentlySent(now) >= m_limits.inFlightMax) {
        // The oldest of the last inFlightMax orders stops counting first.
        auto oldest = m_sentAt.end();
        std::advance(oldest, -static_cast<std::ptrdiff_t>(m_limits.inFlightMax));
        wait = std::max(wait, oldest->first + m_limits.answerTime - now + state::Duration(1));
    }
    return wait;
}

} // namespace heatherquay::coordination::batch
