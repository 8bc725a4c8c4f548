#include "wire/RelayDigest.h"

#include "Records.pb.h"
#include "base/Hash.h"

namespace wire {

namespace {

constexpr std::uint64_t TokensPerUnit = 256;
constexpr unsigned HalfBits = 32;
constexpr double Tenths = 10;

} // namespace

std::uint32_t endpointHash(std::string_view endpointId)
{
    const std::uint64_t hash = base::hashOf(endpointId);
    return static_cast<std::uint32_t>(hash ^ (hash >> HalfBits));
}

std::string encode(const RelayDigest &digest)
{
    trefoilport::pb::RelayDigest out;
    out.set_instance(digest.instance);
    out.set_leaving(digest.leaving);
    for (const EndpointLoad &load : digest.loads) {
        out.add_endpoint(load.endpoint);
        out.add_open_requests(load.openRequests);
        out.add_context(static_cast<std::uint32_t>((load.contextTokens + TokensPerUnit / 2) / TokensPerUnit));
    }
    for (const SilentEndpoint &silent : digest.silent) {
        out.add_silent(silent.endpoint);
        out.add_silent_incarnation(silent.incarnation);
    }
    for (const SlowEndpoint &slow : digest.slow) {
        out.add_slow(slow.endpoint);
        out.add_slowness_tenths(static_cast<std::uint32_t>(slow.slowness * Tenths));
    }
    for (const std::uint64_t strike : digest.strikes) {
        out.add_strike(strike);
    }
    return out.SerializeAsString();
}

base::Result<RelayDigest> decodeRelayDigest(std::string_view bytes)
{
    trefoilport::pb::RelayDigest in;
    const bool isWhole = in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) && in.open_requests_size() == in.endpoint_size()
        && in.context_size() == in.endpoint_size() && in.silent_incarnation_size() == in.silent_size() && in.slowness_tenths_size() == in.slow_size();
    if (!isWhole || in.instance().empty()) {
        return base::Error{base::ErrorKind::BadRequest, "malformed bytes in place of a relay digest"};
    }
    RelayDigest digest{in.instance(), in.leaving(), {}, {}, {}, {}};
    digest.loads.reserve(static_cast<std::size_t>(in.endpoint_size()));
    for (int i = 0; i < in.endpoint_size(); ++i) {
        digest.loads.push_back({in.endpoint(i), in.open_requests(i), in.context(i) * TokensPerUnit});
    }
    digest.silent.reserve(static_cast<std::size_t>(in.silent_size()));
    for (int i = 0; i < in.silent_size(); ++i) {
        digest.silent.push_back({in.silent(i), in.silent_incarnation(i)});
    }
    digest.slow.reserve(static_cast<std::size_t>(in.slow_size()));
    for (int i = 0; i < in.slow_size(); ++i) {
        digest.slow.push_back({in.slow(i), in.slowness_tenths(i) / Tenths});
    }
    digest.strikes.assign(in.strike().begin(), in.strike().end());
    return digest;
}

} // namespace wire
