#include "tarragon/net/sse_parser.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <string>
#include <vector>

namespace tarragon::net {
namespace {

/** One token event as engines send it, in parts of `range(0)` bytes. */
void BM_ParseToken(benchmark::State& state) {
  const std::string event = fmt::format(
      "id: 1234\ndata: {}\n\n",
      R"({"choices":[{"finish_reason":null,"index":0,"text":" token"}],"id":"0123456789abcdef"})");
  const auto part = static_cast<std::size_t>(state.range(0));
  sse_parser parser;
  std::vector<sse_event> events;
  for (auto _ : state) {
    events.clear();
    for (std::size_t at = 0; at < event.size(); at += part) {
      parser.Feed(std::string_view(event).substr(at, part), events);
    }
    benchmark::DoNotOptimize(events.data());
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(BM_ParseToken)->Arg(1)->Arg(4096);

}  // namespace
}  // namespace tarragon::net
