#include "heatherquay/transport/http_message.hpp"

#include <algorithm>

#include <boost/beast/core/string.hpp>

namespace heatherquay::transport
{

void HttpFields::add(std::string name, std::string value)
{
    m_fields.push_back({std::move(name), std::move(value)});
}

void HttpFields::set(std::string name, std::string value)
{
    remove(name);
    add(std::move(name), std::move(value));
}

void HttpFields::remove(std::string_view name)
{
    std::erase_if(m_fields, [name](const HttpField &field) {
        return boost::beast::iequals(field.name, name);
    });
}

std::string_view HttpFields::get(std::string_view name) const
{
    for (const HttpField &field : m_fields) {
        if (boost::beast::iequals(field.name, name)) {
            return field.value;
        }
    }
    return {};
}

bool HttpFields::has(std::string_view name) const
{
    return std::any_of(m_fields.begin(), m_fields.end(), [name](const HttpField &field) {
        return boost::beast::iequals(field.name, name);
    });
}

const std::vector<HttpField> &HttpFields::all() const
{
    return m_fields;
}

} // namespace heatherquay::transport
