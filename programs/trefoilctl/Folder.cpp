#include "Folder.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

settings::Parsed<std::vector<settings::SettingsFile>> readFolder(const std::string &folder)
{
    std::vector<settings::SettingsFile> files;
    std::vector<settings::Problem> problems;
    std::error_code error;
    for (const auto &entry : std::filesystem::directory_iterator(folder, error)) {
        const auto extension = entry.path().extension();
        if (entry.is_directory() || (extension != ".yaml" && extension != ".yml")) {
            continue;
        }
        const std::string name = entry.path().filename().string();
        std::ifstream file(entry.path());
        const std::string text{std::istreambuf_iterator<char>(file), {}};
        if (!file.is_open() || file.bad()) {
            problems.push_back({name, 0, "", "can't be read"});
        }
        files.push_back({name, text});
    }
    if (error || files.empty()) {
        return std::vector<settings::Problem>{{folder, 0, "", error ? error.message() : "holds no .yaml or .yml file"}};
    }
    if (!problems.empty()) {
        return problems; // Without these files, another configuration than the folder's would be applied.
    }
    std::sort(files.begin(), files.end(), [](const auto &a, const auto &b) { return a.name < b.name; });
    return files;
}

std::vector<settings::Problem> problemsOf(const std::vector<settings::SettingsFile> &files)
{
    const auto parsed = settings::parseRoutingConfig(files);
    const auto *problems = std::get_if<std::vector<settings::Problem>>(&parsed);
    return problems != nullptr ? *problems : std::vector<settings::Problem>{};
}

std::vector<settings::SettingsFile> filesOf(const wire::ConfigDocument &document)
{
    std::vector<settings::SettingsFile> files;
    for (const wire::ConfigFile &file : document.files) {
        files.push_back({file.name, file.text});
    }
    return files;
}
