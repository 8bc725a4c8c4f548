#pragma once

#include "ExitCode.h"
#include "net/Http.h"

#include <chrono>
#include <string>

/// The options of the commands `apply` and `diff`.
struct ApplyOptions {
    /// The folder with the settings files.
    std::string folder;
    /// Address of the platform's object API.
    net::Address platform;
    /// Removes accepted files that are missing from the folder. Without it, they are kept.
    bool prune = false;
    /// Replaces a staged change of another operator that is not accepted yet. Without it, `apply` waits until that change has ended.
    bool replacePending = false;
    /// How long `apply` waits for acceptance before it gives up.
    std::chrono::milliseconds wait{10000};
    /// Prints JSON instead of text.
    bool json = false;
};

/// Merges the folder into the accepted files, stages the result as the next revision, and waits until that revision is accepted, which happens once
/// every live instance has staged it. Returns Pending if that takes longer than ApplyOptions::wait.
ExitCode apply(const ApplyOptions &options);

/// Prints the files that `apply` with the same options would add, change or, with prune, remove. Files that are missing from the folder are listed as kept
/// without prune. Changes nothing.
ExitCode diff(const ApplyOptions &options);
