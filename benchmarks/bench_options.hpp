#pragma once

#include <cstdint>
#include <fstream>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace heatherquay::benchmarks
{

struct BenchOptions
{
    std::uint64_t seed{1};
    bool quick{};
    std::string csvFile; ///< Path of the CSV output; no file is written if it is empty.
};

/// Parses --seed, --quick and --csv. Exits the process for --help and for invalid arguments.
BenchOptions parseOptions(int argc, char **argv, const std::string &description);

/// Prints results as "key value unit" lines and writes them to the CSV file, if there is one.
class Report
{
public:
    explicit Report(const BenchOptions &options);

    void add(const std::string &key, double value, std::string_view unit);
    /// Prints the last line, which contains the seed.
    void finish() const;

private:
    std::uint64_t m_seed;
    std::ofstream m_csv;
};

/// Computes a percentile by the nearest-rank method.
/// @param share rank of the percentile, from 0 to 1
/// @return the smallest value that is not less than @p share of all @p values; 0 if @p values is empty
double percentile(std::vector<double> values, double share);
/// @return the arithmetic mean; 0 if @p values is empty
double mean(const std::vector<double> &values);

} // namespace heatherquay::benchmarks
