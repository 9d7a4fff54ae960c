#include "tarragon/wire/datagram.h"

#include <benchmark/benchmark.h>

namespace tarragon::wire {
namespace {

void BM_EncodeAndDecodeProbe(benchmark::State& state) {
  probe_message message;
  message.sender.name = member_name::From("entry-01");
  message.sender.gossip.port = 1;
  for (auto _ : state) {
    benchmark::DoNotOptimize(Decode(Encode(message, "key"), "key"));
  }
}
BENCHMARK(BM_EncodeAndDecodeProbe);

}  // namespace
}  // namespace tarragon::wire
