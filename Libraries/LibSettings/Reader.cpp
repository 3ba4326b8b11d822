/// @file Implementation of the validating YAML reader.

#include "LibSettings/Reader.h"

#include "LibSettings/ExpandedSize.h"

#include <fstream>
#include <sstream>

namespace Settings {

namespace {

bool isDeeperThan(const YAML::Node &node, int depth)
{
    if (!node.IsMap() && !node.IsSequence()) {
        return false;
    }
    if (depth == 0) {
        return true;
    }
    for (YAML::const_iterator it = node.begin(); it != node.end(); ++it) {
        const YAML::Node child = node.IsMap() ? it->second : YAML::Node(*it);
        if (isDeeperThan(child, depth - 1)) {
            return true;
        }
    }
    return false;
}

/// Counts brackets before parsing, because the parser recurses for each level before the tree can be inspected.
bool nestsTooDeep(const std::string &content, int maximumDepth)
{
    int depth = 0;
    for (const char character : content) {
        if (character == '[' || character == '{') {
            ++depth;
        }
        if (character == ']' || character == '}') {
            --depth;
        }
        if (depth > maximumDepth) {
            return true;
        }
    }
    return false;
}

}

std::string Problem::message() const
{
    return m_file + ":" + std::to_string(m_line) + ": " + m_field + ": " + m_expected;
}

Reader::Reader(YAML::Node node, std::string file, std::string path, Problems &problems)
    : m_node(std::move(node))
    , m_file(std::move(file))
    , m_path(std::move(path))
    , m_problems(problems)
{
    if (!m_node.IsMap()) {
        return;
    }
    std::set<std::string> seen;
    for (YAML::const_iterator it = m_node.begin(); it != m_node.end(); ++it) {
        const std::string name = it->first.IsScalar() ? it->first.Scalar() : std::string();
        if (!seen.insert(name).second) {
            addProblemAt(it->first, name, "the field is given twice");
        }
    }
}

void Reader::addProblemAt(const YAML::Node &node, const std::string &field, const std::string &expected)
{
    const YAML::Mark mark = node.IsDefined() ? node.Mark() : m_node.Mark();
    const std::string path = m_path.empty() ? field : m_path + "." + field;
    m_problems.push_back(Problem{m_file, mark.line + 1, path, expected});
}

void Reader::addProblem(const std::string &field, const std::string &expected)
{
    const YAML::Node node = m_node.IsMap() ? m_node[field] : m_node;
    addProblemAt(node.IsDefined() ? node : m_node, field, expected);
}

YAML::Node Reader::find(const std::string &field, bool required, const std::string &expected)
{
    m_requestedFields.insert(field);
    const YAML::Node node = m_node.IsMap() ? m_node[field] : YAML::Node(YAML::NodeType::Undefined);
    if (required && !node.IsDefined()) {
        addProblemAt(m_node, field, "missing; expected " + expected);
    }
    return node;
}

std::vector<std::string> Reader::fields() const
{
    std::vector<std::string> names;
    if (!m_node.IsMap()) {
        return names;
    }
    for (YAML::const_iterator it = m_node.begin(); it != m_node.end(); ++it) {
        names.push_back(it->first.IsScalar() ? it->first.Scalar() : std::string());
    }
    return names;
}

bool Reader::has(const std::string &field) const
{
    return m_node.IsMap() && m_node[field].IsDefined();
}

std::string Reader::text(const std::string &field)
{
    const YAML::Node node = find(field, true, "a text");
    if (!node.IsDefined()) {
        return {};
    }
    if (!node.IsScalar() || node.Scalar().empty()) {
        addProblemAt(node, field, "expected a text that is not empty");
        return {};
    }
    return node.Scalar();
}

std::string Reader::text(const std::string &field, const std::string &fallback)
{
    return has(field) ? text(field) : (m_requestedFields.insert(field), fallback);
}

std::string Reader::choice(const std::string &field, const std::vector<std::string> &words, const std::string &fallback)
{
    const std::string word = text(field, fallback);
    if (std::find(words.begin(), words.end(), word) != words.end()) {
        return word;
    }
    std::string expected = "expected one of:";
    for (const std::string &known : words) {
        expected += " " + known;
    }
    addProblem(field, expected);
    return fallback;
}

std::int64_t Reader::integer(const std::string &field, std::int64_t minimum, std::int64_t maximum)
{
    const std::string expected = "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum);
    const YAML::Node node = find(field, true, expected);
    if (!node.IsDefined()) {
        return minimum;
    }
    std::int64_t value = 0;
    if (!node.IsScalar() || !YAML::convert<std::int64_t>::decode(node, value) || value < minimum || value > maximum) {
        addProblemAt(node, field, "expected " + expected);
        return minimum;
    }
    return value;
}

std::int64_t Reader::integer(const std::string &field, std::int64_t minimum, std::int64_t maximum, std::int64_t fallback)
{
    return has(field) ? integer(field, minimum, maximum) : (m_requestedFields.insert(field), fallback);
}

double Reader::number(const std::string &field, double minimum, double maximum, double fallback)
{
    const YAML::Node node = find(field, false, "a number");
    if (!node.IsDefined()) {
        return fallback;
    }
    double value = 0;
    if (!node.IsScalar() || !YAML::convert<double>::decode(node, value) || !(value >= minimum && value <= maximum)) {
        addProblemAt(node, field, "expected a number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return fallback;
    }
    return value;
}

bool Reader::flag(const std::string &field, bool fallback)
{
    const YAML::Node node = find(field, false, "true or false");
    if (!node.IsDefined()) {
        return fallback;
    }
    bool value = false;
    if (!node.IsScalar() || !YAML::convert<bool>::decode(node, value)) {
        addProblemAt(node, field, "expected true or false");
        return fallback;
    }
    return value;
}

Core::Address Reader::address(const std::string &field)
{
    const std::string value = text(field);
    if (value.empty()) {
        return {};
    }
    const Core::Result<Core::Address> parsed = Core::parseAddress(value);
    if (!parsed) {
        addProblem(field, "expected IP-number:port; " + parsed.error().m_detail);
        return {};
    }
    return parsed.value();
}

std::vector<Core::Address> Reader::addresses(const std::string &field)
{
    std::vector<Core::Address> result;
    for (const std::string &value : texts(field)) {
        const Core::Result<Core::Address> parsed = Core::parseAddress(value);
        if (!parsed) {
            addProblem(field, "expected a list of IP-number:port; " + value + ": " + parsed.error().m_detail);
            continue;
        }
        if (std::find(result.begin(), result.end(), parsed.value()) != result.end()) {
            addProblem(field, "the address " + value + " is given twice");
        }
        result.push_back(parsed.value());
    }
    return result;
}

std::vector<std::string> Reader::texts(const std::string &field, std::size_t minimumItems)
{
    const YAML::Node node = find(field, false, "a list of texts");
    std::vector<std::string> result;
    if (!node.IsDefined()) {
        return result;
    }
    if (!node.IsSequence()) {
        addProblemAt(node, field, "expected a list of texts");
        return result;
    }
    for (YAML::const_iterator it = node.begin(); it != node.end(); ++it) {
        if (!it->IsScalar() || it->Scalar().empty()) {
            addProblemAt(*it, field, "expected a list of texts that are not empty");
            continue;
        }
        result.push_back(it->Scalar());
    }
    if (node.size() < minimumItems) {
        addProblemAt(node, field, "expected a list of at least " + std::to_string(minimumItems) + " texts");
    }
    return result;
}

Core::Duration Reader::milliseconds(const std::string &field, std::int64_t minimum, std::int64_t maximum, std::int64_t fallback)
{
    return Core::Duration(integer(field, minimum, maximum, fallback));
}

void Reader::section(const std::string &field, const std::function<void(Reader &)> &read)
{
    const YAML::Node node = find(field, false, "a mapping");
    if (node.IsDefined() && !node.IsMap()) {
        addProblemAt(node, field, "expected a mapping");
        return;
    }
    Reader nested(node.IsDefined() ? node : YAML::Node(YAML::NodeType::Map), m_file, m_path.empty() ? field : m_path + "." + field, m_problems);
    read(nested);
    nested.finish();
}

void Reader::list(const std::string &field, std::size_t maximumItems, const std::function<void(Reader &)> &read)
{
    const YAML::Node node = find(field, false, "a list");
    if (!node.IsDefined()) {
        return;
    }
    if (!node.IsSequence() || node.size() > maximumItems) {
        addProblemAt(node, field, "expected a list of at most " + std::to_string(maximumItems) + " mappings");
        return;
    }
    for (std::size_t index = 0; index < node.size(); ++index) {
        const std::string item = field + "[" + std::to_string(index) + "]";
        if (!node[index].IsMap()) {
            addProblemAt(node[index], item, "expected a mapping");
            continue;
        }
        Reader nested(node[index], m_file, m_path.empty() ? item : m_path + "." + item, m_problems);
        read(nested);
        nested.finish();
    }
}

void Reader::finish()
{
    if (!m_node.IsMap()) {
        return;
    }
    for (YAML::const_iterator it = m_node.begin(); it != m_node.end(); ++it) {
        const std::string name = it->first.IsScalar() ? it->first.Scalar() : std::string("?");
        if (!m_requestedFields.contains(name)) {
            addProblemAt(it->first, name, "unknown field");
        }
    }
}

Problems readDocument(const std::string &content, const std::string &file, const std::function<void(Reader &)> &read, DocumentLimits limits)
{
    Problems problems;
    if (content.size() > limits.m_maximumBytes) {
        problems.push_back(Problem{file, 0, "document", "expected at most " + std::to_string(limits.m_maximumBytes) + " bytes"});
        return problems;
    }
    if (nestsTooDeep(content, limits.m_maximumDepth)) {
        problems.push_back(Problem{file, 0, "document", "expected at most " + std::to_string(limits.m_maximumDepth) + " levels"});
        return problems;
    }
    try {
        if (expandedSize(content) > limits.m_maximumNodes) {
            problems.push_back(Problem{file, 0, "document", "expected at most " + std::to_string(limits.m_maximumNodes) + " values, aliases written out"});
            return problems;
        }
        const YAML::Node root = YAML::Load(content);
        if (!root.IsMap()) {
            problems.push_back(Problem{file, 1, "document", "expected a mapping"});
            return problems;
        }
        if (isDeeperThan(root, limits.m_maximumDepth)) {
            problems.push_back(Problem{file, 0, "document", "expected at most " + std::to_string(limits.m_maximumDepth) + " levels"});
            return problems;
        }
        Reader reader(root, file, "", problems);
        read(reader);
        reader.finish();
    } catch (const YAML::Exception &exception) {
        problems.push_back(Problem{file, exception.mark.line + 1, "document", "not YAML: " + exception.msg});
    }
    std::stable_sort(problems.begin(), problems.end(), [](const Problem &left, const Problem &right) { return left.m_line < right.m_line; });
    return problems;
}

Problems readFile(const std::string &path, const std::function<void(Reader &)> &read, DocumentLimits limits)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        return {Problem{path, 0, "document", "the file cannot be read"}};
    }
    std::string content(limits.m_maximumBytes + 1, '\0'); // One byte more shows that a file is too long.
    stream.read(content.data(), static_cast<std::streamsize>(content.size()));
    content.resize(static_cast<std::size_t>(stream.gcount()));
    return readDocument(content, path, read, limits);
}

}
