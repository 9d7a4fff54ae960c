#include "tarragon/net/sse_parser.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <string>
#include <vector>

namespace tarragon::net {
namespace {

/** Parses one token event of an engine, received in chunks of `range(0)` bytes. */
void BM_ParseToken(benchmark::State& state) {
  const std::string event = fmt::format(
      "id: 1234\ndata: {}\n\n",
      R"({"choices":[{"finish_reason":null,"index":0,"text":" token"}],"id":"0123456789abcdef"})");
  const auto chunk_bytes = static_cast<std::size_t>(state.range(0));
  sse_parser parser;
  std::vector<sse_event> events;
  for (auto _ : state) {
    events.clear();
    for (std::size_t offset = 0; offset < event.size(); offset += chunk_bytes) {
      parser.Feed(std::string_view(event).substr(offset, chunk_bytes), events);
    }
    benchmark::DoNotOptimize(events.data());
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(BM_ParseToken)->Arg(1)->Arg(4096);

}  // namespace
}  // namespace tarragon::net
