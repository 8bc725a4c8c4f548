#include "settings/Parse.h"

#include "details/Tables.h"

#include <algorithm>

namespace settings {

namespace {

constexpr std::size_t Sha256HexDigits = 64;
constexpr std::array<std::string_view, 4> PolicyNames = {"predicted", "least_connections", "round_robin", "random"};

/// Returns true for a SHA-256 in lower-case hexadecimal digits.
bool isSha256Hex(const std::string &text)
{
    const auto isHex = [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    };
    return text.size() == Sha256HexDigits && std::all_of(text.begin(), text.end(), isHex);
}

/// Reads a section, which is a map from names to entries, and calls readEntry for each entry. Unknown fields of an entry are reported.
template<typename Entry, typename ReadEntry>
void readSection(FieldReader &top, const char *section, std::map<std::string, Entry> &out, std::vector<Problem> &problems, ReadEntry readEntry)
{
    const Value *value = top.takeField(section);
    if (value == nullptr || value->kind == Value::Kind::Null) {
        return;
    }
    if (value->kind != Value::Kind::Map) {
        top.report(*value, section, "must be a map");
        return;
    }
    for (const auto &[name, field] : value->fields) {
        FieldReader reader(field, std::string(section) + "." + name, problems);
        readEntry(reader, field, out[name]);
        reader.reportUnknownFields();
    }
}

void readModel(FieldReader &reader, const Value &value, ModelConfig &model)
{
    reader.read(std::span<const IntSetting<ModelConfig>>(ModelIntSettings), model);
    reader.read(std::span<const TextSetting<ModelConfig>>(ModelTextSettings), model);
    if (std::find(PolicyNames.begin(), PolicyNames.end(), model.policy) == PolicyNames.end()) {
        reader.report(value, "policy", "must be predicted, least_connections, round_robin or random");
    }
}

void readService(FieldReader &reader, const Value &value, ServiceConfig &service)
{
    reader.read(std::span<const IntSetting<ServiceConfig>>(ServiceIntSettings), service);
    reader.read(std::span<const TextSetting<ServiceConfig>>(ServiceTextSettings), service);
    if (const Value *idempotent = reader.takeField("repeatable")) {
        service.idempotent = idempotent->scalar == "true";
        if (idempotent->scalar != "true" && idempotent->scalar != "false") {
            reader.report(*idempotent, "repeatable", "must be true or false");
        }
    }
    if (!service.prefix.empty() && (service.prefix.front() != '/' || service.prefix.rfind("/v1/", 0) == 0 || service.prefix.size() < 2)) {
        reader.report(value, "prefix", "must start with '/', have at least one more character, and not start with /v1/");
    }
}

void readTeam(FieldReader &reader, const Value &value, TeamConfig &team)
{
    reader.read(std::span<const IntSetting<TeamConfig>>(TeamIntSettings), team);
    reader.read(std::span<const TextSetting<TeamConfig>>(TeamTextSettings), team);
    if (!team.keySha256.empty() && !isSha256Hex(team.keySha256)) {
        reader.report(value, "key_sha256", "must be 64 lower-case hexadecimal digits");
    }
    if (const Value *callClass = reader.takeField("class")) {
        const auto parsed = base::valueIn(CallClassNames, callClass->scalar);
        if (parsed) {
            team.callClass = *parsed;
        } else {
            reader.report(*callClass, "class", "must be interactive or batch");
        }
    }
}

/// Reports services that share a path prefix and teams that share an API key.
void checkUniqueValues(const RoutingConfig &config, const Value &root, std::vector<Problem> &problems)
{
    const auto locationOf = [&](const char *section, const std::string &name) -> const Value & {
        const Value *found = root.find(section);
        const Value *entry = found != nullptr ? found->find(name) : nullptr;
        return entry != nullptr ? *entry : root;
    };
    std::map<std::string, std::string> owners;
    for (const auto &[name, service] : config.services) {
        const auto [first, isNew] = owners.emplace(service.prefix, name);
        if (!isNew) {
            const Value &where = locationOf("services", name);
            problems.push_back({where.file, where.line, "services." + name + ".prefix", "is also the prefix of services." + first->second});
        }
    }
    owners.clear();
    for (const auto &[name, team] : config.teams) {
        const auto [first, isNew] = owners.emplace(team.keySha256, name);
        if (!isNew) {
            const Value &where = locationOf("teams", name);
            problems.push_back({where.file, where.line, "teams." + name + ".key_sha256", "is also the key of teams." + first->second});
        }
    }
}

/// Appends the descriptions of the settings in a table; the defaults are those of a default-constructed T.
template<typename T, typename Fields>
void describeInts(const char *section, const Fields &fields, std::vector<SettingDescription> &out)
{
    const T defaults{};
    for (const auto &field : fields) {
        out.push_back({section,
                       std::string(field.name),
                       std::to_string(defaults.*field.member),
                       std::string(field.unit),
                       std::to_string(field.min) + ".." + std::to_string(field.max),
                       std::string(field.text)});
    }
}

template<typename T, typename Fields>
void describeTexts(const char *section, const Fields &fields, std::vector<SettingDescription> &out)
{
    const T defaults{};
    for (const auto &field : fields) {
        const std::string value = field.required ? "(required)" : defaults.*field.member;
        out.push_back({section, std::string(field.name), value, "text", "", std::string(field.text)});
    }
}

} // namespace

std::string toString(const Problem &problem)
{
    std::string text = problem.file + ":" + std::to_string(problem.line) + ": ";
    if (!problem.field.empty()) {
        text += problem.field + ": ";
    }
    return text + problem.text;
}

Parsed<RoutingConfig> parseRoutingConfig(std::vector<SettingsFile> files)
{
    std::sort(files.begin(), files.end(), [](const SettingsFile &a, const SettingsFile &b) { return a.name < b.name; });
    std::vector<Problem> problems;
    Value root;
    root.kind = Value::Kind::Map;
    root.file = files.empty() ? "(no files)" : files.front().name;
    for (const SettingsFile &file : files) {
        const Value document = parseDocument(file, problems);
        if (document.kind == Value::Kind::Map) {
            overrideWith(root, document);
        } else if (document.kind != Value::Kind::Null) {
            problems.push_back({file.name, 1, "", "must be a map of the sections models, services, teams and limits"});
        }
    }
    RoutingConfig config;
    FieldReader top(root, "", problems);
    readSection(top, "models", config.models, problems, readModel);
    readSection(top, "services", config.services, problems, readService);
    readSection(top, "teams", config.teams, problems, readTeam);
    if (const Value *limits = top.takeField("limits")) {
        FieldReader reader(*limits, "limits", problems);
        reader.read(std::span<const IntSetting<Limits>>(LimitSettings), config.limits);
        reader.reportUnknownFields();
    }
    top.reportUnknownFields();
    checkUniqueValues(config, root, problems);
    if (!problems.empty()) {
        return problems;
    }
    return config;
}

Parsed<DaemonSettings> parseDaemonSettings(const SettingsFile &file)
{
    std::vector<Problem> problems;
    const Value root = parseDocument(file, problems);
    DaemonSettings daemon;
    FieldReader reader(root, "", problems);
    reader.read(std::span<const TextSetting<DaemonSettings>>(DaemonTextSettings), daemon);
    reader.read(std::span<const IntSetting<DaemonSettings>>(DaemonIntSettings), daemon);
    if (const Value *seeds = reader.takeField("seeds")) {
        for (const Value &seed : seeds->items) {
            daemon.seeds.push_back(seed.scalar);
        }
    }
    if (daemon.meshPublicKey.empty() != daemon.meshSecretKey.empty()) {
        reader.report(root, "mesh_public_key", "must be given together with mesh_secret_key");
    }
    if (!daemon.operatorKeySha256.empty() && !isSha256Hex(daemon.operatorKeySha256)) {
        reader.report(root, "operator_key_sha256", "must be 64 lower-case hexadecimal digits");
    }
    reader.reportUnknownFields();
    if (!problems.empty()) {
        return problems;
    }
    return daemon;
}

std::vector<SettingDescription> describeSettings()
{
    std::vector<SettingDescription> out;
    describeTexts<DaemonSettings>("daemon", DaemonTextSettings, out);
    out.push_back({"daemon", "seeds", "[]", "list", "", "mesh addresses to try while the instance list can't be read"});
    describeInts<DaemonSettings>("daemon", DaemonIntSettings, out);
    describeInts<ModelConfig>("models.NAME", ModelIntSettings, out);
    describeTexts<ModelConfig>("models.NAME", ModelTextSettings, out);
    describeTexts<ServiceConfig>("services.NAME", ServiceTextSettings, out);
    out.push_back({"services.NAME",
                   "repeatable",
                   "true",
                   "",
                   "true, false",
                   "false: calls that may change something (not GET, HEAD or OPTIONS) run at most once and need an Idempotency-Key"});
    describeInts<ServiceConfig>("services.NAME", ServiceIntSettings, out);
    describeTexts<TeamConfig>("teams.NAME", TeamTextSettings, out);
    out.push_back(
        {"teams.NAME", "class", "interactive", "", "interactive, batch", "how urgently the team's calls are scheduled, unless a call requests another class"});
    describeInts<TeamConfig>("teams.NAME", TeamIntSettings, out);
    describeInts<Limits>("limits", LimitSettings, out);
    return out;
}

} // namespace settings
