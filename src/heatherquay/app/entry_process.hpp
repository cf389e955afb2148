#pragma once

#include "heatherquay/state/entry_settings.hpp"

#include <memory>

namespace heatherquay::app
{

/// Owns and connects all components of one entry. Used by runEntry().
class EntryProcess
{
public:
    /// @throws Error(BadInput) when an address is malformed
    explicit EntryProcess(state::EntrySettings settings);
    ~EntryProcess();
    EntryProcess(const EntryProcess &) = delete;
    EntryProcess &operator=(const EntryProcess &) = delete;

    /// Opens the listening sockets and starts the threads.
    /// @throws Error(BadInput) when an address cannot be bound
    void start();
    /// Drains the caller requests, leaves the membership and stops, limited by the [stop] settings.
    /// @return whether all caller requests ended in time
    bool stop();

private:
    struct Components;
    std::unique_ptr<Components> m_components;
};

} // namespace heatherquay::app
