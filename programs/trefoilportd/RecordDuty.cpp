#include "RecordDuty.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/mdc.h>

using namespace trefoilport;

namespace {

/// Longest time that the duty's thread sleeps without a notification.
constexpr std::chrono::milliseconds PollInterval{100};

log4cxx::LoggerPtr logger()
{
    static const log4cxx::LoggerPtr instance = log4cxx::Logger::getLogger("trefoilportd");
    return instance;
}

/// Returns whether events of a kind occur for every call or frame; these are logged at level DEBUG only.
bool isFrequent(TimelineKind kind)
{
    switch (kind) {
    case TimelineKind::CallArrived:
    case TimelineKind::CallAnswered:
    case TimelineKind::AttemptStarted:
    case TimelineKind::FirstToken:
    case TimelineKind::ClaimWritten:
    case TimelineKind::ClaimGranted:
    case TimelineKind::LateFrameDropped:
        return true;
    default:
        return false;
    }
}

/// Returns whether the subject of a kind's events is the call's team.
bool isSubjectTeam(TimelineKind kind)
{
    switch (kind) {
    case TimelineKind::CallArrived:
    case TimelineKind::CallAnswered:
    case TimelineKind::CallFailed:
    case TimelineKind::RequestQuarantined:
        return true;
    default:
        return false;
    }
}

} // namespace

void setUpLog(const std::string &instance, const std::string &zone, const std::string &level)
{
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(std::make_shared<log4cxx::JSONLayout>(), log4cxx::ConsoleAppender::getSystemErr());
    const auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    root->setLevel(log4cxx::Level::toLevel(level));
    log4cxx::MDC::put("instance", instance);
    log4cxx::MDC::put("zone", zone);
}

void logLine(const std::string &message)
{
    LOG4CXX_INFO(logger(), message);
}

RecordDuty::RecordDuty(const settings::DaemonSettings &settings, DaemonRings &rings, timeline::HybridClock &clock)
    : settings_(settings)
    , rings_(rings)
    , clock_(clock)
    , events_(static_cast<std::size_t>(settings.timelineEvents))
{
    rings_.toRecord.wake = [this]() {
        wakeup_.notify();
    };
}

void RecordDuty::write(const Record &record)
{
    const std::string kind(base::nameIn(TimelineKindNames, record.kind));
    events_.add({clock_.now(), settings_.id, settings_.zone, kind, record.call, record.subject, record.detail});
    const bool frequent = isFrequent(record.kind);
    if (frequent && !logger()->isDebugEnabled()) {
        return;
    }
    log4cxx::MDC::put("request", std::to_string(record.call));
    const char *const subjectName = isSubjectTeam(record.kind) ? "team" : "subject";
    log4cxx::MDC::put(subjectName, record.subject);
    const std::string message = record.detail.empty() ? kind : kind + ": " + record.detail;
    if (frequent) {
        LOG4CXX_DEBUG(logger(), message);
    } else {
        LOG4CXX_INFO(logger(), message);
    }
    log4cxx::MDC::remove("request");
    log4cxx::MDC::remove(subjectName);
}

void RecordDuty::handleActions()
{
    Action action;
    while (rings_.toRecord.pop(action)) {
        if (const auto *record = std::get_if<Record>(&action)) {
            write(*record);
        }
    }
}

void RecordDuty::run()
{
    // MDC values belong to one thread; those of setUpLog() hold for its caller's thread only.
    log4cxx::MDC::put("instance", settings_.id);
    log4cxx::MDC::put("zone", settings_.zone);
    while (!stopped_) {
        handleActions();
        wakeup_.waitFor(PollInterval);
    }
    handleActions();
}

void RecordDuty::stop()
{
    stopped_ = true;
    wakeup_.notify();
}
