#include "heatherquay/coordination/member_rows.hpp"

#include "heatherquay/protocol/json_access.hpp"

#include <algorithm>

#include <boost/json.hpp>

namespace heatherquay::coordination
{

namespace json = boost::json;
using protocol::jsonArray;
using protocol::jsonNumber;
using protocol::jsonObject;
using protocol::jsonString;
using protocol::parseJson;

std::string memberLeaseKey(const state::EntryId &entry)
{
    return "member/" + entry.value;
}

std::string encodeMembers(const MemberList &list)
{
    json::array members;
    for (const Member &member : list.members) {
        members.push_back(
            json::object{{"id", member.id.value}, {"incarnation", member.incarnation}, {"peer", member.peerAddress}});
    }
    return json::serialize(json::object{{"version", list.version}, {"members", std::move(members)}});
}

MemberList parseMembers(std::string_view text)
{
    const json::value value = parseJson(text, "row members");
    const json::object &object = jsonObject(value, "row members");
    MemberList list;
    list.version = jsonNumber(object, "version");
    for (const json::value &item : jsonArray(object, "members")) {
        const json::object &member = jsonObject(item, "member");
        list.members.push_back({.id = {jsonString(member, "id")},
                                .incarnation = jsonNumber(member, "incarnation"),
                                .peerAddress = jsonString(member, "peer")});
    }
    std::sort(list.members.begin(), list.members.end(), [](const Member &left, const Member &right) {
        return left.id < right.id;
    });
    return list;
}

std::string encodeLease(const MemberLease &lease)
{
    return json::serialize(json::object{{"incarnation", lease.incarnation}, {"sequence", lease.sequence}});
}

MemberLease parseLease(std::string_view text)
{
    const json::value value = parseJson(text, "member lease");
    const json::object &object = jsonObject(value, "member lease");
    return {.incarnation = jsonNumber(object, "incarnation"), .sequence = jsonNumber(object, "sequence")};
}

const Member *findMember(const MemberList &list, const state::EntryId &entry)
{
    const auto found = std::find_if(list.members.begin(), list.members.end(), [&](const Member &member) {
        return member.id == entry;
    });
    return found == list.members.end() ? nullptr : &*found;
}

MemberList withoutMember(const MemberList &list, const state::EntryId &entry)
{
    MemberList next = list;
    ++next.version;
    std::erase_if(next.members, [&](const Member &member) {
        return member.id == entry;
    });
    return next;
}

MemberList withMember(const MemberList &list, Member member)
{
    MemberList next = list;
    ++next.version;
    const auto position = std::find_if(next.members.begin(), next.members.end(), [&](const Member &other) {
        return member.id < other.id;
    });
    next.members.insert(position, std::move(member));
    return next;
}

} // namespace heatherquay::coordination
