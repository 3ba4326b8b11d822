/// @file A small model checker: tries every order of steps up to a depth and checks an invariant after each.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace Support {

/// What an exploration found.
struct Exploration
{
    std::size_t m_states = 0; ///< Different states that were visited.
    std::size_t m_steps = 0; ///< Steps that were tried.
    std::string m_violation; ///< What was wrong; empty if the invariants held everywhere.
    std::vector<std::string> m_trace; ///< Steps that lead from the initial state to the violation.
};

/// One step that a model can take: its name and what it does. A step that is not possible returns false and leaves the state as it is.
template <typename State>
struct Step
{
    std::string m_name;
    std::function<bool(State &)> m_apply;
};

/**
 * A model: steps, an invariant that tells what is wrong (or nothing), and a key by which equal states are told.
 *
 * States that were visited with at least as many steps left are not explored again, so the number of states, and not of orders, counts.
 */
template <typename State>
struct Model
{
    std::vector<Step<State>> m_steps;
    std::function<std::string(const State &)> m_violation;
    std::function<std::string(const State &)> m_key;
};

template <typename State>
class Explorer
{
public:
    explicit Explorer(Model<State> model)
        : m_model(std::move(model))
    {
    }

    /// Breadth first, so that the trace of a violation is a shortest one.
    Exploration explore(const State &initial, int depth)
    {
        Exploration found;
        std::vector<Visited> level = {Visited{initial, {}}};
        std::unordered_set<std::string> seen = {m_model.m_key(initial)};
        found.m_states = 1;
        for (int turn = 0; turn < depth && !level.empty(); ++turn) {
            std::vector<Visited> next;
            for (const Visited &visited : level) {
                if (!expand(visited, seen, next, found)) {
                    return found;
                }
            }
            level = std::move(next);
        }
        return found;
    }

private:
    struct Visited
    {
        State m_state;
        std::vector<std::string> m_trace;
    };

    bool expand(const Visited &visited, std::unordered_set<std::string> &seen, std::vector<Visited> &next, Exploration &found) const
    {
        for (const Step<State> &step : m_model.m_steps) {
            State state = visited.m_state;
            if (!step.m_take(state)) {
                continue;
            }
            ++found.m_steps;
            std::vector<std::string> trace = visited.m_trace;
            trace.push_back(step.m_name);
            const std::string violation = m_model.m_violation(state);
            if (!violation.empty()) {
                found.m_violation = violation;
                found.m_trace = std::move(trace);
                return false;
            }
            if (seen.insert(m_model.m_key(state)).second) {
                ++found.m_states;
                next.push_back(Visited{std::move(state), std::move(trace)});
            }
        }
        return true;
    }

    Model<State> m_model;
};

}
