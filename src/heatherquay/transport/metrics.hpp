#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace heatherquay::transport
{

struct MetricLabel
{
    std::string name;
    std::string value;
};
using MetricLabels = std::vector<MetricLabel>;

/// A monotonic counter. Thread-safe.
class Counter
{
public:
    void add(std::uint64_t amount = 1)
    {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }
    std::uint64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_value{0};
};

/// A histogram of latencies with fixed buckets from 1 ms to 30 s. Thread-safe and lock-free.
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    void record(std::chrono::microseconds latency);

private:
    friend class MetricsRegistry;
    struct Data;
    std::unique_ptr<Data> m_data;
};

/// Holds the metrics of a process and exports them in the Prometheus text format. Thread-safe. Look up a metric once
/// and keep the reference, which is valid for the lifetime of the registry.
class MetricsRegistry
{
public:
    MetricsRegistry();
    ~MetricsRegistry();
    MetricsRegistry(const MetricsRegistry &) = delete;
    MetricsRegistry &operator=(const MetricsRegistry &) = delete;

    /// @param name such as "heatherquay_requests_total"
    /// @return the counter of this name and these labels, created on first use
    Counter &counter(const std::string &name, const std::string &help, const MetricLabels &labels = {});
    /// @return the histogram of this name and these labels, created on first use
    LatencyHistogram &histogram(const std::string &name, const std::string &help, const MetricLabels &labels = {});
    /// Registers a gauge, or replaces the one of the same name and labels.
    /// @param read called by each text(); must be thread-safe
    void gauge(const std::string &name, const std::string &help, std::function<double()> read,
               const MetricLabels &labels = {});
    /// @return all metrics in the Prometheus text format, ordered by name
    std::string text() const;

private:
    struct Data;
    std::unique_ptr<Data> m_data;
};

} // namespace heatherquay::transport
