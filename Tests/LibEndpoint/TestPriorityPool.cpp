/// @file Tests of the order, bounds and shutdown of PriorityPool.

#include "LibEndpoint/PriorityPool.h"

#include <catch2/catch.hpp>
#include <future>
#include <vector>

namespace {

/// A pool with one thread, which is blocked by the first job until finish() is called.
struct BlockedPool
{
    std::promise<void> m_started;
    std::promise<void> m_unblock;
    std::shared_future<void> m_unblocked = m_unblock.get_future().share();
    std::vector<int> m_ran; ///< Written by the pool's only thread.
    Endpoint::PriorityPool<int> m_pool;

    explicit BlockedPool(std::size_t queue)
        : m_pool(Endpoint::PoolLimits{1, queue, Core::Duration(1000)}, [this](int job) { run(job); })
    {
        REQUIRE(m_pool.tryPush(0, 0));
        m_started.get_future().wait();
    }

    void run(int job)
    {
        if (job == 0) {
            m_started.set_value();
            m_unblocked.wait();
        }
        m_ran.push_back(job);
    }

    void finish()
    {
        m_unblock.set_value();
        while (m_pool.queued() > 0 || m_pool.running() > 0) {
            std::this_thread::yield();
        }
    }
};

}

TEST_CASE("jobs with larger priorities run first, and equal ones in the order of arrival")
{
    BlockedPool blocked(8);
    REQUIRE(blocked.m_pool.tryPush(1, 0));
    REQUIRE(blocked.m_pool.tryPush(2, 5));
    REQUIRE(blocked.m_pool.tryPush(3, 0));
    REQUIRE(blocked.m_pool.tryPush(4, 5));
    blocked.finish();
    REQUIRE(blocked.m_ran == std::vector<int>{0, 2, 4, 1, 3});
}

TEST_CASE("a full queue and a stopped pool refuse jobs at once")
{
    BlockedPool blocked(1);
    REQUIRE(blocked.m_pool.tryPush(1, 0));
    REQUIRE_FALSE(blocked.m_pool.tryPush(2, 9));
    blocked.finish();
    blocked.m_pool.stop();
    REQUIRE_FALSE(blocked.m_pool.tryPush(3, 0));
}

TEST_CASE("a closed pool returns its queued jobs in their order and runs none of them")
{
    // Guards against queued jobs that are dropped without a word, or that begin when a running one ends.
    BlockedPool blocked(8);
    REQUIRE(blocked.m_pool.tryPush(1, 0));
    REQUIRE(blocked.m_pool.tryPush(2, 5));
    REQUIRE(blocked.m_pool.close() == std::vector<int>{2, 1});
    REQUIRE_FALSE(blocked.m_pool.tryPush(3, 0));
    blocked.finish();
    REQUIRE(blocked.m_pool.close().empty());
    REQUIRE(blocked.m_ran == std::vector<int>{0});
}
