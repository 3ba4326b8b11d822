/// @file Model checker that tries every order of steps up to a depth and checks an invariant after each step.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace Support {

/// Result of an exploration.
struct Exploration
{
    std::size_t m_states = 0; ///< Distinct states visited.
    std::size_t m_steps = 0; ///< Steps applied, including those that led to a state visited before.
    std::string m_violation; ///< Description of the violated invariant; empty if it held in every state.
    std::vector<std::string> m_trace; ///< Steps that lead from the initial state to the violation.
};

/// One kind of step of a model. A step that is not possible in a state returns false and leaves the state unchanged.
template <typename State>
struct Step
{
    std::string m_name;
    std::function<bool(State &)> m_apply;
};

/**
 * A model: its steps, an invariant that returns a description of the violation (or an empty text), and a key that is equal for equal states.
 *
 * A state that was visited before is not explored again, so the cost depends on the number of states and not on the number of orders of steps.
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

    /// Explores breadth first, so that the trace of a violation has the fewest steps possible.
    Exploration explore(const State &initial, int depth)
    {
        Exploration found;
        std::vector<Visited> level = {Visited{initial, {}}};
        std::unordered_set<std::string> seen = {m_model.m_key(initial)};
        found.m_states = 1;
        for (int round = 0; round < depth && !level.empty(); ++round) {
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
            if (!step.m_apply(state)) {
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
