#include "tarragon/policy/admission_queue.h"

#include <benchmark/benchmark.h>

namespace tarragon::policy {
namespace {

/** Pushes and pops one request of a queue that holds four requests per account. */
void BM_PushPop(benchmark::State& state) {
  const auto accounts = static_cast<std::uint64_t>(state.range(0));
  admission_queue queue({.max_requests = 100000});
  time_point now{std::chrono::hours(1)};
  std::uint64_t id = 0;
  const auto make_item = [&] {
    id += 1;
    return queued_request{.request = {id},
                          .request_class = "report",
                          .account = {id % accounts},
                          .weight = 1.0 + static_cast<double>(id % 3),
                          .bytes = 100,
                          .deadline = now + std::chrono::hours(1)};
  };
  for (std::uint64_t i = 0; i < 4 * accounts; ++i) {
    queue.Push(now, make_item());
  }
  for (auto _ : state) {
    now += std::chrono::microseconds(100);
    queue.Push(now, make_item());
    benchmark::DoNotOptimize(queue.Pop(now, [](const queued_request&) { return true; }));
  }
}
BENCHMARK(BM_PushPop)->Name("admission_queue/PushPop")->Arg(10)->Arg(130)->Arg(1300);

/** Pushes a request of the account with the longest backlog to a full queue, which refuses it. */
void BM_RefuseFull(benchmark::State& state) {
  const auto accounts = static_cast<std::uint64_t>(state.range(0));
  admission_queue queue({.max_requests = 4 * accounts});
  const time_point now{std::chrono::hours(1)};
  std::uint64_t id = 0;
  queued_request item{.request_class = "report", .deadline = now + std::chrono::hours(1)};
  for (std::uint64_t i = 0; i < 4 * accounts; ++i) {
    item.request = {++id};
    item.account = {id % accounts};
    queue.Push(now, item);
  }
  item.request = {++id};
  for (auto _ : state) {
    benchmark::DoNotOptimize(queue.Push(now, item));
  }
}
BENCHMARK(BM_RefuseFull)->Name("admission_queue/RefuseFull")->Arg(10)->Arg(1300);

}  // namespace
}  // namespace tarragon::policy
