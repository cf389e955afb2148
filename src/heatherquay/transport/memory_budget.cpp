#include "heatherquay/transport/memory_budget.hpp"

#include <algorithm>
#include <fstream>
#include <utility>

#include <malloc.h>
#include <unistd.h>

namespace heatherquay::transport
{

namespace
{

// The rest of the budget is for connections and small requests.
constexpr std::size_t requestsNumerator = 3;
constexpr std::size_t requestsDenominator = 4;
// One address leaves half of the requests' part to the others.
constexpr std::size_t addressDivisor = 2;
// Memory is returned to the system when a crowd has left: after more than a quarter was held, below an eighth. Large
// budgets return it from fixed sizes.
constexpr std::size_t crowdDivisor = 4;
constexpr std::size_t idleDivisor = 8;
constexpr std::size_t crowdBytesMax = 8 * 1024 * 1024;
constexpr std::size_t idleBytesMax = 4 * 1024 * 1024;
constexpr const char *controlGroupLimit = "/sys/fs/cgroup/memory.max";

} // namespace

MemoryBudget::Account::Account(std::shared_ptr<MemoryBudget> budget, std::string address)
    : m_budget(std::move(budget))
    , m_address(std::move(address))
{
}

MemoryBudget::Account::~Account()
{
    setRequest(0);
    setResponse(0);
    m_budget->refund(m_connection);
}

bool MemoryBudget::Account::openConnection(std::size_t bytes)
{
    if (!m_budget->charge(bytes, m_budget->m_limit)) {
        return false;
    }
    m_connection += bytes;
    return true;
}

bool MemoryBudget::Account::setRequest(std::size_t bytes)
{
    if (bytes > m_request && !m_budget->chargeRequest(m_address, bytes - m_request)) {
        return false;
    }
    if (bytes < m_request) {
        m_budget->refundRequest(m_address, m_request - bytes);
    }
    m_request = bytes;
    return true;
}

void MemoryBudget::Account::setResponse(std::size_t bytes)
{
    if (bytes > m_response) {
        m_budget->chargeBeyond(bytes - m_response);
    } else if (bytes < m_response) {
        m_budget->refund(m_response - bytes);
    }
    m_response = bytes;
}

MemoryBudget::MemoryBudget(std::size_t bytes)
    : m_limit(bytes)
{
}

std::size_t MemoryBudget::sizeForRequest(std::size_t bytes)
{
    // Rounding in the limits of requests and addresses takes a few bytes.
    return (bytes + requestsDenominator) * addressDivisor * requestsDenominator / requestsNumerator;
}

bool MemoryBudget::charge(std::size_t bytes, std::size_t limit)
{
    std::size_t held = m_held.load(std::memory_order_relaxed);
    do {
        if (bytes > limit || held > limit - bytes) {
            m_refusals.fetch_add(1, std::memory_order_relaxed);
            return false;
        }
    } while (!m_held.compare_exchange_weak(held, held + bytes, std::memory_order_relaxed));
    noteHeld(held + bytes);
    return true;
}

void MemoryBudget::chargeBeyond(std::size_t bytes)
{
    noteHeld(m_held.fetch_add(bytes, std::memory_order_relaxed) + bytes);
}

void MemoryBudget::noteHeld(std::size_t held)
{
    if (held > std::min(m_limit / crowdDivisor, crowdBytesMax)) {
        m_trimWhenIdle.store(true, std::memory_order_relaxed);
    }
}

void MemoryBudget::refund(std::size_t bytes)
{
    const std::size_t left = m_held.fetch_sub(bytes, std::memory_order_relaxed) - bytes;
    // The allocator keeps what was freed, which after a crowd is most of the process.
    if (left < std::min(m_limit / idleDivisor, idleBytesMax) && m_trimWhenIdle.load(std::memory_order_relaxed)
        && m_trimWhenIdle.exchange(false)) {
        ::malloc_trim(0);
    }
}

bool MemoryBudget::chargeRequest(const std::string &address, std::size_t bytes)
{
    const std::size_t requestsLimit = m_limit / requestsDenominator * requestsNumerator;
    const std::lock_guard lock(m_mutex);
    std::size_t &fromAddress = m_requestsByAddress[address];
    const std::size_t addressLimit = address.empty() ? requestsLimit : requestsLimit / addressDivisor;
    const bool fits = bytes <= addressLimit && fromAddress <= addressLimit - bytes;
    if (!fits) {
        m_refusals.fetch_add(1, std::memory_order_relaxed);
    }
    if (!fits || !charge(bytes, requestsLimit)) {
        if (fromAddress == 0) {
            m_requestsByAddress.erase(address);
        }
        return false;
    }
    fromAddress += bytes;
    return true;
}

void MemoryBudget::refundRequest(const std::string &address, std::size_t bytes)
{
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_requestsByAddress.find(address);
        found->second -= bytes;
        if (found->second == 0) {
            m_requestsByAddress.erase(found);
        }
    }
    refund(bytes);
}

std::size_t usableMemory()
{
    const auto physical
        = static_cast<std::size_t>(::sysconf(_SC_PHYS_PAGES)) * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
    std::size_t limit = 0;
    std::ifstream file(controlGroupLimit); // Holds "max" without a limit.
    return file >> limit && limit > 0 ? std::min(limit, physical) : physical;
}

} // namespace heatherquay::transport
