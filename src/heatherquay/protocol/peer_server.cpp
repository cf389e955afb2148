#include "heatherquay/protocol/peer_server.hpp"

#include "heatherquay/error.hpp"
#include "heatherquay/protocol/peer_codec.hpp"
#include "heatherquay/protocol/peer_loop.hpp"
#include "heatherquay/transport/log.hpp"

#include <algorithm>
#include <future>
#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <capnp/rpc-twoparty.h>
#include <openssl/crypto.h>
#include <sys/socket.h>

namespace heatherquay::protocol
{

namespace asio = boost::asio;

namespace detail
{

constexpr std::uint64_t bytesPerWord = 8;
constexpr std::size_t loginBytesMax = 16 * 1024; // A bootstrap request and a login without its secret.
constexpr int receiveBufferBytes = 64 * 1024;

/// Result of work that returns void, because runOn() needs a value.
struct Empty
{
};

asio::awaitable<Empty> withEmptyResult(asio::awaitable<void> work)
{
    co_await std::move(work);
    co_return Empty{};
}

/// Runs @p work on an Asio executor. @return a promise of its result for the kj event loop
template<typename R>
kj::Promise<R> runOn(const asio::any_io_executor &executor, asio::awaitable<R> work)
{
    // The fulfiller holds the result in a kj::Own, because g++ 12 reports an empty kj::Maybe<R> in it as uninitialized.
    auto pair = kj::newPromiseAndCrossThreadFulfiller<kj::Own<R>>();
    asio::co_spawn(executor, std::move(work),
                   [fulfiller = kj::mv(pair.fulfiller)](const std::exception_ptr &error, R result) mutable {
                       if (!error) {
                           fulfiller->fulfill(kj::heap<R>(std::move(result)));
                           return;
                       }
                       std::string reason = "unknown error";
                       try {
                           std::rethrow_exception(error);
                       } catch (const std::exception &caught) {
                           reason = caught.what();
                       }
                       fulfiller->reject(KJ_EXCEPTION(FAILED, kj::str(reason.c_str())));
                   });
    return pair.promise.then([](kj::Own<R> result) -> R {
        return kj::mv(*result);
    });
}

/// Compares secrets of equal length in constant time.
bool secretsEqual(const std::string &left, capnp::Text::Reader right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.begin(), left.size()) == 0;
}

/// Handles the calls of an authenticated connection.
class PeerService final : public wire::Peer::Server
{
public:
    PeerService(asio::any_io_executor executor, std::shared_ptr<PeerHandler> handler, std::uint64_t partBytesMax)
        : m_executor(std::move(executor))
        , m_handler(std::move(handler))
        , m_partBytesMax(partBytesMax)
    {
    }

protected:
    kj::Promise<void> gossip(GossipContext context) override
    {
        return runOn(m_executor, m_handler->gossip(read(context.getParams().getGossip())))
            .then([context](Gossip reply) mutable {
                write(reply, context.getResults().initGossip());
            });
    }
    kj::Promise<void> append(AppendContext context) override
    {
        return runOn(m_executor, m_handler->append(read(context.getParams().getRecords())))
            .then([context](std::uint64_t number) mutable {
                context.getResults().setNumber(number);
            });
    }
    kj::Promise<void> fetch(FetchContext context) override
    {
        const auto params = context.getParams();
        if (params.getOffset() > 0) {
            KJ_REQUIRE(params.getSnapshotNumber() == m_pendingFetch.snapshotNumber,
                       "the snapshot is no longer available");
            sendFetchPart(context, params.getOffset());
            return kj::READY_NOW;
        }
        return runOn(m_executor, m_handler->fetch(params.getFrom())).then([this, context](FetchReply reply) mutable {
            m_pendingFetch = std::move(reply);
            sendFetchPart(context, 0);
        });
    }
    kj::Promise<void> borrow(BorrowContext context) override
    {
        return runOn(m_executor, m_handler->borrow(read(context.getParams().getRequest())))
            .then([context](std::optional<Loan> loan) mutable {
                context.getResults().setLent(loan.has_value());
                if (loan) {
                    write(*loan, context.getResults().initLoan());
                }
            });
    }
    kj::Promise<void> giveBack(GiveBackContext context) override
    {
        const auto params = context.getParams();
        auto work = m_handler->giveBack({toString(params.getFrom())}, params.getLoan());
        return runOn(m_executor, withEmptyResult(std::move(work))).then([](Empty) {});
    }
    kj::Promise<void> burn(BurnContext context) override
    {
        return runOn(m_executor, m_handler->burn(toString(context.getParams().getQuery())))
            .then([context](std::string reply) mutable {
                context.getResults().setReply(toData(reply));
            });
    }
    kj::Promise<void> renewFor(RenewForContext context) override
    {
        return runOn(m_executor, m_handler->renewFor(read(context.getParams().getRenewal())))
            .then([context](bool renewed) mutable {
                context.getResults().setRenewed(renewed);
            });
    }

private:
    /// Sends the part of the snapshot that starts at @p offset. The last part also has the records and ends the fetch.
    void sendFetchPart(FetchContext &context, std::uint64_t offset)
    {
        const std::uint64_t size = m_pendingFetch.snapshot.size();
        FetchReply part;
        part.snapshotNumber = m_pendingFetch.snapshotNumber;
        part.snapshot = m_pendingFetch.snapshot.substr(std::min(offset, size), m_partBytesMax);
        const bool last = offset + part.snapshot.size() >= size;
        if (last) {
            part.records = std::move(m_pendingFetch.records);
            m_pendingFetch = {};
        }
        write(part, context.getResults().initReply());
        context.getResults().setSnapshotBytes(size);
    }

    asio::any_io_executor m_executor;
    std::shared_ptr<PeerHandler> m_handler;
    std::uint64_t m_partBytesMax;
    FetchReply m_pendingFetch; ///< Kept until its last part is sent.
};

/// The only interface of a connection until it has logged in with the shared secret.
class LoginService final : public wire::Gate::Server
{
public:
    LoginService(std::string secret, wire::Peer::Client peer, std::shared_ptr<bool> authenticated)
        : m_secret(std::move(secret))
        , m_peer(kj::mv(peer))
        , m_authenticated(std::move(authenticated))
    {
    }

protected:
    kj::Promise<void> login(LoginContext context) override
    {
        KJ_REQUIRE(secretsEqual(m_secret, context.getParams().getSecret()), "the shared secret is wrong");
        *m_authenticated = true;
        context.getResults().setPeer(m_peer);
        return kj::READY_NOW;
    }

private:
    std::string m_secret;
    wire::Peer::Client m_peer;
    std::shared_ptr<bool> m_authenticated;
};

/// Ends a connection that sends more than a login takes before it has logged in. A message is held until its last byte.
class LoginStream final : public kj::AsyncIoStream
{
public:
    /// @param bytesMax most that is read before the login
    LoginStream(kj::Own<kj::AsyncIoStream> stream, std::shared_ptr<bool> authenticated, std::size_t bytesMax)
        : m_stream(kj::mv(stream))
        , m_authenticated(std::move(authenticated))
        , m_bytesLeft(bytesMax)
    {
    }

    kj::Promise<std::size_t> tryRead(void *buffer, std::size_t minBytes, std::size_t maxBytes) override
    {
        if (*m_authenticated) {
            return m_stream->tryRead(buffer, minBytes, maxBytes);
        }
        KJ_REQUIRE(minBytes <= m_bytesLeft, "a peer without a login has sent too much");
        return m_stream->tryRead(buffer, minBytes, std::min(maxBytes, m_bytesLeft)).then([this](std::size_t size) {
            m_bytesLeft -= size;
            return size;
        });
    }
    kj::Promise<void> write(const void *buffer, std::size_t size) override
    {
        return m_stream->write(buffer, size);
    }
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override
    {
        return m_stream->write(pieces);
    }
    kj::Promise<void> whenWriteDisconnected() override
    {
        return m_stream->whenWriteDisconnected();
    }
    void shutdownWrite() override
    {
        m_stream->shutdownWrite();
    }

private:
    kj::Own<kj::AsyncIoStream> m_stream;
    std::shared_ptr<bool> m_authenticated;
    std::size_t m_bytesLeft;
};

struct ServerConnection
{
    ServerConnection(kj::Own<kj::AsyncIoStream> loginStream, std::shared_ptr<bool> loggedIn,
                     capnp::ReaderOptions options, capnp::Capability::Client loginService)
        : authenticated(std::move(loggedIn))
        , stream(kj::mv(loginStream))
        , network(*stream, capnp::rpc::twoparty::Side::SERVER, options)
        , rpc(capnp::makeRpcServer(network, kj::mv(loginService)))
    {
    }

    std::shared_ptr<bool> authenticated;
    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
};

} // namespace detail

/// Listening socket and its connections. Used only on the loop's thread.
struct PeerServer::State final : private kj::TaskSet::ErrorHandler
{
    State(detail::LoopContext &loopContext, const PeerServer &server, kj::Own<kj::ConnectionReceiver> socket)
        : timer(loopContext.io.provider->getTimer())
        , settings(server.m_settings)
        , executor(server.m_executor)
        , handler(server.m_handler)
        , receiver(kj::mv(socket))
        , tasks(*this)
    {
        tasks.add(acceptNext());
    }
    ~State() = default;

    kj::Promise<void> acceptNext();
    void serve(kj::Own<kj::AsyncIoStream> stream);
    /// Closes the oldest connection that has not logged in.
    void closeOldestWithoutLogin();
    void taskFailed(kj::Exception &&exception) override;

    kj::Timer &timer;
    PeerServerSettings settings;
    asio::any_io_executor executor;
    std::shared_ptr<PeerHandler> handler;
    kj::Own<kj::ConnectionReceiver> receiver;
    std::map<std::uint64_t, kj::Own<detail::ServerConnection>> connections;
    std::uint64_t nextConnection{};
    kj::TaskSet tasks;
};

kj::Promise<void> PeerServer::State::acceptNext()
{
    return receiver->accept().then([this](kj::Own<kj::AsyncIoStream> stream) {
        if (connections.size() >= settings.connections) {
            closeOldestWithoutLogin();
        }
        if (connections.size() < settings.connections) {
            serve(kj::mv(stream));
        }
        return acceptNext();
    });
}

void PeerServer::State::closeOldestWithoutLogin()
{
    const auto oldest = std::find_if(connections.begin(), connections.end(), [](const auto &entry) {
        return !*entry.second->authenticated;
    });
    if (oldest != connections.end()) {
        connections.erase(oldest);
    }
}

void PeerServer::State::serve(kj::Own<kj::AsyncIoStream> stream)
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = settings.messageBytesMax / detail::bytesPerWord;
    auto authenticated = std::make_shared<bool>(false);
    wire::Peer::Client service = kj::heap<detail::PeerService>(executor, handler, settings.messageBytesMax / 4);
    auto loginService = kj::heap<detail::LoginService>(settings.secret, kj::mv(service), authenticated);
    const std::uint64_t id = ++nextConnection;
    auto loginStream
        = kj::heap<detail::LoginStream>(kj::mv(stream), authenticated, detail::loginBytesMax + settings.secret.size());
    auto connection
        = kj::heap<detail::ServerConnection>(kj::mv(loginStream), authenticated, options, kj::mv(loginService));
    connection->rpc.setFlowLimit(2 * settings.messageBytesMax / detail::bytesPerWord);
    auto loginExpired = timer.afterDelay(settings.loginTimeout.count() * kj::MILLISECONDS).then([authenticated]() {
        return *authenticated ? kj::Promise<void>(kj::NEVER_DONE) : kj::Promise<void>(kj::READY_NOW);
    });
    auto end = connection->network.onDisconnect().exclusiveJoin(kj::mv(loginExpired)).then([this, id]() {
        connections.erase(id);
    });
    connections.emplace(id, kj::mv(connection));
    tasks.add(kj::mv(end));
}

void PeerServer::State::taskFailed(kj::Exception &&exception)
{
    transport::log(transport::LogLevel::Warn, "peer-connection-failed",
                   {{"reason", exception.getDescription().cStr()}});
}

PeerServer::PeerServer(std::shared_ptr<PeerRuntime> runtime, asio::any_io_executor executor,
                       std::shared_ptr<PeerHandler> handler, PeerServerSettings settings)
    : m_runtime(std::move(runtime))
    , m_executor(std::move(executor))
    , m_handler(std::move(handler))
    , m_settings(std::move(settings))
{
}

PeerServer::~PeerServer()
{
    stop();
}

std::uint16_t PeerServer::start()
{
    auto listening = std::make_shared<std::promise<std::uint16_t>>();
    auto port = listening->get_future();
    m_runtime->loop().post([this, listening](detail::LoopContext &context) {
        auto opened = context.io.provider->getNetwork()
                          .parseAddress(m_settings.address)
                          .then([this, listening, &context](kj::Own<kj::NetworkAddress> address) {
                              auto receiver = address->listen();
                              // Accepted connections inherit it.
                              receiver->setsockopt(SOL_SOCKET, SO_RCVBUF, &detail::receiveBufferBytes,
                                                   sizeof detail::receiveBufferBytes);
                              const auto bound = static_cast<std::uint16_t>(receiver->getPort());
                              context.owned[this] = std::make_shared<State>(context, *this, kj::mv(receiver));
                              listening->set_value(bound);
                          });
        context.tasks.add(opened.catch_([listening](kj::Exception &&exception) {
            listening->set_exception(std::make_exception_ptr(Error(
                ErrorKind::Unavailable, std::string("cannot listen for peers: ") + exception.getDescription().cStr(),
                "check peer_address in the settings")));
        }));
    });
    return port.get();
}

void PeerServer::stop()
{
    auto closed = std::make_shared<std::promise<void>>();
    auto done = closed->get_future();
    m_runtime->loop().post([this, closed](detail::LoopContext &context) {
        context.owned.erase(this);
        closed->set_value();
    });
    done.wait();
}

} // namespace heatherquay::protocol
