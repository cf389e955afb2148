#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <map>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace heatherquay::soak
{

using Clock = std::chrono::steady_clock;

/// A broken promise of the system.
struct Violation
{
    Clock::time_point time;
    std::string rule;
    std::string node; ///< Empty if no particular node is involved.
    std::string job; ///< Empty if no particular job is involved.
    std::string text;
};

/// Collects what a round of the soak has seen, and writes its timeline to a file.
class SoakReport
{
public:
    /// @param timeline file that receives the timeline
    SoakReport(std::uint64_t seed, const std::filesystem::path &timeline)
        : m_seed(seed)
        , m_begin(Clock::now())
        , m_timeline(timeline)
    {
    }

    /// Writes a line to the timeline.
    void note(const std::string &text, Clock::time_point time = Clock::now())
    {
        m_timeline << seconds(time) << " " << text << std::endl;
    }
    void violation(Violation violation)
    {
        note("VIOLATION " + violation.rule + " node=" + violation.node + " job=" + violation.job + " " + violation.text,
             violation.time);
        m_violations.push_back(std::move(violation));
    }
    void count(const std::string &name, std::uint64_t number = 1)
    {
        m_counts[name] += number;
    }
    std::uint64_t counted(const std::string &name) const
    {
        const auto found = m_counts.find(name);
        return found == m_counts.end() ? 0 : found->second;
    }
    const std::map<std::string, std::uint64_t> &counts() const
    {
        return m_counts;
    }
    const std::vector<Violation> &violations() const
    {
        return m_violations;
    }
    /// Prints the counts in one line and each violation in one more.
    void print(std::ostream &out) const
    {
        out << "seed " << m_seed << ":";
        for (const auto &[name, number] : m_counts) {
            out << " " << name << "=" << number;
        }
        out << " violations=" << m_violations.size() << std::endl;
        for (const Violation &violation : m_violations) {
            out << "violation seed=" << m_seed << " t=" << seconds(violation.time) << " rule=" << violation.rule
                << " node=" << violation.node << " job=" << violation.job << " " << violation.text << std::endl;
        }
    }

private:
    double seconds(Clock::time_point time) const
    {
        return std::chrono::duration<double>(time - m_begin).count();
    }

    std::uint64_t m_seed;
    Clock::time_point m_begin;
    std::ofstream m_timeline;
    std::map<std::string, std::uint64_t> m_counts;
    std::vector<Violation> m_violations;
};

/// Knows when unplanned faults are active.
class Disturbances
{
public:
    void begin()
    {
        if (++m_active == 1) {
            m_spans.push_back({Clock::now(), Clock::time_point::max()});
        }
    }
    void end()
    {
        m_lastEnd = Clock::now();
        if (--m_active == 0) {
            m_spans.back().second = m_lastEnd;
        }
    }
    /// @return whether no unplanned fault was active from @p margin before @p time until @p time
    bool calmBefore(Clock::time_point time, std::chrono::milliseconds margin = std::chrono::seconds(3)) const
    {
        return std::none_of(m_spans.begin(), m_spans.end(), [time, margin](const auto &span) {
            return span.first <= time && span.second >= time - margin;
        });
    }
    /// @return whether no unplanned fault was active from @p margin before @p time until now
    bool calmSince(Clock::time_point time, std::chrono::milliseconds margin = std::chrono::seconds(3)) const
    {
        return m_active == 0 && m_lastEnd + margin <= time;
    }

private:
    int m_active{};
    std::vector<std::pair<Clock::time_point, Clock::time_point>> m_spans; ///< In which faults were active.
    Clock::time_point m_lastEnd{};
};

} // namespace heatherquay::soak
