/// @file Implementation of the fold.

#include "LibControl/ApplyRecord.h"
#include "LibCore/Digest.h"

#include <set>

namespace Control {

namespace {

constexpr std::size_t MaximumAccounts = 4096;
constexpr std::size_t MaximumNameBytes = 128;
constexpr std::size_t MaximumDetailBytes = 256;
constexpr std::uint32_t MaximumReplicas = 65536;

bool isName(const std::string &name)
{
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    return !name.empty() && name.size() <= MaximumNameBytes && name.find_first_not_of(allowed) == std::string::npos;
}

std::string accountProblem(const AccountParameters &parameters, ServiceKind kind)
{
    if (!isName(parameters.m_account)) {
        return "an account's name is missing or has other characters than letters, digits, - _ .";
    }
    if (kind == ServiceKind::Plain) {
        return parameters.m_model.empty() && parameters.m_digest.empty() ? "" : "account " + parameters.m_account + " names a model for a plain service";
    }
    if (!isName(parameters.m_model) || !isName(parameters.m_version)) {
        return "account " + parameters.m_account + " lacks a model or version";
    }
    if (!Core::isSha256Hex(parameters.m_digest)) {
        return "account " + parameters.m_account + " has no manifest digest";
    }
    if (parameters.m_replicas == 0 || parameters.m_replicas > MaximumReplicas) {
        return "account " + parameters.m_account + " wants too few or too many replicas";
    }
    return "";
}

/// Sets an outcome to refused.
void refuse(RecordOutcome &outcome, const std::string &detail)
{
    outcome.m_accepted = false;
    outcome.m_detail = detail.substr(0, MaximumDetailBytes);
}

/// Refuses a change that was based on another revision than the current one, and names the revision that came first.
bool refuseIfStale(RecordOutcome &outcome, const ControlState &state, const std::string &name, Offset basedOn)
{
    const Offset current = templateRevision(state, name);
    if (basedOn == current) {
        return false;
    }
    const std::map<std::string, AcceptedTemplate>::const_iterator accepted = state.m_templates.find(name);
    const std::map<std::string, Removal>::const_iterator removed = state.m_removals.find(name);
    outcome.m_winner = current;
    if (accepted != state.m_templates.end()) {
        outcome.m_winnerAuthor = accepted->second.m_operator;
    } else if (removed != state.m_removals.end()) {
        outcome.m_winnerAuthor = removed->second.m_operator;
    }
    refuse(outcome, "based on revision " + std::to_string(basedOn) + ", but revision " + std::to_string(current) + " is in force");
    return true;
}

void forgetOldestRemoval(ControlState &state)
{
    if (state.m_removals.size() < MaximumRemovals) {
        return;
    }
    const std::map<std::string, Removal>::iterator oldest =
        std::min_element(state.m_removals.begin(),
                         state.m_removals.end(),
                         [](const std::pair<const std::string, Removal> &left, const std::pair<const std::string, Removal> &right) {
                             return left.second.m_revision < right.second.m_revision;
                         });
    state.m_removals.erase(oldest);
}

/// What the accounts of @p next ran before it, given what is in force still.
std::vector<EarlierVersion> earlierVersions(const ControlState &state, const Template &next)
{
    std::vector<EarlierVersion> result;
    const std::map<std::string, AcceptedTemplate>::const_iterator before = state.m_templates.find(next.m_name);
    if (before == state.m_templates.end()) {
        return result;
    }
    for (const AccountParameters &account : next.m_accounts) {
        std::vector<EarlierVersion> candidates;
        for (const AccountParameters &old : before->second.m_template.m_accounts) {
            candidates.push_back(EarlierVersion{old.m_account, old.m_version, old.m_digest});
        }
        candidates.insert(candidates.end(), before->second.m_earlier.begin(), before->second.m_earlier.end());
        std::size_t kept = 0;
        for (const EarlierVersion &candidate : candidates) {
            const bool isOther = candidate.m_account == account.m_account && candidate.m_digest != account.m_digest && !candidate.m_digest.empty();
            if (isOther && kept < MaximumEarlierVersions) {
                result.push_back(candidate);
                ++kept;
            }
        }
    }
    return result;
}

void apply(ControlState &state, const PublishTemplate &change, const std::string &author, RecordOutcome &outcome)
{
    const std::string problem = templateProblem(change.m_template);
    if (!problem.empty()) {
        refuse(outcome, problem);
        return;
    }
    const std::string &name = change.m_template.m_name;
    if (refuseIfStale(outcome, state, name, change.m_basedOn)) {
        return;
    }
    if (!state.m_templates.contains(name) && state.m_templates.size() >= MaximumTemplates) {
        refuse(outcome, "there are too many templates");
        return;
    }
    state.m_removals.erase(name);
    std::vector<EarlierVersion> earlier = earlierVersions(state, change.m_template);
    state.m_templates[name] = AcceptedTemplate{change.m_template, outcome.m_offset, author, std::move(earlier)};
}

void apply(ControlState &state, const RemoveTemplate &change, const std::string &author, RecordOutcome &outcome)
{
    if (!state.m_templates.contains(change.m_name)) {
        refuse(outcome, "there is no template " + change.m_name);
        return;
    }
    if (refuseIfStale(outcome, state, change.m_name, change.m_basedOn)) {
        return;
    }
    forgetOldestRemoval(state);
    state.m_templates.erase(change.m_name);
    state.m_removals[change.m_name] = Removal{outcome.m_offset, author};
}

void apply(ControlState &state, const PublishPlan &change, const std::string &, RecordOutcome &outcome)
{
    const std::map<std::string, Plan>::const_iterator current = state.m_plans.find(change.m_plan.m_service);
    const Offset currentOffset = current == state.m_plans.end() ? 0 : current->second.m_offset;
    if (change.m_basedOnPlan != currentOffset) {
        outcome.m_winner = currentOffset;
        refuse(outcome, "another plan came first");
        return;
    }
    if (!isName(change.m_plan.m_service)) {
        refuse(outcome, "the plan names no service");
        return;
    }
    Plan plan = change.m_plan;
    plan.m_offset = outcome.m_offset;
    state.m_plans[plan.m_service] = std::move(plan);
}

/// For readers that have folded every record before it, a checkpoint says nothing new; it never replaces their state.
void apply(ControlState &state, const Checkpoint &change, const std::string &, RecordOutcome &outcome)
{
    if (change.m_position > state.m_position || Core::sha256Hex(change.m_state) != change.m_digest) {
        refuse(outcome, "the checkpoint belongs to another history");
        return;
    }
    state.m_checkpoint = std::max(state.m_checkpoint, change.m_position);
}

void apply(ControlState &state, const Restore &change, const std::string &, RecordOutcome &outcome)
{
    if (change.m_position != state.m_position) {
        refuse(outcome, "other records came first");
        return;
    }
    if (Core::sha256Hex(change.m_state) != change.m_digest) {
        refuse(outcome, "the restored state does not match its digest");
        return;
    }
    Core::Result<ControlState> restored = decodeState(change.m_state, "");
    if (!restored) {
        refuse(outcome, restored.error().m_detail);
        return;
    }
    // Whatever the reader had before, it has exactly this state now, so that all readers agree. One whose state is not
    // covered by it sees that, keeps its own, and puts the difference back.
    state = std::move(restored.value());
    state.m_checkpoint = change.m_position + 1;
    outcome.m_offset = state.m_applied;
}

void remember(ControlState &state, const RecordOutcome &outcome)
{
    if (state.m_outcomes.size() >= MaximumOutcomes) {
        state.m_outcomes.pop_front();
    }
    state.m_outcomes.push_back(outcome);
}

bool isBookkeeping(const Record &record)
{
    return std::holds_alternative<Checkpoint>(record.m_change);
}

RecordOutcome foldDecoded(ControlState &state, const Record &record)
{
    RecordOutcome outcome;
    outcome.m_record = record.m_id;
    outcome.m_offset = state.m_applied + 1;
    const RecordOutcome *earlier = findOutcome(state, record.m_id);
    if (earlier) {
        // A writer that lost the answer and appended again by mistake: the first occurrence decides.
        outcome = *earlier;
        return outcome;
    }
    outcome.m_accepted = true;
    std::visit([&state, &record, &outcome](const auto &change) { apply(state, change, record.m_author, outcome); }, record.m_change);
    if (!isBookkeeping(record)) {
        remember(state, outcome);
    }
    return outcome;
}

}

std::string templateProblem(const Template &wanted)
{
    if (!isName(wanted.m_name)) {
        return "the template's name is missing or has other characters than letters, digits, - _ .";
    }
    if (!isName(wanted.m_service)) {
        return "the template's service is missing or has other characters than letters, digits, - _ .";
    }
    if (!(wanted.m_originCopies >= 1 && wanted.m_originCopies <= MaximumOriginCopies)) {
        return "origin_copies is out of range";
    }
    if (wanted.m_accounts.size() > MaximumAccounts) {
        return "there are too many accounts";
    }
    std::set<std::string> accounts;
    for (const AccountParameters &parameters : wanted.m_accounts) {
        const std::string problem = accountProblem(parameters, wanted.m_kind);
        if (!problem.empty()) {
            return problem;
        }
        if (!accounts.insert(parameters.m_account).second) {
            return "account " + parameters.m_account + " is given twice";
        }
    }
    return "";
}

RecordOutcome applyRecord(ControlState &state, Offset position, std::string_view body)
{
    RecordOutcome outcome;
    outcome.m_offset = state.m_applied + 1;
    const Core::Result<Record> record = decodeRecord(body);
    if (record) {
        outcome = foldDecoded(state, record.value());
    } else {
        refuse(outcome, record.error().m_detail);
    }
    const bool isRestored = record && outcome.m_accepted && std::holds_alternative<Restore>(record.value().m_change);
    if (!isRestored) {
        ++state.m_applied;
    }
    state.m_position = position;
    state.m_lastDigest = Core::sha256Hex(body);
    state.m_chain = Core::sha256Hex(state.m_chain + std::to_string(position) + ":" + state.m_lastDigest);
    return outcome;
}

}
