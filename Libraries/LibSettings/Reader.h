/// @file Validated reading of YAML documents: all mistakes are reported in one pass, with file, line, field and expected value.
#pragma once

#include "LibCore/Address.h"
#include "LibCore/Clock.h"
#include "LibCore/Error.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace Settings {

/// One mistake in a document.
struct Problem
{
    std::string m_file;
    int m_line = 0; ///< Counted from 1; 0 if the problem concerns the document as a whole.
    std::string m_field; ///< Dotted path, for example "accounts[2].replicas".
    std::string m_expected;

    auto operator<=>(const Problem &) const = default;

    /// "file:line: field: expected".
    std::string message() const;
};

using Problems = std::vector<Problem>;

/// Limits on a document, so that a malicious or broken one cannot exhaust the process.
struct DocumentLimits
{
    std::size_t m_maximumBytes = 1 << 20;
    int m_maximumDepth = 16;
    std::uint64_t m_maximumNodes = 1 << 19; ///< Counted with aliases expanded. Only a document with aliases can exceed it.
};

/**
 * Reads one mapping of a document.
 *
 * Each accessor records a problem and returns a default value if the field is wrong, so that one pass finds every
 * mistake. The caller must not use the values unless the list of problems stays empty. Fields without a fallback
 * are required. finish() reports the fields that were not requested.
 */
class Reader
{
public:
    Reader(YAML::Node node, std::string file, std::string path, Problems &problems);

    std::string text(const std::string &field);
    std::string text(const std::string &field, const std::string &fallback);
    /// Reads one of the given words.
    std::string choice(const std::string &field, const std::vector<std::string> &words, const std::string &fallback);
    std::int64_t integer(const std::string &field, std::int64_t minimum, std::int64_t maximum);
    std::int64_t integer(const std::string &field, std::int64_t minimum, std::int64_t maximum, std::int64_t fallback);
    double number(const std::string &field, double minimum, double maximum, double fallback);
    bool flag(const std::string &field, bool fallback);
    Core::Address address(const std::string &field);
    std::vector<Core::Address> addresses(const std::string &field);
    /// Returns an empty list if the field is absent, and reports a list of fewer than @p minimumItems texts.
    std::vector<std::string> texts(const std::string &field, std::size_t minimumItems = 0);
    /// Reads a whole number of milliseconds within the bounds.
    Core::Duration milliseconds(const std::string &field, std::int64_t minimum, std::int64_t maximum, std::int64_t fallback);

    bool has(const std::string &field) const;
    /// Returns the names of all fields, for mappings whose keys are names.
    std::vector<std::string> fields() const;
    /// Reads a nested mapping; an absent one is read as empty so that its defaults apply.
    void section(const std::string &field, const std::function<void(Reader &)> &read);
    /// Reads each mapping of a list.
    void list(const std::string &field, std::size_t maximumItems, const std::function<void(Reader &)> &read);

    /// Records a problem with a field of this mapping.
    void addProblem(const std::string &field, const std::string &expected);
    /// Reports unknown fields.
    void finish();

private:
    YAML::Node find(const std::string &field, bool required, const std::string &expected);
    void addProblemAt(const YAML::Node &node, const std::string &field, const std::string &expected);

    YAML::Node m_node;
    std::string m_file;
    std::string m_path;
    Problems &m_problems;
    std::set<std::string> m_requestedFields; ///< Every field that was requested.
};

/// Parses @p content and passes its top-level mapping to @p read. Returns every problem found, in order of line.
Problems readDocument(const std::string &content, const std::string &file, const std::function<void(Reader &)> &read, DocumentLimits limits = {});

/// As readDocument, for a file; a file that cannot be read is a problem too.
Problems readFile(const std::string &path, const std::function<void(Reader &)> &read, DocumentLimits limits = {});

}
