#include "tarragon/net/resumption_ticket.h"

#include <benchmark/benchmark.h>

#include <string>

namespace tarragon::net {
namespace {

constexpr std::string_view kKey = "0123456789abcdef0123456789abcdef";
constexpr wall_time_point kNow{std::chrono::hours(500'000)};

resumption_ticket Ticket() {
  return resumption_ticket({.request = {7},
                            .account = "keelung",
                            .endpoint = "drafter-01",
                            .generation = "0123456789abcdef0123456789abcdef",
                            .request_class = "quote",
                            .content = {},
                            .issued = kNow});
}

void BM_Sign(benchmark::State& state) {
  const resumption_ticket ticket = Ticket();
  for (auto _ : state) {
    benchmark::DoNotOptimize(ticket.Sign(kKey));
  }
}
BENCHMARK(BM_Sign);

void BM_Verify(benchmark::State& state) {
  const std::string text = Ticket().Sign(kKey);
  for (auto _ : state) {
    auto read = resumption_ticket::Make(text, kKey, kNow, std::chrono::minutes(10));
    if (!read) {
      state.SkipWithError("the ticket was refused");
    }
    benchmark::DoNotOptimize(read);
  }
}
BENCHMARK(BM_Verify);

}  // namespace
}  // namespace tarragon::net
