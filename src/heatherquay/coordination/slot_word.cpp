#include "heatherquay/coordination/slot_word.hpp"

#include <bit>

namespace heatherquay::coordination
{

namespace detail
{

constexpr unsigned takenShift = 32;

std::uint32_t usableOf(std::uint64_t word)
{
    return static_cast<std::uint32_t>(word);
}

std::uint32_t takenOf(std::uint64_t word)
{
    return static_cast<std::uint32_t>(word >> takenShift);
}

std::uint64_t takenBit(std::uint32_t slot)
{
    return std::uint64_t{1} << (takenShift + slot);
}

} // namespace detail

std::optional<std::uint32_t> SlotWord::take()
{
    std::uint64_t word = m_word.load();
    while (true) {
        const std::uint32_t available = detail::usableOf(word) & ~detail::takenOf(word);
        if (available == 0) {
            return std::nullopt;
        }
        const auto slot = static_cast<std::uint32_t>(std::countr_zero(available));
        if (m_word.compare_exchange_weak(word, word | detail::takenBit(slot))) {
            return slot;
        }
    }
}

bool SlotWord::takeExactly(std::uint32_t slot)
{
    std::uint64_t word = m_word.load();
    while (true) {
        const std::uint32_t available = detail::usableOf(word) & ~detail::takenOf(word);
        if ((available & (1U << slot)) == 0) {
            return false;
        }
        if (m_word.compare_exchange_weak(word, word | detail::takenBit(slot))) {
            return true;
        }
    }
}

void SlotWord::release(std::uint32_t slot)
{
    m_word.fetch_and(~detail::takenBit(slot));
}

void SlotWord::setUsable(std::uint32_t mask)
{
    std::uint64_t word = m_word.load();
    std::uint64_t changed = 0;
    do {
        changed = (word & ~std::uint64_t{0xffffffffU}) | mask;
    } while (!m_word.compare_exchange_weak(word, changed));
}

std::uint32_t SlotWord::usable() const
{
    return detail::usableOf(m_word.load());
}

std::uint32_t SlotWord::taken() const
{
    return detail::takenOf(m_word.load());
}

std::uint32_t SlotWord::freeCount() const
{
    const std::uint64_t word = m_word.load();
    return static_cast<std::uint32_t>(std::popcount(detail::usableOf(word) & ~detail::takenOf(word)));
}

} // namespace heatherquay::coordination
