#pragma once

#include <atomic>
#include <memory>
#include <mutex>

#include <urcu/urcu-bp.h>

namespace heatherquay::transport
{

/// Holds a value that is read on every request and rarely replaced, protected by RCU (read-copy-update). Readers take
/// no lock. A writer waits until no reader accesses the old pointer, then deletes it.
/// @tparam T type of the value, which is immutable once stored
template<typename T>
class RcuCell
{
public:
    explicit RcuCell(std::shared_ptr<const T> initial)
        : m_current(new std::shared_ptr<const T>(std::move(initial)))
    {
    }
    RcuCell(const RcuCell &) = delete;
    RcuCell &operator=(const RcuCell &) = delete;
    ~RcuCell()
    {
        delete m_current.load(std::memory_order_relaxed);
    }

    /// @return the current value, which stays valid for as long as the caller keeps the pointer
    std::shared_ptr<const T> read() const
    {
        urcu_bp_read_lock();
        std::shared_ptr<const T> value = *m_current.load(std::memory_order_acquire);
        urcu_bp_read_unlock();
        return value;
    }

    /// Replaces the value and waits for concurrent readers. Must not be called inside an RCU read-side critical
    /// section, which would deadlock.
    void replace(std::shared_ptr<const T> value)
    {
        auto *replacement = new std::shared_ptr<const T>(std::move(value));
        const std::shared_ptr<const T> *old = m_current.exchange(replacement, std::memory_order_acq_rel);
        urcu_bp_synchronize_rcu();
        delete old;
    }

private:
    std::atomic<const std::shared_ptr<const T> *> m_current;
};

} // namespace heatherquay::transport
