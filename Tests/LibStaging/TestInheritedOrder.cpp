/// @file Tests of what an agent that has restarted assumes about the orders of its predecessor.

#include "LibCore/Digest.h"
#include "LibStaging/InheritedOrder.h"

#include <catch2/catch.hpp>

namespace {

constexpr Core::Duration SettleTime{100};

Weights::Manifest manifestOf(const std::vector<std::string> &chunks)
{
    Weights::Manifest manifest;
    for (const std::string &chunk : chunks) {
        manifest.m_chunkDigests.push_back(Core::sha256Raw(chunk));
    }
    return manifest;
}

Staging::StageDigests stageOf(const std::vector<std::string> &chunks)
{
    Staging::StageDigests staged;
    for (const std::string &chunk : chunks) {
        staged.emplace(static_cast<Weights::ChunkIndex>(staged.size()), Core::sha256Raw(chunk));
    }
    return staged;
}

}

TEST_CASE("Only a complete stage without any chunk of the target may have been ordered")
{
    const Weights::Manifest target = manifestOf({"new-0", "new-1"});
    CHECK(Staging::mayBeOtherVersion(stageOf({"old-0", "old-1"}), target));
    CHECK(Staging::mayBeOtherVersion(stageOf({"old-0", "damaged"}), target));
    CHECK_FALSE(Staging::mayBeOtherVersion(stageOf({"old-0"}), target));
    CHECK_FALSE(Staging::mayBeOtherVersion(stageOf({"old-0", "new-1"}), target));
    CHECK_FALSE(Staging::mayBeOtherVersion({}, target));
    const Staging::StageDigests withUnreadable{{0, Core::sha256Raw("old-0")}, {1, ""}};
    CHECK(Staging::mayBeOtherVersion(withUnreadable, target));
    CHECK_FALSE(Staging::isStaged(withUnreadable, manifestOf({"old-0", "old-1"})));
}

TEST_CASE("A stage is recognized as a version only if it holds every chunk")
{
    const Weights::Manifest manifest = manifestOf({"a", "b"});
    CHECK(Staging::isStaged(stageOf({"a", "b"}), manifest));
    CHECK_FALSE(Staging::isStaged(stageOf({"a"}), manifest));
    CHECK_FALSE(Staging::isStaged(stageOf({"a", "c"}), manifest));
    CHECK_FALSE(Staging::isStaged(stageOf({"a", "b", "c"}), manifest));
}

TEST_CASE("An inherited order is open until the engine restarts, accepts an order, or the time is over")
{
    const Core::Instant now = Core::Clock::now();
    Staging::EngineStatus status;
    status.m_startedMilliseconds = 7;
    status.m_acceptedOrders = 3;
    const Staging::InheritedOrder inherited{Staging::UnsettledOrder{7, 3}, now, false};
    CHECK(Staging::isOpen(inherited, status, now, SettleTime));
    CHECK_FALSE(Staging::isOpen(inherited, status, now + SettleTime, SettleTime));
    status.m_acceptedOrders = 4;
    CHECK_FALSE(Staging::isOpen(inherited, status, now, SettleTime));
    status.m_acceptedOrders = 3;
    status.m_startedMilliseconds = 8;
    CHECK_FALSE(Staging::isOpen(inherited, status, now, SettleTime));
}

TEST_CASE("An inherited order for an earlier start of the engine is open until the time is over")
{
    const Core::Instant now = Core::Clock::now();
    Staging::EngineStatus status;
    status.m_startedMilliseconds = 7;
    status.m_acceptedOrders = 4;
    const Staging::InheritedOrder inherited{Staging::UnsettledOrder{7, 3}, now, true};
    CHECK(Staging::isOpen(inherited, status, now, SettleTime));
    CHECK_FALSE(Staging::isOpen(inherited, status, now + SettleTime, SettleTime));
}

TEST_CASE("An engine whose start time is not known, or long ago, has not restarted shortly before")
{
    const std::uint64_t settleMilliseconds = static_cast<std::uint64_t>(SettleTime.count());
    Staging::EngineStatus status;
    CHECK_FALSE(Staging::hasStartedWithin(SettleTime, status, 100'000));
    status.m_startedMilliseconds = 100'000;
    CHECK(Staging::hasStartedWithin(SettleTime, status, 100'000));
    CHECK(Staging::hasStartedWithin(SettleTime, status, 99'000));
    CHECK_FALSE(Staging::hasStartedWithin(SettleTime, status, 100'000 + settleMilliseconds));
}
