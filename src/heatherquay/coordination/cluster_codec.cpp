#include "heatherquay/coordination/cluster_codec.hpp"

#include "heatherquay/protocol/event_codec.hpp"
#include "heatherquay/protocol/json_access.hpp"

#include <boost/json.hpp>

namespace heatherquay::coordination
{

EventCodec clusterEventCodec()
{
    return {.encode =
                [](const state::Event &event) {
                    return protocol::parseJson(protocol::encode(event), "event");
                },
            .decode =
                [](const boost::json::value &value) {
                    return protocol::decodeEvent(boost::json::serialize(value));
                }};
}

} // namespace heatherquay::coordination
