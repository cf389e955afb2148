#include "bench_options.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <numeric>

#include <CLI/CLI.hpp>

namespace heatherquay::benchmarks
{

BenchOptions parseOptions(int argc, char **argv, const std::string &description)
{
    BenchOptions options;
    CLI::App app{description};
    app.add_option("--seed", options.seed, "First seed of the random inputs")->capture_default_str();
    app.add_flag("--quick", options.quick, "Use fewer seeds and shorter runs (less than 30 s)");
    app.add_option("--csv", options.csvFile, "Also write the results to this CSV file");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        std::exit(app.exit(error));
    }
    return options;
}

Report::Report(const BenchOptions &options)
    : m_seed(options.seed)
{
    if (!options.csvFile.empty()) {
        m_csv.open(options.csvFile);
        if (!m_csv) {
            std::fprintf(stderr, "cannot write %s; use a writable path in an existing folder\n",
                         options.csvFile.c_str());
            std::exit(2);
        }
        m_csv << "key,value,unit\n";
    }
}

void Report::add(const std::string &key, double value, std::string_view unit)
{
    std::printf("%s %.6g %.*s\n", key.c_str(), value, static_cast<int>(unit.size()), unit.data());
    std::fflush(stdout);
    if (m_csv.is_open()) {
        m_csv << key << ',' << value << ',' << unit << '\n';
    }
}

void Report::finish() const
{
    std::printf("seed %llu\n", static_cast<unsigned long long>(m_seed));
}

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0.0;
    }
    const double rank = std::ceil(share * static_cast<double>(values.size())) - 1.0;
    const auto index = std::min(values.size() - 1, static_cast<std::size_t>(std::max(0.0, rank)));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

double mean(const std::vector<double> &values)
{
    if (values.empty()) {
        return 0.0;
    }
    return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

} // namespace heatherquay::benchmarks
