#include "Apply.h"

#include "Folder.h"
#include "HeadStore.h"

#include <boost/json.hpp>

#include <algorithm>
#include <iostream>
#include <map>
#include <set>
#include <thread>

namespace {

/// Interval between two reads of the configuration's head object.
constexpr std::chrono::milliseconds PollInterval{100};

/// The texts of settings files by file name.
using Files = std::map<std::string, std::string>;

Files toMap(const std::vector<settings::SettingsFile> &files)
{
    Files out;
    for (const settings::SettingsFile &file : files) {
        out[file.name] = file.text;
    }
    return out;
}

Files toMap(const wire::ConfigDocument &document)
{
    return toMap(filesOf(document));
}

/// Returns the names of the files that were added, removed or changed between two sets of files.
std::set<std::string> changedNames(const Files &before, const Files &after)
{
    std::set<std::string> names;
    for (const auto &[name, text] : after) {
        const auto found = before.find(name);
        if (found == before.end() || found->second != text) {
            names.insert(name);
        }
    }
    for (const auto &[name, text] : before) {
        if (after.count(name) == 0) {
            names.insert(name);
        }
    }
    return names;
}

/// One run of `apply`: reads the configuration's head object again and again until the change is accepted, has failed, or the wait has timed out.
class ApplyCommand
{
public:
    explicit ApplyCommand(const ApplyOptions &options)
        : options_(options)
        , store_(options.platform)
        , deadline_(std::chrono::steady_clock::now() + options.wait)
    {
    }

    ExitCode run()
    {
        auto read = readFolder(options_.folder);
        if (const auto *problems = std::get_if<std::vector<settings::Problem>>(&read)) {
            return reportProblems(*problems);
        }
        folder_ = toMap(std::get<std::vector<settings::SettingsFile>>(read));
        while (true) {
            const HeadStore::Head head = store_.read();
            if (head.status == wire::StoreStatus::Ok || head.status == wire::StoreStatus::NotFound) {
                const auto code = processHead(head);
                if (code) {
                    return *code;
                }
            } else if (head.isDamaged || hasTimedOut()) {
                return report(ExitCode::Unreachable, 0, head.problem());
            }
            std::this_thread::sleep_for(PollInterval);
        }
    }

private:
    bool hasTimedOut() const
    {
        return std::chrono::steady_clock::now() >= deadline_;
    }

    /// Prints problems of the settings, each with file, line and field.
    ExitCode reportProblems(const std::vector<settings::Problem> &problems) const
    {
        for (const settings::Problem &problem : problems) {
            std::cerr << settings::toString(problem) << "\n";
        }
        return ExitCode::InvalidSettings;
    }

    /// Prints the result of the command, as text or JSON, and returns the given exit code.
    ExitCode report(ExitCode code, std::uint64_t revision, const std::string &text) const
    {
        static const std::map<ExitCode, std::string> resultNames = {
            {ExitCode::Done, "accepted"}, {ExitCode::Pending, "pending"}, {ExitCode::Conflict, "conflict"}, {ExitCode::Unreachable, "unreachable"}};
        if (options_.json) {
            std::cout << boost::json::serialize(boost::json::object{{"result", resultNames.at(code)}, {"revision", revision}, {"detail", text}}) << "\n";
        } else {
            std::cout << resultNames.at(code) << " revision " << revision << (text.empty() ? "" : ": " + text) << "\n";
        }
        return code;
    }

    /// Takes the next step for the head that was just read. Returns the exit code of the command, or none if the head is to be read again.
    std::optional<ExitCode> processHead(const HeadStore::Head &current)
    {
        if (stagedRevision_ != 0) {
            return awaitAcceptance(current);
        }
        const Files accepted = toMap(current.head.accepted);
        if (!baseFiles_) {
            baseFiles_ = accepted;
        }
        // A conflict is a file that was changed both by the folder and, since this command first read the head, by another operator, in different ways.
        const std::set<std::string> changedByOthers = changedNames(*baseFiles_, accepted);
        const std::set<std::string> changedByFolder = changedNames(*baseFiles_, merged(*baseFiles_));
        for (const std::string &name : changedByFolder) {
            const auto found = accepted.find(name);
            const bool isSameChange = found != accepted.end() && folder_.count(name) > 0 && folder_.at(name) == found->second;
            if (changedByOthers.count(name) > 0 && !isSameChange) {
                return report(ExitCode::Conflict, current.head.accepted.revision, "another operator has just changed " + name);
            }
        }
        const Files next = merged(accepted);
        if (next == accepted) {
            return report(ExitCode::Done, current.head.accepted.revision, "unchanged");
        }
        if (current.head.staged && !options_.replacePending) {
            return awaitPending(current, next);
        }
        return stage(current, next);
    }

    /// Returns the files that are to be in force, given the accepted ones: the folder alone with prune, otherwise the accepted files overlaid with it.
    Files merged(const Files &accepted) const
    {
        if (options_.prune) {
            return folder_;
        }
        Files next = accepted;
        for (const auto &[name, text] : folder_) {
            next[name] = text;
        }
        return next;
    }

    /// Handles a staged change of another operator. If it has the same content, its acceptance is awaited as if this command had staged it. Otherwise the
    /// command waits until that change has ended, and reports a conflict if the wait times out.
    std::optional<ExitCode> awaitPending(const HeadStore::Head &current, const Files &next)
    {
        if (toMap(*current.head.staged) == next) {
            stagedRevision_ = current.head.staged->revision;
            return std::nullopt;
        }
        if (hasTimedOut()) {
            return report(ExitCode::Conflict, current.head.staged->revision, "another change is pending; --replace_pending drops it");
        }
        return std::nullopt;
    }

    /// Validates the merged files and writes them as the staged document of the head.
    std::optional<ExitCode> stage(const HeadStore::Head &current, const Files &next)
    {
        wire::ConfigHead head = current.head;
        const std::uint64_t pending = head.staged ? head.staged->revision : 0;
        wire::ConfigDocument document;
        document.revision = std::max(head.accepted.revision, pending) + 1;
        std::vector<settings::SettingsFile> texts;
        for (const auto &[name, text] : next) {
            document.files.push_back({name, text});
            texts.push_back({name, text});
        }
        const std::vector<settings::Problem> problems = problemsOf(texts);
        if (!problems.empty()) {
            return reportProblems(problems);
        }
        const std::uint64_t revision = document.revision;
        head.staged = std::move(document);
        const wire::StoreStatus status = store_.write(head, current.version);
        if (status == wire::StoreStatus::Ok) {
            stagedRevision_ = revision;
        } else if (hasTimedOut()) {
            return report(ExitCode::Unreachable, 0, "the object API does not take the change");
        }
        // After a conflict or a lost answer, the next read of the head shows whether the change was written.
        return std::nullopt;
    }

    /// Ends the command when the staged revision is accepted, a later change has replaced it, or the wait has timed out.
    std::optional<ExitCode> awaitAcceptance(const HeadStore::Head &current) const
    {
        const std::uint64_t accepted = current.head.accepted.revision;
        const std::uint64_t pending = current.head.staged ? current.head.staged->revision : 0;
        if (accepted == stagedRevision_) {
            return report(ExitCode::Done, accepted, "");
        }
        if (accepted > stagedRevision_ || pending > stagedRevision_) {
            const bool folderIsAccepted = toMap(current.head.accepted) == merged(toMap(current.head.accepted));
            return report(folderIsAccepted ? ExitCode::Done : ExitCode::Conflict,
                          accepted,
                          folderIsAccepted ? "with a later change" : "replaced by another operator's change");
        }
        if (hasTimedOut()) {
            return report(ExitCode::Pending, stagedRevision_, "not every instance has staged it; see 'trefoilctl status'");
        }
        return std::nullopt;
    }

    const ApplyOptions &options_;
    HeadStore store_;
    /// When the command stops waiting.
    std::chrono::steady_clock::time_point deadline_;
    /// The files of the folder.
    Files folder_;
    /// The accepted files at the first read of the head, to detect later changes of other operators.
    std::optional<Files> baseFiles_;
    /// Revision of the staged change whose acceptance is awaited; 0 while nothing is staged.
    std::uint64_t stagedRevision_ = 0;
};

} // namespace

ExitCode apply(const ApplyOptions &options)
{
    return ApplyCommand(options).run();
}

ExitCode diff(const ApplyOptions &options)
{
    auto read = readFolder(options.folder);
    if (const auto *problems = std::get_if<std::vector<settings::Problem>>(&read)) {
        for (const settings::Problem &problem : *problems) {
            std::cerr << settings::toString(problem) << "\n";
        }
        return ExitCode::InvalidSettings;
    }
    const HeadStore::Head head = HeadStore(options.platform).read();
    if (head.status != wire::StoreStatus::Ok && head.status != wire::StoreStatus::NotFound) {
        std::cerr << "trefoilctl: " << head.problem() << "\n";
        return ExitCode::Unreachable;
    }
    const Files folder = toMap(std::get<std::vector<settings::SettingsFile>>(read));
    const Files accepted = toMap(head.head.accepted);
    boost::json::array out;
    for (const std::string &name : changedNames(accepted, folder)) {
        const bool isNew = accepted.count(name) == 0;
        const bool isGone = folder.count(name) == 0;
        const std::string change = isNew ? "added" : (isGone ? (options.prune ? "removed" : "kept") : "changed");
        out.push_back(boost::json::object{{"file", name}, {"change", change}});
        if (!options.json) {
            std::cout << change << " " << name << "\n";
        }
    }
    if (options.json) {
        std::cout << boost::json::serialize(out) << "\n";
    }
    return ExitCode::Done;
}
