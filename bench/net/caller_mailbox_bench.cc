#include "tarragon/net/caller_mailbox.h"

#include <benchmark/benchmark.h>

#include <cstdint>
#include <string>
#include <thread>

namespace tarragon::net {
namespace {

constexpr std::size_t kMailboxBytes = std::size_t{1} << 20;

caller_message MakeToken(std::uint32_t index) {
  return decision::deliver_token{.request = {1},
                                 .generation = "0123456789abcdef0123456789abcdef",
                                 .index = index,
                                 .text = " token"};
}

void BM_PushPop(benchmark::State& state) {
  caller_mailbox mailbox(kMailboxBytes);
  std::uint32_t index = 0;
  for (auto _ : state) {
    mailbox.TryPush(MakeToken(++index));
    benchmark::DoNotOptimize(mailbox.Pop({}));
  }
}
BENCHMARK(BM_PushPop);

/** The non-blocking poll that the thread of a caller does before each write. */
void BM_PopEmpty(benchmark::State& state) {
  caller_mailbox mailbox(kMailboxBytes);
  for (auto _ : state) {
    benchmark::DoNotOptimize(mailbox.Pop({}));
  }
}
BENCHMARK(BM_PopEmpty)->UseRealTime();

/** Sends a token to a waiting thread and waits for its reply: two wake-ups. */
void BM_WakeRoundTrip(benchmark::State& state) {
  caller_mailbox requests(kMailboxBytes);
  caller_mailbox replies(kMailboxBytes);
  std::thread echo([&] {
    while (!requests.IsClosed()) {
      if (auto message = requests.Pop(std::chrono::seconds(1))) {
        replies.TryPush(std::move(*message));
      }
    }
  });
  for (auto _ : state) {
    requests.TryPush(MakeToken(1));
    while (!replies.Pop(std::chrono::seconds(1))) {
    }
  }
  requests.Close();
  echo.join();
}
BENCHMARK(BM_WakeRoundTrip)->UseRealTime();

}  // namespace
}  // namespace tarragon::net
