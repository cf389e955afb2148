#include "heatherquay/transport/digest.hpp"

#include "heatherquay/error.hpp"

#include <array>
#include <memory>

#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace heatherquay::transport
{

namespace detail
{

class Digest
{
public:
    Digest()
        : m_context(EVP_MD_CTX_new(), &EVP_MD_CTX_free)
    {
        check(m_context != nullptr && EVP_DigestInit_ex(m_context.get(), EVP_sha256(), nullptr) == 1);
    }

    void update(std::string_view data)
    {
        check(EVP_DigestUpdate(m_context.get(), data.data(), data.size()) == 1);
    }

    std::string finishHex()
    {
        constexpr char digits[] = "0123456789abcdef";
        std::array<unsigned char, EVP_MAX_MD_SIZE> raw{};
        unsigned size = 0;
        check(EVP_DigestFinal_ex(m_context.get(), raw.data(), &size) == 1);
        std::string text;
        for (unsigned i = 0; i < size; ++i) {
            text += digits[raw[i] >> 4U];
            text += digits[raw[i] & 15U];
        }
        return text;
    }

private:
    static void check(bool ok)
    {
        if (!ok) {
            throw Error(ErrorKind::Internal, "the SHA-256 computation failed", "check the OpenSSL installation");
        }
    }

    std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> m_context;
};

} // namespace detail

std::string sha256Hex(std::initializer_list<std::string_view> parts)
{
    detail::Digest digest;
    for (const std::string_view part : parts) {
        if (parts.size() > 1) {
            digest.update(std::to_string(part.size()) + ":");
        }
        digest.update(part);
    }
    return digest.finishHex();
}

bool equalInConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace heatherquay::transport
