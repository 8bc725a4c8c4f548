#include "CallersDuty.h"
#include "EndpointsDuty.h"
#include "KernelDuty.h"
#include "MeshDuty.h"
#include "PlatformDuty.h"
#include "RecordDuty.h"
#include "base/Allocator.h"
#include "base/ListenError.h"
#include "settings/Parse.h"
#include "trefoilport/PlatformPlugin.h"

#include <gflags/gflags.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

DEFINE_string(settings, "", "the daemon's settings file (YAML)");
DEFINE_string(log_level, "INFO", "lowest level that is logged: DEBUG, INFO, WARN or ERROR");
DEFINE_uint64(seed, 0, "seed of the kernel's random choices; 0 derives it from the clock");

namespace {

/// Exit code for a settings file that can't be read or is invalid.
constexpr int InvalidSettingsExitCode = 2;
/// Exit code if the daemon can't start.
constexpr int StartFailedExitCode = 3;
/// Exit code if an address can't be listened on.
constexpr int ListenFailedExitCode = 4;

/// The kernel that onStopSignal() stops; set before the handler is installed.
KernelDuty *kernelToStop = nullptr;

void onStopSignal(int)
{
    kernelToStop->requestStop();
}

trefoilport::KernelSettings kernelSettingsOf(const settings::DaemonSettings &daemon, const std::string &meshAddress)
{
    trefoilport::KernelSettings kernel;
    kernel.id = daemon.id;
    kernel.zone = daemon.zone;
    kernel.meshAddress = meshAddress;
    // The process keeps nothing over a restart, so its start time serves as the incarnation, which has to grow only among starts of the same instance.
    kernel.incarnation = static_cast<std::uint64_t>(base::readClocks().wall);
    kernel.seeds = daemon.seeds;
    kernel.gossipMs = daemon.gossipMs;
    kernel.gossipPeers = daemon.gossipPeers;
    kernel.gossipEntries = daemon.gossipEntries;
    kernel.suspectMs = daemon.suspectMs;
    kernel.confirmMs = daemon.confirmMs;
    kernel.observers = daemon.observers;
    kernel.loadPollMs = daemon.loadPollMs;
    kernel.claimBuckets = daemon.claimBuckets;
    kernel.shutdownMs = daemon.shutdownMs;
    kernel.seed = FLAGS_seed != 0 ? FLAGS_seed : kernel.incarnation;
    return kernel;
}

/// Starts a thread for each duty and runs the kernel in the calling thread until it has shut down. Throws base::ListenError if an address can't be bound.
void runDaemon(const settings::DaemonSettings &daemon)
{
    timeline::HybridClock clock;
    DaemonRings rings(static_cast<std::size_t>(daemon.ringItems));
    RecordDuty record(daemon, rings, clock);
    const auto callersDuty = base::listenBySetting("listen", [&]() { return std::make_unique<CallersDuty>(daemon, rings, record.events()); });
    CallersDuty &callers = *callersDuty;
    EndpointsDuty endpoints(rings);
    PlatformDuty platform(daemon, rings);
    const auto meshDuty = base::listenBySetting("mesh", [&]() { return std::make_unique<MeshDuty>(daemon, rings, clock); });
    MeshDuty &mesh = *meshDuty;
    KernelDuty kernel(kernelSettingsOf(daemon, mesh.address()), rings);
    callers.extraMetrics = [&mesh]() {
        return "# TYPE trefoilport_mesh_sent_bytes_total counter\ntrefoilport_mesh_sent_bytes_total " + std::to_string(mesh.bytesSent())
            + "\n# TYPE trefoilport_mesh_received_bytes_total counter\ntrefoilport_mesh_received_bytes_total " + std::to_string(mesh.bytesReceived()) + "\n";
    };

    callers.log = logLine;

    kernelToStop = &kernel;
    std::signal(SIGTERM, onStopSignal);
    std::signal(SIGINT, onStopSignal);
    std::signal(SIGPIPE, SIG_IGN);
    std::cout << "listening " << net::toString(callers.address()) << " mesh " << mesh.address() << std::endl;
    logLine("started");

    std::thread recordThread([&]() { record.run(); });
    std::thread callersThread([&]() { callers.run(); });
    std::thread endpointsThread([&]() { endpoints.run(); });
    std::thread platformThread([&]() { platform.run(); });
    std::thread meshThread([&]() { mesh.run(); });
    kernel.run();

    callers.stop();
    callersThread.join();
    endpoints.stop();
    endpointsThread.join();
    platform.stop();
    platformThread.join();
    mesh.stop();
    meshThread.join();
    record.stop();
    recordThread.join();
    logLine("stopped");
}

} // namespace

int main(int argc, char **argv)
{
    base::keepHeapSmall();
    gflags::SetUsageMessage("one instance of trefoilport\nusage: trefoilportd --settings FILE");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    // Without a settings file, the plug-in of the platform that started this process runs the instance.
    for (const trefoilport::PlatformPlugin &plugin : trefoilport::registeredPlatforms()) {
        if (FLAGS_settings.empty() && plugin.isPresent()) {
            return plugin.run();
        }
    }
    std::ifstream file(FLAGS_settings);
    if (!file) {
        std::cerr << "trefoilportd: can't read the settings file '" << FLAGS_settings << "' (--settings FILE)\n";
        return InvalidSettingsExitCode;
    }
    std::ostringstream text;
    text << file.rdbuf();
    const auto parsed = settings::parseDaemonSettings({FLAGS_settings, text.str()});
    if (const auto *problems = std::get_if<std::vector<settings::Problem>>(&parsed)) {
        for (const settings::Problem &problem : *problems) {
            std::cerr << settings::toString(problem) << "\n";
        }
        return InvalidSettingsExitCode;
    }
    const auto &daemon = std::get<settings::DaemonSettings>(parsed);
    setUpLog(daemon.id, daemon.zone, FLAGS_log_level);
    try {
        runDaemon(daemon);
    } catch (const base::ListenError &error) {
        logLine(std::string("listen_failed: ") + error.what());
        std::cerr << "trefoilportd: " << error.what() << "\n";
        return ListenFailedExitCode;
    } catch (const std::exception &error) {
        std::cerr << "trefoilportd: " << error.what() << "\n";
        return StartFailedExitCode;
    }
    return 0;
}
