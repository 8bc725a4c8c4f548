#include "timeline/EventLog.h"

#include <boost/json.hpp>

#include <algorithm>
#include <map>

namespace timeline {

namespace json = boost::json;

EventLog::EventLog(std::size_t capacity)
    : capacity_(capacity)
{
}

void EventLog::add(Event event)
{
    const std::lock_guard lock(mutex_);
    events_.push_back(std::move(event));
    if (events_.size() > capacity_) {
        events_.pop_front();
    }
}

std::vector<Event> EventLog::eventsSince(Stamp stamp) const
{
    const std::lock_guard lock(mutex_);
    std::vector<Event> out;
    for (const Event &event : events_) {
        if (event.stamp > stamp) {
            out.push_back(event);
        }
    }
    return out;
}

std::string toJson(const std::vector<Event> &events)
{
    json::array array;
    for (const Event &event : events) {
        array.push_back(json::object{{"stamp", event.stamp},
                                     {"instance", event.instance},
                                     {"zone", event.zone},
                                     {"kind", event.kind},
                                     {"call", event.call},
                                     {"subject", event.subject},
                                     {"detail", event.detail}});
    }
    return json::serialize(array);
}

std::optional<std::vector<Event>> fromJson(std::string_view text)
{
    try {
        std::vector<Event> events;
        const json::value root = json::parse(json::string_view(text.data(), text.size()));
        for (const json::value &value : root.as_array()) {
            const json::object &object = value.as_object();
            const auto textOf = [&](const char *name) {
                return json::value_to<std::string>(object.at(name));
            };
            events.push_back({object.at("stamp").to_number<Stamp>(),
                              textOf("instance"),
                              textOf("zone"),
                              textOf("kind"),
                              object.at("call").to_number<std::uint64_t>(),
                              textOf("subject"),
                              textOf("detail")});
        }
        return events;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

void sortByStamp(std::vector<Event> &events)
{
    const auto before = [](const Event &a, const Event &b) {
        return std::tie(a.stamp, a.instance) < std::tie(b.stamp, b.instance);
    };
    std::stable_sort(events.begin(), events.end(), before);
}

std::string toTraceEvents(const std::vector<Event> &events)
{
    json::array out;
    std::map<std::string, std::int64_t> processes;
    for (const Event &event : events) {
        const auto [process, isNew] = processes.emplace(event.instance, static_cast<std::int64_t>(processes.size() + 1));
        if (isNew) {
            const json::object name{{"name", event.instance + " (" + event.zone + ")"}};
            out.push_back(json::object{{"ph", "M"}, {"name", "process_name"}, {"pid", process->second}, {"tid", 0}, {"args", name}});
        }
        json::object entry{{"pid", process->second}, {"tid", event.call}, {"ts", wallMicros(event.stamp)}, {"cat", "trefoilport"}};
        entry["args"] = json::object{{"subject", event.subject}, {"detail", event.detail}};
        if (event.kind == "call_arrived") {
            entry["ph"] = "B";
            entry["name"] = "call " + std::to_string(event.call);
        } else if (event.kind == "call_answered" || event.kind == "call_failed") {
            entry["ph"] = "E";
            entry["name"] = "call " + std::to_string(event.call);
        } else {
            entry["ph"] = "i";
            entry["s"] = event.call == 0 ? "p" : "t";
            entry["name"] = event.kind;
        }
        out.push_back(std::move(entry));
    }
    return json::serialize(json::object{{"traceEvents", std::move(out)}});
}

} // namespace timeline
