#include "platform/PlatformClient.h"

#include <boost/json.hpp>

namespace platform {

namespace json = boost::json;

namespace {

/// Returns the number in a field, or the fallback if the field is missing, isn't a number, or doesn't fit the type.
template<typename Number>
Number numberOr(const json::object &object, const char *name, Number fallback)
{
    const json::value *found = object.if_contains(name);
    boost::system::error_code error;
    const Number number = found != nullptr && found->is_number() ? found->to_number<Number>(error) : fallback;
    return error ? fallback : number;
}

/// Returns the string in a field, or the fallback if the field is missing or isn't a string.
std::string textOr(const json::object &object, const char *name, const std::string &fallback = {})
{
    const json::value *found = object.if_contains(name);
    return found != nullptr && found->is_string() ? std::string(found->as_string()) : fallback;
}

/// Returns true if a field holds the boolean true.
bool flagOf(const json::object &object, const char *name)
{
    const json::value *found = object.if_contains(name);
    return found != nullptr && found->is_bool() && found->as_bool();
}

/// Adds an entry to the listing. Skips it if its kind is unknown or a required field is missing.
void addEntry(const json::object &entry, Listing &listing)
{
    const std::string kind = textOr(entry, "kind");
    const std::string id = textOr(entry, "id");
    if (id.empty()) {
        return;
    }
    if (kind == "instance") {
        listing.instances.push_back({id, textOr(entry, "mesh"), textOr(entry, "zone"), flagOf(entry, "leaving"), textOr(entry, "address")});
        return;
    }
    const auto endpointKind = base::valueIn(wire::EndpointKindNames, kind);
    if (!endpointKind || textOr(entry, "address").empty()) {
        return;
    }
    wire::EndpointInfo info;
    info.id = id;
    info.kind = *endpointKind;
    info.address = textOr(entry, "address");
    info.zone = textOr(entry, "zone");
    info.incarnation = numberOr<std::uint64_t>(entry, "incarnation", 0);
    info.leaving = flagOf(entry, "leaving");
    info.serves = textOr(entry, "serves");
    info.firstLayer = numberOr<std::uint32_t>(entry, "first_layer", 0);
    info.endLayer = numberOr<std::uint32_t>(entry, "end_layer", 0);
    info.stepMicros = numberOr<std::uint32_t>(entry, "step_us", info.stepMicros);
    info.capacity = numberOr<std::uint32_t>(entry, "capacity", info.capacity);
    listing.endpoints.push_back(std::move(info));
}

} // namespace

std::optional<Listing> parseListing(const std::string &text)
{
    boost::system::error_code error;
    const json::value root = json::parse(text, error);
    if (error || !root.is_array()) {
        return std::nullopt;
    }
    Listing listing;
    for (const json::value &entry : root.get_array()) {
        if (entry.is_object()) {
            addEntry(entry.get_object(), listing);
        }
    }
    return listing;
}

std::string toJson(const wire::EndpointInfo &endpoint)
{
    const json::object entry{{"kind", base::nameIn(wire::EndpointKindNames, endpoint.kind)},
                             {"id", endpoint.id},
                             {"address", endpoint.address},
                             {"zone", endpoint.zone},
                             {"incarnation", endpoint.incarnation},
                             {"leaving", endpoint.leaving},
                             {"serves", endpoint.serves},
                             {"first_layer", endpoint.firstLayer},
                             {"end_layer", endpoint.endLayer},
                             {"step_us", endpoint.stepMicros},
                             {"capacity", endpoint.capacity}};
    return json::serialize(entry);
}

std::string toJson(const wire::InstanceInfo &instance)
{
    const json::object entry{{"kind", "instance"},
                             {"id", instance.id},
                             {"mesh", instance.mesh},
                             {"zone", instance.zone},
                             {"leaving", instance.leaving},
                             {"address", instance.address}};
    return json::serialize(entry);
}

} // namespace platform
