#include "record/DecisionLog.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/mdc.h>

namespace record {

namespace {

/// Lines that wait for the output before more are dropped.
constexpr int MaxQueuedLines = 512;
/// Lines with the same event name that are written in one window.
constexpr std::uint32_t MaxLinesPerWindow = 60;
constexpr std::chrono::seconds WindowDuration{1};

log4cxx::LoggerPtr logger()
{
    static const log4cxx::LoggerPtr instance = log4cxx::Logger::getLogger("trefoilport");
    return instance;
}

} // namespace

void setUpJsonLog(const std::string &instance, const std::string &zone)
{
    const auto console = std::make_shared<log4cxx::ConsoleAppender>(std::make_shared<log4cxx::JSONLayout>(), log4cxx::ConsoleAppender::getSystemOut());
    const auto async = std::make_shared<log4cxx::AsyncAppender>();
    async->setBufferSize(MaxQueuedLines);
    async->setBlocking(false);
    async->addAppender(console);
    const auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(async);
    root->setLevel(log4cxx::Level::getInfo());
    log4cxx::MDC::put("instance", instance);
    log4cxx::MDC::put("zone", zone);
}

void shutDownJsonLog()
{
    log4cxx::LogManager::shutdown();
}

void DecisionLog::write(const LogLine &line, base::Instant now)
{
    auto windowIt = windows_.find(line.event);
    if (windowIt == windows_.end()) {
        windowIt = windows_.emplace(std::string(line.event), Window{now, 0, 0}).first;
    }
    Window &window = windowIt->second;
    if (now - window.begin >= WindowDuration) {
        window.begin = now;
        window.lines = 0;
    }
    if (++window.lines > MaxLinesPerWindow) {
        ++window.droppedLines;
        ++droppedLines_;
        return;
    }
    const auto put = [](const char *name, std::string_view value) {
        if (!value.empty()) {
            log4cxx::MDC::put(name, std::string(value));
        }
    };
    put("request", line.request);
    put("subject", line.subject);
    put("detail", line.detail);
    if (window.droppedLines > 0) {
        log4cxx::MDC::put("left_out", std::to_string(window.droppedLines));
        window.droppedLines = 0;
    }
    LOG4CXX_INFO(logger(), std::string(line.event));
    for (const char *name : {"request", "subject", "detail", "left_out"}) {
        log4cxx::MDC::remove(name);
    }
}

} // namespace record
