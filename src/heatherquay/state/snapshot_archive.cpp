#include "heatherquay/state/snapshot_archive.hpp"

#include "heatherquay/error.hpp"

#include <charconv>

namespace heatherquay::state::detail
{

namespace
{

[[noreturn]] void throwDamaged(std::size_t position)
{
    throw Error(ErrorKind::BadInput, "the snapshot is damaged at byte " + std::to_string(position),
                "use another snapshot or read the journal from its start");
}

} // namespace

void SnapshotWriter::number(std::uint64_t value)
{
    m_text += std::to_string(value);
    m_text += ' ';
}

void SnapshotWriter::text(const std::string &value)
{
    number(value.size());
    m_text += value;
    m_text += ' ';
}

std::uint64_t SnapshotReader::number()
{
    std::uint64_t value = 0;
    const char *begin = m_text.data() + m_position;
    const char *end = m_text.data() + m_text.size();
    const auto result = std::from_chars(begin, end, value);
    if (result.ec != std::errc() || result.ptr == end || *result.ptr != ' ') {
        throwDamaged(m_position);
    }
    m_position += static_cast<std::size_t>(result.ptr - begin) + 1;
    return value;
}

std::string SnapshotReader::text()
{
    const std::size_t length = size();
    if (m_text.size() - m_position <= length || m_text[m_position + length] != ' ') {
        throwDamaged(m_position);
    }
    std::string value = m_text.substr(m_position, length);
    m_position += length + 1;
    return value;
}

std::size_t SnapshotReader::size()
{
    const std::uint64_t value = number();
    if (value > m_text.size() - m_position) {
        throwDamaged(m_position);
    }
    return value;
}

void SnapshotReader::expectEnd() const
{
    if (m_position != m_text.size()) {
        throwDamaged(m_position);
    }
}

} // namespace heatherquay::state::detail
