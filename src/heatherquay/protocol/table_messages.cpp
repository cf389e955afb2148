#include "heatherquay/protocol/table_messages.hpp"

#include "heatherquay/protocol/json_access.hpp"

#include <boost/json.hpp>

namespace heatherquay::protocol
{

namespace json = boost::json;

std::string encodeTransaction(const Transaction &transaction)
{
    json::array conditions;
    for (const Condition &condition : transaction.conditions) {
        conditions.push_back(json::object{{"key", condition.key}, {"version", condition.version}});
    }
    json::array puts;
    for (const Put &put : transaction.puts) {
        puts.push_back(json::object{{"key", put.key}, {"value", put.value}});
    }
    json::array deletes(transaction.deletes.begin(), transaction.deletes.end());
    return json::serialize(json::object{
        {"conditions", std::move(conditions)}, {"puts", std::move(puts)}, {"deletes", std::move(deletes)}});
}

std::string encodeRead(const std::vector<std::string> &keys)
{
    return json::serialize(json::object{{"keys", json::array(keys.begin(), keys.end())}});
}

std::string encodeScan(std::string_view from, std::string_view to, std::uint32_t limit)
{
    return json::serialize(json::object{{"from", from}, {"to", to}, {"limit", limit}});
}

std::uint64_t parseCommitVersion(std::string_view body)
{
    const json::value value = parseJson(body, "response to a transaction");
    return jsonNumber(jsonObject(value, "response to a transaction"), "version");
}

std::vector<Condition> parseConflicts(std::string_view body)
{
    const json::value value = parseJson(body, "conflict");
    std::vector<Condition> conflicts;
    for (const json::value &item : jsonArray(jsonObject(value, "conflict"), "conflicts")) {
        const json::object &object = jsonObject(item, "conflicts");
        conflicts.push_back({.key = jsonString(object, "key"), .version = jsonNumber(object, "version")});
    }
    return conflicts;
}

std::vector<Row> parseRows(std::string_view body)
{
    const json::value value = parseJson(body, "rows");
    std::vector<Row> rows;
    for (const json::value &item : jsonArray(jsonObject(value, "response to a read"), "rows")) {
        const json::object &object = jsonObject(item, "rows");
        rows.push_back({.key = jsonString(object, "key"),
                        .value = jsonString(object, "value"),
                        .version = jsonNumber(object, "version")});
    }
    return rows;
}

} // namespace heatherquay::protocol
