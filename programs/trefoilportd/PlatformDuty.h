#pragma once

#include "KernelDuty.h"
#include "platform/PlatformClient.h"
#include "settings/DaemonSettings.h"

/// Reads and writes objects of the platform's store for the kernel, watches the configuration's head object, and polls the platform's instance list, which
/// names endpoints as well as instances.
class PlatformDuty
{
public:
    PlatformDuty(const settings::DaemonSettings &settings, DaemonRings &rings);

    /// Runs the event loop in the calling thread until stop().
    void run();

    /// Ends run() from any thread.
    void stop();

private:
    void handleActions();
    void flushPeriodically();
    void read(const trefoilport::ReadStore &action);
    void write(const trefoilport::WriteStore &action);
    void readHead();

    /// Waits for the next version of the head, reports it, and starts again.
    void watchHead();

    /// Reports the result of a read or watch that was sent at `issuedAt`. The head is parsed only if its version is new. Returns false if the read failed or
    /// the head can't be decoded.
    bool onHead(base::Instant issuedAt, const platform::ReadResult &result);
    /// Requests the instance list and reports it, and repeats this at the interval that the settings state.
    void pollList();

    const settings::DaemonSettings &settings_;
    DaemonRings &rings_;
    net::EventLoop loop_;
    platform::PlatformClient client_;
    /// Version of the last head that was reported; 0 before the first one.
    std::uint64_t headVersion_ = 0;
};

/// Parses the accepted and the staged document of a head. A document that has problems or revision 0 gets no parsed configuration.
trefoilport::ParsedHead parseHead(const wire::ConfigHead &head);
