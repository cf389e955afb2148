#pragma once

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace heatherquay::app
{

/// A plain-text table for terminals. Columns are as wide as their widest cell; numeric columns are right-aligned.
class TextTable
{
public:
    explicit TextTable(std::vector<std::string> headings);
    /// Adds a row with as many cells as there are headings; missing cells are empty, surplus ones are dropped.
    void addRow(std::vector<std::string> cells);
    void print(std::ostream &out) const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

/// @return the number with @p digits decimal places
std::string formatNumber(double value, int digits);

} // namespace heatherquay::app
