#include "heatherquay/transport/random.hpp"

#include "heatherquay/error.hpp"

#include <array>
#include <random>
#include <vector>

#include <openssl/rand.h>

namespace heatherquay::transport
{

std::uint64_t randomNumber()
{
    thread_local std::mt19937_64 generator{std::random_device{}()};
    return generator();
}

std::string randomHex(std::size_t bytes)
{
    constexpr char digits[] = "0123456789abcdef";
    std::vector<unsigned char> raw(bytes);
    if (RAND_bytes(raw.data(), static_cast<int>(bytes)) != 1) {
        throw Error(ErrorKind::Internal, "the random number generator of OpenSSL failed",
                    "check the OpenSSL installation and the entropy source of the operating system");
    }
    std::string text;
    for (const unsigned char byte : raw) {
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

} // namespace heatherquay::transport
