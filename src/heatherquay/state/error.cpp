#include "heatherquay/error.hpp"

namespace heatherquay
{

std::string_view toString(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::BadInput:
        return "bad-input";
    case ErrorKind::NotFound:
        return "not-found";
    case ErrorKind::Conflict:
        return "conflict";
    case ErrorKind::Unauthorized:
        return "unauthorized";
    case ErrorKind::Overloaded:
        return "overloaded";
    case ErrorKind::Unavailable:
        return "unavailable";
    case ErrorKind::OutcomeUnknown:
        return "outcome-unknown";
    case ErrorKind::Timeout:
        return "timeout";
    case ErrorKind::Internal:
        return "internal";
    }
    return "internal";
}

Error::Error(ErrorKind kind, const std::string &message, const std::string &remedy)
    : std::runtime_error(remedy.empty() ? message : message + "; " + remedy)
    , m_kind(kind)
    , m_remedy(remedy)
{
}

} // namespace heatherquay
