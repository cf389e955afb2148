#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace heatherquay::transport
{

/// Limits the memory that peers make a process hold: connections, requests that have not arrived completely, and
/// responses that are not read. Servers share one budget. Thread-safe.
class MemoryBudget
{
public:
    /// What one connection holds. The destructor returns it to the budget. Not thread-safe.
    class Account
    {
    public:
        /// @param address IP address of the peer; empty when the part of an address is not limited
        Account(std::shared_ptr<MemoryBudget> budget, std::string address);
        ~Account();
        Account(const Account &) = delete;
        Account &operator=(const Account &) = delete;

        /// Charges what a new connection takes. Connections may use the whole budget.
        /// @return whether the budget has room
        bool openConnection(std::size_t bytes);
        /// Changes what a request holds beside the connection. Requests may use a part of the budget, and those of one
        /// address a part of that, so that small requests find room beside large ones.
        /// @return whether the budget has room; otherwise nothing has changed
        bool setRequest(std::size_t bytes);
        /// Changes what a response holds. It always succeeds, because the request has run.
        void setResponse(std::size_t bytes);

    private:
        std::shared_ptr<MemoryBudget> m_budget;
        std::string m_address;
        std::size_t m_connection{};
        std::size_t m_request{};
        std::size_t m_response{};
    };

    /// @param bytes most that all accounts hold together; responses can exceed it
    explicit MemoryBudget(std::size_t bytes);

    /// @return the smallest budget with room for one request of @p bytes beside a few connections
    static std::size_t sizeForRequest(std::size_t bytes);

    std::size_t limit() const
    {
        return m_limit;
    }
    /// @return the bytes that all accounts hold
    std::size_t held() const
    {
        return m_held.load(std::memory_order_relaxed);
    }
    /// @return how often the budget had no room
    std::uint64_t refusals() const
    {
        return m_refusals.load(std::memory_order_relaxed);
    }

private:
    bool charge(std::size_t bytes, std::size_t limit);
    /// Charges bytes that may exceed the limit.
    void chargeBeyond(std::size_t bytes);
    /// Notes that memory is to be returned later, if @p held is much.
    void noteHeld(std::size_t held);
    void refund(std::size_t bytes);
    bool chargeRequest(const std::string &address, std::size_t bytes);
    void refundRequest(const std::string &address, std::size_t bytes);

    const std::size_t m_limit;
    std::atomic<std::size_t> m_held{0};
    std::atomic<std::uint64_t> m_refusals{0};
    /// Much was held since memory was last returned to the system.
    std::atomic<bool> m_trimWhenIdle{false};
    std::mutex m_mutex;
    std::map<std::string, std::size_t> m_requestsByAddress;
};

/// @return the memory that this process may use, in bytes: the limit of its control group or, if lower or without such
/// a limit, the physical memory
std::size_t usableMemory();

} // namespace heatherquay::transport
