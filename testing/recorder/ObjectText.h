#pragma once

#include "MessageText.h"
#include "Messages.h"

#include <string>

/// Text of what a commit reads from stored objects.
namespace objecttext {

/// Returns the page of the store's list in which an object is found.
inline std::string pageWith(const std::string &object)
{
    return R"({"Entries":[)" + object + R"(],"HasMore":false,"At":7})";
}

/// Returns what this commit reads from the object of that name; "unread" if this commit or the recorder reads no such object.
inline std::string textOf(const std::string &name, const std::string &object)
{
    messagetext::Writer out;
    if (name == "instance") {
        for (const auto &entry : decodeInstances(pageWith(object)).value_or(std::vector<relay::InstanceEntry>{})) {
            out.add("id", entry.id).add("mesh", entry.meshAddress).add("zone", entry.zone);
            messagetext::addHandOver(out, entry);
        }
        return out.text();
    }
    if (name.starts_with("lease")) {
        const auto [version, record] = decodeLease(object, 2);
        out.version(version).add("holder", record.holder).add("fence", record.fence).add("renewal", record.renewal);
        return out.text();
    }
    return "unread";
}

} // namespace objecttext
