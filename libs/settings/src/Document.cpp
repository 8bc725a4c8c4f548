#include "details/Document.h"

#include <yaml-cpp/yaml.h>

namespace settings {

namespace {

constexpr int MaxNestingDepth = 16;
constexpr std::size_t MaxFileBytes = 1024 * 1024;

/// Converts YAML nodes of one file to values, and reports duplicate keys and nesting that is too deep.
class YamlReader
{
public:
    YamlReader(std::string file, std::vector<Problem> &problems)
        : file_(std::move(file))
        , problems_(problems)
    {
    }

    /// Converts a node and all nodes below it. `path` is its dotted path, for the problems; `depth` is the number of nodes above it.
    Value read(const YAML::Node &node, const std::string &path, int depth)
    {
        Value value;
        value.file = file_;
        value.line = node.Mark().line + 1;
        if (depth > MaxNestingDepth) {
            problems_.push_back({file_, value.line, path, "is nested too deeply"});
            return value;
        }
        if (node.IsScalar()) {
            value.kind = Value::Kind::Scalar;
            value.scalar = node.Scalar();
        } else if (node.IsSequence()) {
            value.kind = Value::Kind::List;
            for (const auto &item : node) {
                value.items.push_back(read(item, path, depth + 1));
            }
        } else if (node.IsMap()) {
            value.kind = Value::Kind::Map;
            readFields(node, path, depth, value);
        }
        return value;
    }

private:
    void readFields(const YAML::Node &node, const std::string &path, int depth, Value &value)
    {
        for (const auto &entry : node) {
            const int line = entry.first.Mark().line + 1;
            if (!entry.first.IsScalar()) {
                problems_.push_back({file_, line, path, "has a key that is not a plain YAML scalar"});
                continue;
            }
            const std::string name = entry.first.Scalar();
            std::string fieldPath = path;
            fieldPath.append(path.empty() ? "" : ".").append(name);
            if (value.find(name) != nullptr) {
                problems_.push_back({file_, line, fieldPath, "is given twice in one file"});
                continue;
            }
            Value field = read(entry.second, fieldPath, depth + 1);
            field.line = line;
            value.fields.push_back({name, std::move(field)});
        }
    }

    std::string file_;
    std::vector<Problem> &problems_;
};

} // namespace

const Value *Value::find(const std::string &name) const
{
    for (const auto &[fieldName, value] : fields) {
        if (fieldName == name) {
            return &value;
        }
    }
    return nullptr;
}

Value parseDocument(const SettingsFile &file, std::vector<Problem> &problems)
{
    // Aliases ('*') of anchors ('&') could expand a small file to a huge tree, and no setting needs them.
    if (file.text.size() > MaxFileBytes || file.text.find_first_of("&*") != std::string::npos) {
        problems.push_back({file.name, 0, "", "is larger than 1 MiB or contains '&' or '*' (YAML anchors and aliases are not supported)"});
        return {};
    }
    try {
        return YamlReader(file.name, problems).read(YAML::Load(file.text), "", 0);
    } catch (const YAML::Exception &error) {
        problems.push_back({file.name, error.mark.line + 1, "", error.msg});
        return {};
    }
}

void overrideWith(Value &base, const Value &later)
{
    if (base.kind != Value::Kind::Map || later.kind != Value::Kind::Map) {
        if (later.kind != Value::Kind::Null) {
            base = later;
        }
        return;
    }
    for (const auto &[name, value] : later.fields) {
        bool merged = false;
        for (auto &[baseName, baseValue] : base.fields) {
            if (baseName == name) {
                overrideWith(baseValue, value);
                merged = true;
            }
        }
        if (!merged) {
            base.fields.push_back({name, value});
        }
    }
}

} // namespace settings
