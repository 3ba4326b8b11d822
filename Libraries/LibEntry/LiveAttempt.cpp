/// @file Execution of an attempt and reading of its answer.

#include "LibEntry/LiveAttempt.h"

#include "LibNetwork/HttpStatus.h"
#include "LibWire/Pack.h"

namespace Entry {

namespace {

constexpr std::size_t InboxFrames = 4096;
/// Interval at which a thread that waits for a frame checks whether its caller has disconnected.
constexpr Core::Duration DisconnectCheckInterval{100};
/// Time after the deadline for which the agent's timeout error is awaited, since it says more than a local timeout.
constexpr Core::Duration DeadlineGrace{200};

Core::Duration remainingTime(Core::Instant deadline)
{
    const Core::Duration remaining = std::chrono::duration_cast<Core::Duration>(deadline - Core::Clock::now());
    return std::max(Core::Duration(1), remaining);
}

}

Core::Error answerMemoryError(const std::string &peer)
{
    return Core::makeError(Core::ErrorCode::Overloaded, "read answer", peer, "the memory for answers is in use");
}

bool isForWantOfMemory(const AttemptOutcome &outcome)
{
    return outcome.m_end == AttemptEnd::Unknown && outcome.m_error.m_code == Core::ErrorCode::Overloaded;
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

void LiveAttempt::Inbox::add(std::string frame)
{
    ReceivedFrame received{std::move(frame), Core::ByteReservation(m_memory)};
    if (!received.m_memory.tryResize(received.m_bytes.size())) {
        m_lacksMemory = true;
    } else if (!m_frames.tryPush(std::move(received))) {
        m_overrun = true;
    }
}

LiveAttempt::LiveAttempt(
    Wire::Node &node, const Core::Address &agent, Protocol::LiveRequest request, Core::Instant deadline, std::shared_ptr<Core::ByteBudget> memory)
    : m_node(node)
    , m_peer(agent.toString())
    , m_deadline(deadline)
    , m_checker(request.m_attempt, request.m_digest, m_peer)
    , m_inbox(std::make_shared<Inbox>(InboxFrames, std::move(memory)))
{
    const std::shared_ptr<Inbox> inbox = m_inbox;
    Wire::CallEvents events;
    events.m_onFrame = [inbox](std::string frame) { inbox->add(std::move(frame)); };
    events.m_onEnd = [inbox](const Wire::CallEnd &end) {
        {
            const std::lock_guard<std::mutex> lock(inbox->m_endMutex);
            inbox->m_end = end;
        }
        // Closing wakes the reader, which still receives the frames in the ring.
        inbox->m_frames.close();
    };
    m_call = m_node.call(agent, "live.call", Wire::pack(request), Wire::CallOptions{remainingTime(deadline) + DeadlineGrace}, events);
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

std::optional<Core::Error> LiveAttempt::lossOfFrames() const
{
    if (m_inbox->m_lacksMemory) {
        return answerMemoryError(m_peer);
    }
    return m_inbox->m_overrun ? std::optional<Core::Error>(ambiguousError("the caller reads too slowly")) : std::nullopt;
}

AttemptOutcome LiveAttempt::run(const Consumer &consume, const IdleCheck &isDisconnected)
{
    bool idle = false;
    while (true) {
        // Doesn't wait at first, so that frames that have arrived together are passed on together.
        const std::optional<ReceivedFrame> received = m_inbox->m_frames.pop(idle ? DisconnectCheckInterval : Core::Duration(0));
        idle = !received;
        if (const std::optional<Core::Error> loss = lossOfFrames()) {
            return AttemptOutcome{AttemptEnd::Unknown, *loss};
        }
        if (!received) {
            const std::optional<Wire::CallEnd> end = callEnd();
            if (end) {
                return makeOutcome(*end);
            }
            if (isDisconnected()) {
                return AttemptOutcome{AttemptEnd::CallerGone, ambiguousError("the caller went away")};
            }
            continue;
        }
        const Core::Result<Protocol::AnswerFrame> frame = Wire::unpack<Protocol::AnswerFrame>(received->m_bytes, m_peer);
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
    Protocol::OutcomeAnswer answer = BOOST_OUTCOME_TRYX(Wire::unpack<Protocol::OutcomeAnswer>(bytes, question.m_agent.toString()));
    if (answer.m_outcome == Protocol::Outcome::Finished && !Network::isFinalStatus(answer.m_status)) {
        return Core::makeError(Core::ErrorCode::Corrupt, "ask outcome", question.m_agent.toString(), "the invalid status " + std::to_string(answer.m_status));
    }
    return answer;
}

}
