#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace heatherquay
{

/// Categories of errors that callers and operators handle differently.
enum class ErrorKind
{
    BadInput, ///< The input violates a documented rule; a retry with the same input fails again.
    NotFound, ///< The named object does not exist.
    Conflict, ///< The operation does not match the current state of the object.
    Unauthorized, ///< The token is missing or wrong.
    Overloaded, ///< A limit is reached; a later retry may succeed.
    Unavailable, ///< Another system is unreachable; the operation is known to have had no effect.
    OutcomeUnknown, ///< The operation may or may not have taken effect.
    Timeout, ///< The deadline passed before the operation completed.
    Internal, ///< An invariant of this program is violated.
};

/// @return the name of @p kind in logs and problem details, for example "bad-input"
std::string_view toString(ErrorKind kind);

/// An exception with a kind and a remedy. what() is the message, followed by the remedy if there is one.
class Error : public std::runtime_error
{
public:
    /// @param kind the category of the error
    /// @param message the failure, with the names and values involved
    /// @param remedy how to resolve the error; may be empty
    Error(ErrorKind kind, const std::string &message, const std::string &remedy);

    ErrorKind kind() const noexcept
    {
        return m_kind;
    }

    const std::string &remedy() const noexcept
    {
        return m_remedy;
    }

private:
    ErrorKind m_kind;
    std::string m_remedy;
};

} // namespace heatherquay
