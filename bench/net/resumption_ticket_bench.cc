#include "tarragon/net/resumption_ticket.h"

#include <benchmark/benchmark.h>

#include <string>

namespace tarragon::net {
namespace {

constexpr std::string_view kKey = "0123456789abcdef0123456789abcdef";
constexpr wall_time_point kNow{std::chrono::hours(500'000)};

resumption_ticket MakeTicket() {
  return resumption_ticket({.request = {7},
                            .account = "keelung",
                            .endpoint = "drafter-01",
                            .generation = "0123456789abcdef0123456789abcdef",
                            .request_class = "quote",
                            .request_fingerprint = {},
                            .issued = kNow});
}

void BM_Sign(benchmark::State& state) {
  const resumption_ticket ticket = MakeTicket();
  for (auto _ : state) {
    benchmark::DoNotOptimize(ticket.Sign(kKey));
  }
}
BENCHMARK(BM_Sign);

void BM_Verify(benchmark::State& state) {
  const std::string text = MakeTicket().Sign(kKey);
  for (auto _ : state) {
    auto ticket = resumption_ticket::ParseAndVerify(text, kKey, kNow, std::chrono::minutes(10));
    if (!ticket) {
      state.SkipWithError("the ticket was rejected");
    }
    benchmark::DoNotOptimize(ticket);
  }
}
BENCHMARK(BM_Verify);

}  // namespace
}  // namespace tarragon::net
