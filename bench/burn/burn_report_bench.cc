#include "tarragon/burn/burn_report.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

namespace tarragon::burn {
namespace {

/** Report on 8 entries with 3 classes each. The argument is the number of scrapes per entry. */
void BM_Report(benchmark::State& state) {
  const auto settings = settings::objective_settings::Make(R"([[objective]]
name = "whole"
good = ["whole"]
counted = ["whole", "failed"]
target_percent = 99.9
[[alert]]
name = "fast"
short_window_s = 300
long_window_s = 3600
burn = 14.4
)",
                                                           "o.toml", nullptr);
  std::vector<sample> samples;
  for (std::int64_t i = 0; i < state.range(0) * 8; ++i) {
    std::string text;
    for (const char* name : {"leak", "lookup", "handover"}) {
      for (const char* outcome : {"whole", "failed"}) {
        text += fmt::format("tarragon_class_requests_total{{class=\"{}\",outcome=\"{}\"}} {}\n",
                            name, outcome, i);
      }
    }
    samples.push_back({wall_time_point(std::chrono::seconds(i / 8 * 60)),
                       fmt::format("127.0.0.1:{}", i % 8), std::move(text)});
  }
  for (auto _ : state) {
    benchmark::DoNotOptimize(burn_report::Make(*settings, samples));
  }
}
BENCHMARK(BM_Report)->Arg(100)->Arg(1000)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace tarragon::burn
