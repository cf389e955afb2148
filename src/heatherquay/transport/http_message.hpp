#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace heatherquay::transport
{

struct HttpField
{
    std::string name;
    std::string value;
};

/// Header fields in the order in which they were received or added. Names are case-insensitive.
class HttpFields
{
public:
    /// Appends a field, even if one of this name exists.
    void add(std::string name, std::string value);
    /// Replaces all fields of this name by one.
    void set(std::string name, std::string value);
    /// Removes all fields of this name.
    void remove(std::string_view name);
    /// @return the first value of @p name, empty if absent
    std::string_view get(std::string_view name) const;
    bool has(std::string_view name) const;
    const std::vector<HttpField> &all() const;

private:
    std::vector<HttpField> m_fields;
};

struct HttpRequest
{
    std::string method;
    std::string target; ///< Request target: path and query, not decoded.
    HttpFields fields; ///< Without Content-Length and Transfer-Encoding, which the transport sets.
    std::string body;
    std::string remoteAddress; ///< IP address of the client; set by the server.
};

struct HttpResponse
{
    unsigned status{200};
    HttpFields fields;
    std::string body;
    bool keepAlive{true}; ///< Whether the connection may stay open after this response.
};

} // namespace heatherquay::transport
