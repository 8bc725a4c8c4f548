#pragma once

#include "ExitCode.h"
#include "net/Http.h"

#include <string>
#include <vector>

/// The options of the commands that query instances.
struct ShowOptions {
    /// Addresses on which the instances serve callers and operators. Only showStatus() and showTimeline() query more than the first.
    std::vector<net::Address> instances;
    /// The operators' key, sent with each request.
    std::string operatorKey;
    /// Prints JSON instead of a table.
    bool json = false;
};

/// Prints the state of each given instance, such as its configuration revision and its number of open calls. Of those that relay requests also what
/// they have quarantined as crashing endpoints.
ExitCode showStatus(const ShowOptions &options);

/// Prints the routes of the first given instance. With a name, prints the pipeline that a call on this route would get now and the endpoints that serve it;
/// returns Refused if there is no such route.
ExitCode showRoutes(const ShowOptions &options, const std::string &name);

/// Prints the endpoints that the first given instance knows, each with the state that this instance holds for it.
ExitCode showEndpoints(const ShowOptions &options);

/// Prints the instances that the first given instance knows, each with the state that this instance holds for it.
ExitCode showInstances(const ShowOptions &options);

/// Drains an endpoint: the first given instance and, through gossip, all others give it no new work until it starts again as a new
/// incarnation.
ExitCode drainEndpoint(const ShowOptions &options, const std::string &endpoint);

/// Ends the quarantine of a signature: the first given instance and, by its next digest, all others let such requests pass. Returns Refused if there
/// is none.
ExitCode liftQuarantine(const ShowOptions &options, const std::string &signature);

/// Merges the timeline events of all given instances in the order of their stamps and prints them. If traceFile is not empty, writes them to this file in the
/// Trace Event format instead.
ExitCode showTimeline(const ShowOptions &options, const std::string &traceFile);
