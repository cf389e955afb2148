#include "heatherquay/app/text_table.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace heatherquay::app
{

namespace detail
{

constexpr std::size_t columnGap = 2;

bool isNumber(const std::string &cell)
{
    return !cell.empty() && cell.find_first_not_of("0123456789.%-") == std::string::npos;
}

/// Replaces control characters by '?', because escape sequences in names could manipulate the terminal.
std::string replaceControlCharacters(std::string text)
{
    std::replace_if(
        text.begin(), text.end(),
        [](char character) {
            return static_cast<unsigned char>(character) < ' ' || character == '\x7f';
        },
        '?');
    return text;
}

} // namespace detail

TextTable::TextTable(std::vector<std::string> headings)
{
    m_rows.push_back(std::move(headings));
}

void TextTable::addRow(std::vector<std::string> cells)
{
    cells.resize(m_rows.front().size());
    std::transform(cells.begin(), cells.end(), cells.begin(), detail::replaceControlCharacters);
    m_rows.push_back(std::move(cells));
}

void TextTable::print(std::ostream &out) const
{
    std::vector<std::size_t> widths(m_rows.front().size());
    std::vector<bool> numeric(widths.size(), true);
    for (std::size_t row = 0; row < m_rows.size(); ++row) {
        for (std::size_t column = 0; column < widths.size(); ++column) {
            const std::string &cell = m_rows[row][column];
            widths[column] = std::max(widths[column], cell.size());
            numeric[column] = numeric[column] && (row == 0 || cell.empty() || detail::isNumber(cell));
        }
    }
    for (const auto &row : m_rows) {
        std::string line;
        for (std::size_t column = 0; column < widths.size(); ++column) {
            const std::string padding(widths[column] - row[column].size(), ' ');
            line += numeric[column] ? padding + row[column] : row[column] + padding;
            line += std::string(detail::columnGap, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << '\n';
    }
}

std::string formatNumber(double value, int digits)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(digits) << value;
    return out.str();
}

} // namespace heatherquay::app
