#include "heatherquay/protocol/outcome.hpp"

namespace heatherquay::protocol
{

std::string_view toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Ran:
        return "ran";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

} // namespace heatherquay::protocol
