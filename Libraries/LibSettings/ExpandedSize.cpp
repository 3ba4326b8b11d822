/// @file Implementation of the node count.

#include "LibSettings/ExpandedSize.h"

#include <algorithm>
#include <map>
#include <sstream>
#include <vector>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

namespace Settings {

namespace {

/// Counts saturate at this value, which is far above any limit and cannot overflow in a sum.
constexpr std::uint64_t SaturatedNodeCount = std::uint64_t{1} << 40;

/// Counts the nodes of each open list and mapping. When one ends, its count is added to the enclosing one.
class NodeCounter : public YAML::EventHandler
{
public:
    std::uint64_t total() const
    {
        return m_openNodes.front().m_nodes;
    }

    void OnDocumentStart(const YAML::Mark &) override
    {
    }
    void OnDocumentEnd() override
    {
    }
    void OnNull(const YAML::Mark &, YAML::anchor_t anchor) override
    {
        count(anchor, 1);
    }
    void OnAlias(const YAML::Mark &, YAML::anchor_t anchor) override
    {
        count(0, m_anchors[anchor]);
    }
    void OnScalar(const YAML::Mark &, const std::string &, YAML::anchor_t anchor, const std::string &) override
    {
        count(anchor, 1);
    }
    void OnSequenceStart(const YAML::Mark &, const std::string &, YAML::anchor_t anchor, YAML::EmitterStyle::value) override
    {
        m_openNodes.push_back(OpenNode{anchor, 1});
    }
    void OnSequenceEnd() override
    {
        closeInnermost();
    }
    void OnMapStart(const YAML::Mark &, const std::string &, YAML::anchor_t anchor, YAML::EmitterStyle::value) override
    {
        m_openNodes.push_back(OpenNode{anchor, 1});
    }
    void OnMapEnd() override
    {
        closeInnermost();
    }

private:
    /// A list or mapping that has not ended, or the document.
    struct OpenNode
    {
        YAML::anchor_t m_anchor = 0; ///< 0 for none.
        std::uint64_t m_nodes = 0; ///< At most SaturatedNodeCount.
    };

    void count(YAML::anchor_t anchor, std::uint64_t nodes)
    {
        m_openNodes.back().m_nodes = std::min(SaturatedNodeCount, m_openNodes.back().m_nodes + nodes);
        if (anchor != 0) {
            m_anchors[anchor] = nodes;
        }
    }

    void closeInnermost()
    {
        const OpenNode ended = m_openNodes.back();
        m_openNodes.pop_back();
        count(ended.m_anchor, ended.m_nodes);
    }

    std::vector<OpenNode> m_openNodes{OpenNode{}}; ///< The document first; never empty.
    std::map<YAML::anchor_t, std::uint64_t> m_anchors; ///< Nodes that each anchor stands for.
};

}

std::uint64_t expandedSize(const std::string &content)
{
    std::istringstream stream(content);
    YAML::Parser parser(stream);
    NodeCounter counter;
    parser.HandleNextDocument(counter);
    return counter.total();
}

}
