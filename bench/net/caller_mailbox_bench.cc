#include "tarragon/net/caller_mailbox.h"

#include <benchmark/benchmark.h>

#include <cstdint>
#include <string>
#include <thread>

namespace tarragon::net {
namespace {

constexpr std::size_t kMailboxBytes = std::size_t{1} << 20;

caller_message Token(std::uint32_t index) {
  return decision::deliver_token{.request = {1},
                                 .generation = "0123456789abcdef0123456789abcdef",
                                 .index = index,
                                 .text = " token"};
}

void BM_PushPop(benchmark::State& state) {
  caller_mailbox mailbox(kMailboxBytes);
  std::uint32_t index = 0;
  for (auto _ : state) {
    mailbox.TryPush(Token(++index));
    benchmark::DoNotOptimize(mailbox.Pop({}));
  }
}
BENCHMARK(BM_PushPop);

/** What a caller's thread does before each write: it looks for more text without waiting. */
void BM_PopEmpty(benchmark::State& state) {
  caller_mailbox mailbox(kMailboxBytes);
  for (auto _ : state) {
    benchmark::DoNotOptimize(mailbox.Pop({}));
  }
}
BENCHMARK(BM_PopEmpty)->UseRealTime();

/** A token to a thread that waits for it and an answer back: two wake-ups. */
void BM_WakeRoundTrip(benchmark::State& state) {
  caller_mailbox there(kMailboxBytes);
  caller_mailbox back(kMailboxBytes);
  std::thread echo([&] {
    while (!there.IsClosed()) {
      if (auto message = there.Pop(std::chrono::seconds(1))) {
        back.TryPush(std::move(*message));
      }
    }
  });
  for (auto _ : state) {
    there.TryPush(Token(1));
    while (!back.Pop(std::chrono::seconds(1))) {
    }
  }
  there.Close();
  echo.join();
}
BENCHMARK(BM_WakeRoundTrip)->UseRealTime();

}  // namespace
}  // namespace tarragon::net
