#pragma once

#include "KernelDuty.h"
#include "settings/DaemonSettings.h"
#include "timeline/EventLog.h"

#include <thread>

/// Writes the kernel's Record actions to the log, as JSON lines, and keeps the latest of them as the timeline.
class RecordDuty
{
public:
    /// `clock` stamps the events of the timeline.
    RecordDuty(const settings::DaemonSettings &settings, DaemonRings &rings, timeline::HybridClock &clock);

    /// Runs in the calling thread until stop().
    void run();

    /// Ends run() from any thread, after the records that are queued by then are written.
    void stop();

    /// Returns the timeline; it may be read from any thread.
    const timeline::EventLog &events() const
    {
        return events_;
    }

private:
    void handleActions();
    void write(const trefoilport::Record &record);

    const settings::DaemonSettings &settings_;
    DaemonRings &rings_;
    timeline::HybridClock &clock_;
    timeline::EventLog events_;
    Wakeup wakeup_;
    std::atomic<bool> stopped_{false};
};

/// Sets up logging to standard error as JSON lines. Those of the calling thread carry the instance and its zone. `level` is the name of the lowest level that
/// is logged.
void setUpLog(const std::string &instance, const std::string &zone, const std::string &level);

/// Logs a line about the process itself, at level INFO.
void logLine(const std::string &message);
