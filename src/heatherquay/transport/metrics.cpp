#include "heatherquay/transport/metrics.hpp"

#include <charconv>
#include <map>
#include <mutex>

#include <boost/histogram.hpp>

namespace heatherquay::transport
{

namespace bh = boost::histogram;

namespace detail
{

constexpr double latencyBucketBoundsSeconds[]
    = {0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0};
using LatencyAxis = bh::axis::variable<double>;
using AtomicStorage = bh::dense_storage<bh::accumulators::count<std::uint64_t, true>>;
using AtomicHistogram = bh::histogram<std::tuple<LatencyAxis>, AtomicStorage>;

/// @return the labels in Prometheus format without the braces; empty without labels
std::string formatLabels(const MetricLabels &labels)
{
    std::string text;
    for (const MetricLabel &label : labels) {
        text += (text.empty() ? "" : ",") + label.name + "=\"";
        for (const char character : label.value) {
            if (character == '"' || character == '\\') {
                text += '\\';
            }
            text += character == '\n' ? ' ' : character;
        }
        text += '"';
    }
    return text;
}

std::string formatNumber(double value)
{
    char buffer[32];
    const auto result = std::to_chars(std::begin(buffer), std::end(buffer), value);
    return {std::begin(buffer), result.ptr};
}

std::string formatSample(const std::string &name, const std::string &labels, const std::string &value)
{
    return name + (labels.empty() ? "" : "{" + labels + "}") + " " + value + "\n";
}

/// All metrics of one name. Only the map for its type is used; the keys are the formatted labels.
struct Family
{
    std::string type;
    std::string help;
    std::map<std::string, std::unique_ptr<Counter>> counters;
    std::map<std::string, std::unique_ptr<LatencyHistogram>> histograms;
    std::map<std::string, std::function<double()>> gauges;
};

} // namespace detail

struct LatencyHistogram::Data
{
    detail::AtomicHistogram histogram{detail::LatencyAxis(std::begin(detail::latencyBucketBoundsSeconds),
                                                          std::end(detail::latencyBucketBoundsSeconds))};
    std::atomic<std::uint64_t> microseconds{0};

    std::string text(const std::string &name, const std::string &labels) const;
};

std::string LatencyHistogram::Data::text(const std::string &name, const std::string &labels) const
{
    const std::string prefix = labels.empty() ? "" : labels + ",";
    const std::string bucketName = name + "_bucket";
    const auto &axis = histogram.axis(0);
    std::string out;
    std::uint64_t total = 0;
    for (int bin = -1; bin <= axis.size(); ++bin) {
        total += histogram.at(bin).value();
        const std::string upperBound = bin == axis.size() ? "+Inf" : detail::formatNumber(axis.value(bin + 1));
        std::string label = prefix;
        label.append("le=\"").append(upperBound).append("\"");
        out += detail::formatSample(bucketName, label, std::to_string(total));
    }
    const double seconds = static_cast<double>(microseconds.load(std::memory_order_relaxed)) / 1e6;
    out += detail::formatSample(name + "_sum", labels, detail::formatNumber(seconds));
    out += detail::formatSample(name + "_count", labels, std::to_string(total));
    return out;
}

LatencyHistogram::LatencyHistogram()
    : m_data(std::make_unique<Data>())
{
}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(std::chrono::microseconds latency)
{
    m_data->histogram(static_cast<double>(latency.count()) / 1e6);
    m_data->microseconds.fetch_add(static_cast<std::uint64_t>(latency.count()), std::memory_order_relaxed);
}

struct MetricsRegistry::Data
{
    detail::Family &family(const std::string &name, const char *type, const std::string &help)
    {
        detail::Family &found = families[name];
        found.type = type;
        found.help = help;
        return found;
    }

    mutable std::mutex mutex;
    std::map<std::string, detail::Family> families;
};

MetricsRegistry::MetricsRegistry()
    : m_data(std::make_unique<Data>())
{
}

MetricsRegistry::~MetricsRegistry() = default;

Counter &MetricsRegistry::counter(const std::string &name, const std::string &help, const MetricLabels &labels)
{
    const std::lock_guard lock(m_data->mutex);
    auto &slot = m_data->family(name, "counter", help).counters[detail::formatLabels(labels)];
    if (!slot) {
        slot = std::make_unique<Counter>();
    }
    return *slot;
}

LatencyHistogram &MetricsRegistry::histogram(const std::string &name, const std::string &help,
                                             const MetricLabels &labels)
{
    const std::lock_guard lock(m_data->mutex);
    auto &slot = m_data->family(name, "histogram", help).histograms[detail::formatLabels(labels)];
    if (!slot) {
        slot = std::make_unique<LatencyHistogram>();
    }
    return *slot;
}

void MetricsRegistry::gauge(const std::string &name, const std::string &help, std::function<double()> read,
                            const MetricLabels &labels)
{
    const std::lock_guard lock(m_data->mutex);
    m_data->family(name, "gauge", help).gauges[detail::formatLabels(labels)] = std::move(read);
}

std::string MetricsRegistry::text() const
{
    const std::lock_guard lock(m_data->mutex);
    std::string out;
    for (const auto &[name, family] : m_data->families) {
        out.append("# HELP ").append(name).append(" ").append(family.help).append("\n");
        out.append("# TYPE ").append(name).append(" ").append(family.type).append("\n");
        for (const auto &[labels, counter] : family.counters) {
            out += detail::formatSample(name, labels, std::to_string(counter->value()));
        }
        for (const auto &[labels, histogram] : family.histograms) {
            out += histogram->m_data->text(name, labels);
        }
        for (const auto &[labels, read] : family.gauges) {
            out += detail::formatSample(name, labels, detail::formatNumber(read()));
        }
    }
    return out;
}

} // namespace heatherquay::transport
