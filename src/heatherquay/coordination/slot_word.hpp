#pragma once

#include <atomic>
#include <cstdint>
#include <optional>

namespace heatherquay::coordination
{

/// Two bit sets for the slots of one endpoint in a single atomic word: the slots that this entry may use, and the slots
/// that are taken by a request, a loan or a quarantine. Lock-free. Because both sets share one word, taking a slot and
/// making it unusable cannot race.
class SlotWord
{
public:
    /// Takes a usable free slot.
    /// @return the number of the slot, or std::nullopt if no slot is usable and free
    std::optional<std::uint32_t> take();
    /// Takes slot @p slot if it is usable and free.
    /// @return whether the slot was taken
    bool takeExactly(std::uint32_t slot);
    /// Releases a taken slot.
    void release(std::uint32_t slot);
    /// Replaces the set of usable slots. Taken slots stay taken.
    void setUsable(std::uint32_t mask);

    /// @return bit mask of the usable slots
    std::uint32_t usable() const;
    /// @return bit mask of the taken slots
    std::uint32_t taken() const;
    /// @return number of slots that are usable and not taken
    std::uint32_t freeCount() const;

private:
    std::atomic<std::uint64_t> m_word{0}; ///< Low 32 bits: usable slots; high 32 bits: taken slots.
};

} // namespace heatherquay::coordination
