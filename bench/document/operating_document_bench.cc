#include "tarragon/document/operating_document.h"

#include <benchmark/benchmark.h>

#include "document/sample_document.h"

namespace tarragon::document {
namespace {

void BM_MakeSample(benchmark::State& state) {
  const std::vector<section> sections = SampleSections("lanhai");
  for (auto _ : state) {
    benchmark::DoNotOptimize(operating_document::Make(1, sections, nullptr));
  }
}
BENCHMARK(BM_MakeSample);

}  // namespace
}  // namespace tarragon::document
