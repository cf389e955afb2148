#include "heatherquay/protocol/peer_codec.hpp"

namespace heatherquay::protocol::detail
{

namespace
{

kj::StringPtr toText(const std::string &text)
{
    return {text.c_str(), text.size()};
}

void write(const SlotId &from, wire::SlotId::Builder to)
{
    to.setService(toText(from.service.value));
    to.setEndpoint(toText(from.endpoint));
    to.setSlot(from.slot);
}

SlotId read(wire::SlotId::Reader from)
{
    return {.service = {toString(from.getService())}, .endpoint = toString(from.getEndpoint()), .slot = from.getSlot()};
}

} // namespace

capnp::Data::Reader toData(const std::string &text)
{
    return {reinterpret_cast<const kj::byte *>(text.data()), text.size()};
}

std::string toString(capnp::Data::Reader data)
{
    return {reinterpret_cast<const char *>(data.begin()), data.size()};
}

std::string toString(capnp::Text::Reader text)
{
    return {text.cStr(), text.size()};
}

void write(const Gossip &from, wire::Gossip::Builder to)
{
    to.setFrom(toText(from.from.value));
    to.setIncarnation(from.incarnation);
    to.setMemberVersion(from.memberVersion);
    to.setTableAgeMs(from.tableAge.count());
    to.setJournalNumber(from.journalNumber);
    auto loads = to.initLoads(from.loads.size());
    for (unsigned i = 0; i < from.loads.size(); ++i) {
        loads[i].setService(toText(from.loads[i].service.value));
        loads[i].setIdleSlots(from.loads[i].idleSlots);
        loads[i].setQueued(from.loads[i].queued);
        loads[i].setSharesFingerprint(from.loads[i].sharesFingerprint);
    }
    auto held = to.initHeldForeign(from.heldForeign.size());
    for (unsigned i = 0; i < from.heldForeign.size(); ++i) {
        write(from.heldForeign[i], held[i]);
    }
    to.setLeaving(from.leaving);
    auto marks = to.initRemoving(from.removing.size());
    for (unsigned i = 0; i < from.removing.size(); ++i) {
        marks[i].setEntry(toText(from.removing[i].entry.value));
        marks[i].setIncarnation(from.removing[i].incarnation);
        marks[i].setOrigin(toText(from.removing[i].origin.value));
    }
    to.setMembers(toText(from.members));
}

Gossip read(wire::Gossip::Reader from)
{
    Gossip gossip;
    gossip.from.value = toString(from.getFrom());
    gossip.incarnation = from.getIncarnation();
    gossip.memberVersion = from.getMemberVersion();
    gossip.tableAge = std::chrono::milliseconds(from.getTableAgeMs());
    gossip.journalNumber = from.getJournalNumber();
    for (const auto load : from.getLoads()) {
        gossip.loads.push_back({.service = {toString(load.getService())},
                                .idleSlots = load.getIdleSlots(),
                                .queued = load.getQueued(),
                                .sharesFingerprint = load.getSharesFingerprint()});
    }
    for (const auto slot : from.getHeldForeign()) {
        gossip.heldForeign.push_back(read(slot));
    }
    gossip.leaving = from.getLeaving();
    for (const auto mark : from.getRemoving()) {
        gossip.removing.push_back({.entry = {toString(mark.getEntry())},
                                   .incarnation = mark.getIncarnation(),
                                   .origin = {toString(mark.getOrigin())}});
    }
    gossip.members = toString(from.getMembers());
    return gossip;
}

void write(const std::vector<JournalRecord> &from, capnp::List<wire::JournalRecord>::Builder to)
{
    for (unsigned i = 0; i < from.size(); ++i) {
        to[i].setNumber(from[i].number);
        to[i].setText(toText(from[i].text));
        to[i].setVersion(from[i].version);
    }
}

std::vector<JournalRecord> read(capnp::List<wire::JournalRecord>::Reader from)
{
    std::vector<JournalRecord> records;
    for (const auto record : from) {
        records.push_back(
            {.number = record.getNumber(), .text = toString(record.getText()), .version = record.getVersion()});
    }
    return records;
}

void write(const FetchReply &from, wire::FetchReply::Builder to)
{
    to.setSnapshotNumber(from.snapshotNumber);
    to.setSnapshot(toData(from.snapshot));
    write(from.records, to.initRecords(from.records.size()));
}

FetchReply read(wire::FetchReply::Reader from)
{
    FetchReply reply;
    reply.snapshotNumber = from.getSnapshotNumber();
    reply.snapshot = toString(from.getSnapshot());
    reply.records = read(from.getRecords());
    return reply;
}

void write(const BorrowRequest &from, wire::BorrowRequest::Builder to)
{
    to.setFrom(toText(from.from.value));
    to.setMemberVersion(from.memberVersion);
    to.setService(toText(from.service.value));
    to.setTermMs(from.term.count());
}

BorrowRequest read(wire::BorrowRequest::Reader from)
{
    return {.from = {toString(from.getFrom())},
            .memberVersion = from.getMemberVersion(),
            .service = {toString(from.getService())},
            .term = std::chrono::milliseconds(from.getTermMs())};
}

void write(const Loan &from, wire::Loan::Builder to)
{
    to.setId(from.id);
    write(from.slot, to.initSlot());
}

Loan read(wire::Loan::Reader from)
{
    return {.id = from.getId(), .slot = read(from.getSlot())};
}

void write(const RelayedRenewal &from, wire::RelayedRenewal::Builder to)
{
    to.setEntry(toText(from.entry.value));
    to.setIncarnation(from.incarnation);
    to.setSequence(from.sequence);
}

RelayedRenewal read(wire::RelayedRenewal::Reader from)
{
    return {.entry = {toString(from.getEntry())}, .incarnation = from.getIncarnation(), .sequence = from.getSequence()};
}

} // namespace heatherquay::protocol::detail
