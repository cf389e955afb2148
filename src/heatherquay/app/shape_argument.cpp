#include "heatherquay/app/shape_argument.hpp"

#include "heatherquay/error.hpp"

#include <array>
#include <charconv>
#include <utility>

namespace heatherquay::app
{

namespace detail
{

using AdjacencyName = std::pair<const char *, state::Adjacency>;
constexpr std::array<AdjacencyName, 5> adjacencyNames{{{"none", state::Adjacency::None},
                                                       {"worker", state::Adjacency::Worker},
                                                       {"rack", state::Adjacency::Rack},
                                                       {"failure-domain", state::Adjacency::FailureDomain},
                                                       {"region", state::Adjacency::Region}}};

Error shapeError(const std::string &text)
{
    return {ErrorKind::BadInput, "\"" + text + "\" is not a valid part of a shape",
            "write COUNT[xKIND[/KIND]][@ADJACENCY], such as 8xa100@rack; adjacency is none, worker, rack, "
            "failure-domain or region"};
}

state::Adjacency parseAdjacency(const std::string &name, const std::string &partText)
{
    for (const auto &[known, adjacency] : adjacencyNames) {
        if (name == known) {
            return adjacency;
        }
    }
    throw shapeError(partText);
}

std::vector<std::string> splitKinds(const std::string &text, const std::string &partText)
{
    std::vector<std::string> kinds;
    std::size_t at = 0;
    while (at <= text.size()) {
        const std::size_t end = std::min(text.find('/', at), text.size());
        if (end == at) {
            throw shapeError(partText);
        }
        kinds.push_back(text.substr(at, end - at));
        at = end + 1;
    }
    return kinds;
}

state::ShapePart parsePart(const std::string &partText)
{
    state::ShapePart part;
    std::string text = partText;
    const std::size_t at = text.find('@');
    if (at != std::string::npos) {
        part.adjacency = parseAdjacency(text.substr(at + 1), partText);
        text.resize(at);
    }
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, part.count);
    if (error != std::errc() || part.count == 0) {
        throw shapeError(partText);
    }
    if (rest != end) {
        if (*rest != 'x') {
            throw shapeError(partText);
        }
        part.kinds = splitKinds(std::string(rest + 1, end), partText);
    }
    return part;
}

} // namespace detail

state::Shape parseShape(const std::vector<std::string> &parts)
{
    state::Shape shape;
    for (const std::string &part : parts) {
        shape.parts.push_back(detail::parsePart(part));
    }
    return shape;
}

} // namespace heatherquay::app
