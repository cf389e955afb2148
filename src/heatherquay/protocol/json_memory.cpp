#include "heatherquay/protocol/json_memory.hpp"

#include <new>

#include <boost/json.hpp>

namespace heatherquay::protocol
{

namespace json = boost::json;

namespace
{

/// Allocates up to a limit in total.
class BoundedMemory final : public json::memory_resource
{
public:
    explicit BoundedMemory(std::size_t bytesMax)
        : m_left(bytesMax)
    {
    }

protected:
    void *do_allocate(std::size_t bytes, std::size_t alignment) override
    {
        if (bytes > m_left) {
            throw std::bad_alloc();
        }
        void *memory = ::operator new(bytes, std::align_val_t(alignment));
        m_left -= bytes;
        return memory;
    }
    void do_deallocate(void *memory, std::size_t bytes, std::size_t alignment) override
    {
        ::operator delete(memory, std::align_val_t(alignment));
        m_left += bytes;
    }
    bool do_is_equal(const json::memory_resource &other) const noexcept override
    {
        return this == &other;
    }

private:
    std::size_t m_left;
};

} // namespace

JsonDocument parseJsonWithin(std::string_view text, std::size_t bytesMax)
{
    const auto memory = json::make_shared_resource<BoundedMemory>(bytesMax);
    try {
        // The parser's own stack counts too: it grows to the size of the largest array.
        json::parser parser(memory);
        parser.reset(memory);
        json::error_code error;
        parser.write(text.data(), text.size(), error);
        return error ? JsonDocument{nullptr, JsonProblem::Malformed}
                     : JsonDocument{parser.release(), JsonProblem::None};
    } catch (const std::bad_alloc &) {
        return {nullptr, JsonProblem::TooLarge};
    }
}

} // namespace heatherquay::protocol
