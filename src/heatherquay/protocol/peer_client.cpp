#include "heatherquay/protocol/peer_client.hpp"

#include "heatherquay/protocol/backoff.hpp"
#include "heatherquay/protocol/peer_codec.hpp"
#include "heatherquay/protocol/peer_loop.hpp"
#include "heatherquay/transport/log.hpp"

#include <functional>
#include <map>
#include <random>
#include <utility>

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <capnp/rpc-twoparty.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace heatherquay::protocol
{

namespace asio = boost::asio;

namespace detail
{

constexpr std::uint64_t clientBytesPerWord = 8;

/// Sends a call and returns a promise of the response. Callers store the function in a variable, because g++ 12
/// destroys a lambda with captures twice if it is a temporary in a co_await expression.
template<typename R>
using Send = std::function<kj::Promise<R>(wire::Peer::Client &)>;

struct FetchPart
{
    FetchReply reply;
    std::uint64_t snapshotBytes{}; ///< Size of the complete snapshot.
};

/// Delivers the result of a call to the waiting coroutine exactly once. Delivers no result if it is destroyed first.
template<typename R>
class Completion
{
public:
    using Deliver = std::function<void(std::optional<R>)>;

    explicit Completion(Deliver deliver)
        : m_deliver(std::move(deliver))
    {
    }
    Completion(const Completion &) = delete;
    Completion &operator=(const Completion &) = delete;
    ~Completion()
    {
        finish(std::nullopt);
    }
    void finish(std::optional<R> result)
    {
        if (const Deliver deliver = std::exchange(m_deliver, nullptr)) {
            deliver(std::move(result));
        }
    }

private:
    Deliver m_deliver;
};

struct ClientConnection
{
    ClientConnection(kj::Own<kj::AsyncIoStream> connectedStream, capnp::ReaderOptions options,
                     const std::string &secret)
        : stream(kj::mv(connectedStream))
        , network(*stream, capnp::rpc::twoparty::Side::CLIENT, options)
        , rpc(capnp::makeRpcClient(network))
        , peer(login(secret))
    {
    }

    /// Sends the login. Calls on the returned client are pipelined: they do not wait for the response to the login.
    wire::Peer::Client login(const std::string &secret)
    {
        capnp::MallocMessageBuilder message;
        auto vat = message.initRoot<capnp::rpc::twoparty::VatId>();
        vat.setSide(capnp::rpc::twoparty::Side::SERVER);
        auto request = rpc.bootstrap(vat).castAs<wire::Gate>().loginRequest();
        request.setSecret(kj::StringPtr(secret.c_str(), secret.size()));
        return request.send().getPeer();
    }

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
    wire::Peer::Client peer;
};

/// Connection to one peer. Used only on the loop's thread.
class RemotePeer
{
public:
    RemotePeer(LoopContext &context, std::string address, const PeerClientSettings &settings)
        : m_io(context.io)
        , m_tasks(context.tasks)
        , m_address(std::move(address))
        , m_settings(settings)
        , m_backoff(settings.backoffInitial, settings.backoffMax, std::random_device{}())
    {
    }

    template<typename R>
    kj::Promise<R> call(std::chrono::milliseconds timeout, Send<R> send)
    {
        KJ_REQUIRE(m_inFlight < m_settings.callsInFlightMax, "too many calls to this peer are in flight");
        ++m_inFlight;
        const auto startedAt = now();
        auto work = ensureConnected().then([this, send = std::move(send)]() {
            return send(m_connection->peer);
        });
        kj::Timer &timer = m_io.provider->getTimer();
        return timer.timeoutAfter(timeout.count() * kj::MILLISECONDS, kj::mv(work))
            .then(
                [this](R result) -> R {
                    --m_inFlight;
                    m_lastResponse = now();
                    return result;
                },
                [this, startedAt](kj::Exception &&exception) -> R {
                    --m_inFlight;
                    handleFailure(exception, startedAt);
                    kj::throwFatalException(kj::mv(exception));
                });
    }

private:
    kj::TimePoint now()
    {
        return m_io.provider->getTimer().now();
    }

    /// Connects if there is no connection. Calls share a pending attempt; during a backoff the promise fails at once.
    kj::Promise<void> ensureConnected()
    {
        if (m_connection.get() != nullptr) {
            return kj::READY_NOW;
        }
        KJ_IF_MAYBE (connecting, m_connecting) {
            return connecting->addBranch();
        }
        if (now() < m_retryAt) {
            return KJ_EXCEPTION(DISCONNECTED, "the backoff after the last failure of this peer has not ended");
        }
        auto opened = m_io.provider->getNetwork().parseAddress(m_address).then([](kj::Own<kj::NetworkAddress> address) {
            auto stream = address->connect();
            return stream.attach(kj::mv(address));
        });
        kj::Timer &timer = m_io.provider->getTimer();
        auto connecting = timer.timeoutAfter(m_settings.callTimeout.count() * kj::MILLISECONDS, kj::mv(opened))
                              .then(
                                  [this](kj::Own<kj::AsyncIoStream> stream) {
                                      createConnection(kj::mv(stream));
                                      m_connecting = nullptr;
                                  },
                                  [this](kj::Exception &&exception) {
                                      m_connecting = nullptr;
                                      startBackoff();
                                      kj::throwFatalException(kj::mv(exception));
                                  })
                              .fork();
        auto branch = connecting.addBranch();
        // Keeps the attempt alive if the call that started it times out.
        m_tasks.add(connecting.addBranch().catch_([](kj::Exception &&) {}));
        m_connecting = kj::mv(connecting);
        return branch;
    }

    void createConnection(kj::Own<kj::AsyncIoStream> stream)
    {
        const int on = 1;
        stream->setsockopt(IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const int timeout = static_cast<int>(m_settings.unacknowledgedTimeout.count());
        stream->setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
        capnp::ReaderOptions options;
        options.traversalLimitInWords = m_settings.messageBytesMax / clientBytesPerWord;
        m_connection = kj::heap<ClientConnection>(kj::mv(stream), options, m_settings.secret);
        m_lastResponse = now();
    }

    void startBackoff()
    {
        m_retryAt = now() + m_backoff.next().count() * kj::MILLISECONDS;
    }

    /// Drops the connection if it is closed, or if it has had no response since the start of a call that timed out.
    void handleFailure(const kj::Exception &exception, kj::TimePoint startedAt)
    {
        const bool disconnected = exception.getType() == kj::Exception::Type::DISCONNECTED;
        const bool unresponsive = exception.getType() == kj::Exception::Type::OVERLOADED && m_lastResponse <= startedAt;
        if (m_connection.get() == nullptr || !(disconnected || unresponsive)) {
            if (exception.getType() == kj::Exception::Type::FAILED) {
                m_lastResponse = now();
            }
            return;
        }
        transport::log(transport::LogLevel::Info, "peer-connection-dropped",
                       {{"peer", m_address}, {"reason", exception.getDescription().cStr()}});
        startBackoff();
        // Destroys the connection later, because this code runs in a continuation of one of its calls.
        m_tasks.add(kj::evalLater([old = kj::mv(m_connection)]() {}));
    }

    kj::AsyncIoContext &m_io;
    kj::TaskSet &m_tasks;
    std::string m_address;
    PeerClientSettings m_settings;
    Backoff m_backoff;
    kj::Own<ClientConnection> m_connection;
    kj::Maybe<kj::ForkedPromise<void>> m_connecting;
    kj::TimePoint m_retryAt = kj::origin<kj::TimePoint>();
    kj::TimePoint m_lastResponse = kj::origin<kj::TimePoint>();
    std::uint32_t m_inFlight{};
};

struct RemotePeers
{
    RemotePeer &findOrCreate(LoopContext &context, const std::string &address, const PeerClientSettings &settings)
    {
        std::unique_ptr<RemotePeer> &peer = peers[address];
        if (!peer) {
            peer = std::make_unique<RemotePeer>(context, address, settings);
        }
        return *peer;
    }

    std::map<std::string, std::unique_ptr<RemotePeer>> peers;
};

} // namespace detail

struct PeerClient::Shared
{
    Shared(std::shared_ptr<PeerRuntime> peerRuntime, PeerClientSettings clientSettings)
        : runtime(std::move(peerRuntime))
        , settings(std::move(clientSettings))
    {
    }
    ~Shared()
    {
        runtime->loop().post([owner = this](detail::LoopContext &context) {
            context.owned.erase(owner);
        });
    }

    /// Sends a call from the loop's thread. @return its result, or nothing if the call fails
    template<typename R>
    asio::awaitable<std::optional<R>> call(std::string address, std::chrono::milliseconds timeout, detail::Send<R> send)
    {
        auto initiate = [this, address = std::move(address), timeout, send = std::move(send)](auto handler) {
            auto executor = asio::get_associated_executor(handler);
            auto sharedHandler = std::make_shared<decltype(handler)>(std::move(handler));
            auto completion
                = std::make_shared<detail::Completion<R>>([executor, sharedHandler](std::optional<R> result) {
                      asio::post(executor, [sharedHandler, result = std::move(result)]() mutable {
                          (*sharedHandler)(std::move(result));
                      });
                  });
            runtime->loop().post([this, address, timeout, send, completion](detail::LoopContext &context) {
                auto promise = kj::evalNow([&]() {
                    return remotePeer(context, address).template call<R>(timeout, send);
                });
                context.tasks.add(promise.then(
                    [completion](R result) {
                        completion->finish(std::move(result));
                    },
                    [completion](kj::Exception &&exception) {
                        transport::log(transport::LogLevel::Debug, "peer-call-failed",
                                       {{"reason", exception.getDescription().cStr()}});
                        completion->finish(std::nullopt);
                    }));
            });
        };
        return asio::async_initiate<const asio::use_awaitable_t<> &, void(std::optional<R>)>(std::move(initiate),
                                                                                             asio::use_awaitable);
    }

    detail::RemotePeer &remotePeer(detail::LoopContext &context, const std::string &address)
    {
        std::shared_ptr<void> &owned = context.owned[this];
        if (!owned) {
            owned = std::make_shared<detail::RemotePeers>();
        }
        return static_cast<detail::RemotePeers *>(owned.get())->findOrCreate(context, address, settings);
    }

    std::shared_ptr<PeerRuntime> runtime;
    PeerClientSettings settings;
};

PeerClient::PeerClient(std::shared_ptr<PeerRuntime> runtime, PeerClientSettings settings)
    : m_shared(std::make_shared<Shared>(std::move(runtime), std::move(settings)))
{
}

asio::awaitable<std::optional<Gossip>> PeerClient::gossip(std::string address, Gossip gossip)
{
    const auto shared = m_shared;
    detail::Send<Gossip> send = [gossip = std::move(gossip)](wire::Peer::Client &peer) -> kj::Promise<Gossip> {
        auto request = peer.gossipRequest();
        detail::write(gossip, request.initGossip());
        return request.send().then([](auto &&response) {
            return detail::read(response.getGossip());
        });
    };
    auto call = shared->call<Gossip>(std::move(address), shared->settings.callTimeout, std::move(send));
    co_return co_await std::move(call);
}

asio::awaitable<std::optional<std::uint64_t>> PeerClient::append(std::string address,
                                                                 std::vector<JournalRecord> records)
{
    const auto shared = m_shared;
    detail::Send<std::uint64_t> send
        = [records = std::move(records)](wire::Peer::Client &peer) -> kj::Promise<std::uint64_t> {
        auto request = peer.appendRequest();
        detail::write(records, request.initRecords(records.size()));
        return request.send().then([](auto &&response) {
            return response.getNumber();
        });
    };
    auto call = shared->call<std::uint64_t>(std::move(address), shared->settings.callTimeout, std::move(send));
    co_return co_await std::move(call);
}

asio::awaitable<std::optional<FetchReply>> PeerClient::fetch(std::string address, std::uint64_t from)
{
    const auto shared = m_shared;
    FetchReply assembled;
    std::uint64_t expected = 0;
    do {
        const std::uint64_t number = assembled.snapshotNumber;
        const std::uint64_t offset = assembled.snapshot.size();
        detail::Send<detail::FetchPart> send
            = [from, number, offset](wire::Peer::Client &peer) -> kj::Promise<detail::FetchPart> {
            auto request = peer.fetchRequest();
            request.setFrom(from);
            request.setSnapshotNumber(number);
            request.setOffset(offset);
            return request.send().then([](auto &&response) {
                return detail::FetchPart{detail::read(response.getReply()), response.getSnapshotBytes()};
            });
        };
        auto call = shared->call<detail::FetchPart>(address, shared->settings.fetchTimeout, std::move(send));
        std::optional<detail::FetchPart> part = co_await std::move(call);
        const bool progress = part && (offset == 0 || !part->reply.snapshot.empty());
        if (!progress || part->snapshotBytes > shared->settings.snapshotBytesMax) {
            co_return std::nullopt;
        }
        expected = part->snapshotBytes;
        assembled.snapshotNumber = part->reply.snapshotNumber;
        assembled.snapshot += part->reply.snapshot;
        assembled.records = std::move(part->reply.records);
    } while (assembled.snapshot.size() < expected);
    co_return assembled;
}

asio::awaitable<std::optional<Loan>> PeerClient::borrow(std::string address, BorrowRequest borrowRequest,
                                                        std::chrono::milliseconds timeout)
{
    const auto shared = m_shared;
    detail::Send<std::optional<Loan>> send
        = [borrowRequest = std::move(borrowRequest)](wire::Peer::Client &peer) -> kj::Promise<std::optional<Loan>> {
        auto request = peer.borrowRequest();
        detail::write(borrowRequest, request.initRequest());
        return request.send().then([](auto &&response) {
            return response.getLent() ? std::optional(detail::read(response.getLoan())) : std::nullopt;
        });
    };
    auto call = shared->call<std::optional<Loan>>(std::move(address), timeout, std::move(send));
    const std::optional<std::optional<Loan>> reply = co_await std::move(call);
    co_return reply ? *reply : std::nullopt;
}

asio::awaitable<bool> PeerClient::giveBack(std::string address, state::EntryId from, std::uint64_t loan)
{
    const auto shared = m_shared;
    detail::Send<bool> send = [from = std::move(from), loan](wire::Peer::Client &peer) -> kj::Promise<bool> {
        auto request = peer.giveBackRequest();
        request.setFrom(kj::StringPtr(from.value.c_str(), from.value.size()));
        request.setLoan(loan);
        return request.send().then([](auto &&) {
            return true;
        });
    };
    auto call = shared->call<bool>(std::move(address), shared->settings.callTimeout, std::move(send));
    const std::optional<bool> reply = co_await std::move(call);
    co_return reply.value_or(false);
}

asio::awaitable<std::optional<std::string>> PeerClient::burn(std::string address, std::string query)
{
    const auto shared = m_shared;
    detail::Send<std::string> send = [query = std::move(query)](wire::Peer::Client &peer) -> kj::Promise<std::string> {
        auto request = peer.burnRequest();
        request.setQuery(detail::toData(query));
        return request.send().then([](auto &&response) {
            return detail::toString(response.getReply());
        });
    };
    auto call = shared->call<std::string>(std::move(address), shared->settings.callTimeout, std::move(send));
    co_return co_await std::move(call);
}

asio::awaitable<bool> PeerClient::renewFor(std::string address, RelayedRenewal renewal)
{
    const auto shared = m_shared;
    detail::Send<bool> send = [renewal = std::move(renewal)](wire::Peer::Client &peer) -> kj::Promise<bool> {
        auto request = peer.renewForRequest();
        detail::write(renewal, request.initRenewal());
        return request.send().then([](auto &&response) {
            return response.getRenewed();
        });
    };
    auto call = shared->call<bool>(std::move(address), shared->settings.callTimeout, std::move(send));
    const std::optional<bool> reply = co_await std::move(call);
    co_return reply.value_or(false);
}

} // namespace heatherquay::protocol
