/// @file Reading of an attempt's answer.

#include "LibEntry/LiveAttempt.h"
#include "LibWire/Pack.h"

namespace Entry {

namespace {

constexpr std::size_t InboxFrames = 4096;
/// How often a thread that waits for a frame looks whether its caller is still there.
constexpr Core::Duration GoneInterval{100};
/// How long after the deadline the agent's own word that time is up is awaited, which says more than a local timeout.
constexpr Core::Duration DeadlineGrace{200};

Core::Duration timeLeft(Core::Instant deadline)
{
    const Core::Duration left = std::chrono::duration_cast<Core::Duration>(deadline - Core::Clock::now());
    return std::max(Core::Duration(1), left);
}

}

bool provesNotRun(const Wire::CallEnd &end)
{
    if (end.m_succeeded) {
        return false;
    }
    if (end.m_delivery == Wire::Delivery::NotSent) {
        return true;
    }
    if (end.m_delivery == Wire::Delivery::Sent) {
        return false;
    }
    switch (end.m_error.m_code) {
    case Core::ErrorCode::InvalidInput:
    case Core::ErrorCode::NotFound:
    case Core::ErrorCode::Conflict:
    case Core::ErrorCode::Unavailable:
    case Core::ErrorCode::Overloaded:
    case Core::ErrorCode::Cancelled:
        return true;
    case Core::ErrorCode::Timeout:
    case Core::ErrorCode::Ambiguous:
    case Core::ErrorCode::Corrupt:
    case Core::ErrorCode::Internal:
        break;
    }
    return false;
}

LiveAttempt::LiveAttempt(Wire::Node &node, const Core::Address &agent, Protocol::LiveRequest request, Core::Instant deadline)
    : m_node(node)
    , m_peer(agent.toString())
    , m_deadline(deadline)
    , m_checker(request.m_attempt, request.m_digest, m_peer)
    , m_inbox(std::make_shared<Inbox>(InboxFrames))
{
    const std::shared_ptr<Inbox> inbox = m_inbox;
    Wire::CallEvents events;
    events.m_onFrame = [inbox](std::string frame) {
        if (!inbox->m_frames.tryPush(std::move(frame))) {
            inbox->m_overrun = true;
        }
    };
    events.m_onEnd = [inbox](const Wire::CallEnd &end) {
        {
            const std::lock_guard<std::mutex> lock(inbox->m_endMutex);
            inbox->m_end = end;
        }
        // Closing wakes the reader, which still gets what is in the ring.
        inbox->m_frames.close();
    };
    m_call = m_node.call(agent, "live.call", Wire::pack(request), Wire::CallOptions{timeLeft(deadline) + DeadlineGrace}, events);
}

LiveAttempt::~LiveAttempt()
{
    if (!callEnd()) {
        m_node.cancel(m_call);
    }
}

std::optional<Wire::CallEnd> LiveAttempt::callEnd() const
{
    const std::lock_guard<std::mutex> lock(m_inbox->m_endMutex);
    return m_inbox->m_end;
}

Core::Error LiveAttempt::ambiguousError(const std::string &detail) const
{
    return Core::makeError(Core::ErrorCode::Ambiguous, "read answer", m_peer, detail);
}

AttemptOutcome LiveAttempt::run(const Consumer &consume, const IdleCheck &isGone)
{
    bool idle = false;
    while (true) {
        // Without waiting first: what has arrived together is handed on together.
        const std::optional<std::string> arrival = m_inbox->m_frames.pop(idle ? GoneInterval : Core::Duration(0));
        idle = !arrival;
        if (m_inbox->m_overrun) {
            return AttemptOutcome{AttemptEnd::Unknown, ambiguousError("the caller reads too slowly")};
        }
        if (!arrival) {
            const std::optional<Wire::CallEnd> end = callEnd();
            if (end) {
                return makeOutcome(*end);
            }
            if (isGone()) {
                return AttemptOutcome{AttemptEnd::CallerGone, ambiguousError("the caller went away")};
            }
            continue;
        }
        const Core::Result<Protocol::AnswerFrame> frame = Wire::unpack<Protocol::AnswerFrame>(*arrival, m_peer);
        if (!frame) {
            return AttemptOutcome{AttemptEnd::Unknown, frame.error()};
        }
        const Core::Result<void> checked = m_checker.check(frame.value());
        if (!checked) {
            return AttemptOutcome{AttemptEnd::Unknown, checked.error()};
        }
        if (!consume(frame.value())) {
            return AttemptOutcome{AttemptEnd::CallerGone, ambiguousError("the caller went away")};
        }
    }
}

AttemptOutcome LiveAttempt::makeOutcome(const Wire::CallEnd &end) const
{
    if (end.m_succeeded && m_checker.isComplete()) {
        return AttemptOutcome{AttemptEnd::Complete, {}};
    }
    if (end.m_succeeded) {
        return AttemptOutcome{AttemptEnd::Unknown, ambiguousError("the answer ended without its end frame")};
    }
    return AttemptOutcome{provesNotRun(end) ? AttemptEnd::NotRun : AttemptEnd::Unknown, end.m_error};
}

Core::Result<Protocol::OutcomeAnswer> queryOutcome(Wire::Node &node, const OutcomeQuery &question, Core::Duration timeout)
{
    const std::string bytes = BOOST_OUTCOME_TRYX(node.request(question.m_agent, "live.outcome", Wire::pack(question.m_request), timeout));
    return Wire::unpack<Protocol::OutcomeAnswer>(bytes, question.m_agent.toString());
}

}
