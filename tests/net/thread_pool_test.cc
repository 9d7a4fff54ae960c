#include "tarragon/net/thread_pool.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>

namespace tarragon::net {
namespace {

// Guards against a task that is queued behind another one instead of being rejected.
TEST(ThreadPool, RejectsWhenAllThreadsAreBusy) {
  thread_pool pool(2);
  std::promise<void> release;
  const std::shared_future<void> released(release.get_future());
  EXPECT_TRUE(pool.TryRun([released] { released.wait(); }));
  EXPECT_TRUE(pool.TryRun([released] { released.wait(); }));
  EXPECT_FALSE(pool.TryRun([] {}));
  EXPECT_EQ(pool.RunningTaskCount(), 2U);
  release.set_value();
}

// Guards against accepted tasks that are lost at shutdown, and tasks accepted after it.
TEST(ThreadPool, RunsEveryAcceptedTask) {
  std::atomic<int> ran{0};
  int accepted = 0;
  thread_pool pool(4);
  for (int i = 0; i < 1000; ++i) {
    accepted += pool.Run([&] { ++ran; }) ? 1 : 0;
  }
  pool.Stop();
  EXPECT_EQ(accepted, 1000);
  EXPECT_EQ(ran, accepted);
  EXPECT_FALSE(pool.TryRun([] {}));
  EXPECT_FALSE(pool.Run([] {}));
}

}  // namespace
}  // namespace tarragon::net
