#include "tarragon/control/order_reconciler.h"

#include <benchmark/benchmark.h>

#include <string>

namespace tarragon::control {
namespace {

document::document_ptr MakeDocument(int engines) {
  document::document_contents contents;
  contents.models.push_back({"quotes", "v1", {}, 0.9});
  contents.services.push_back({"drafter", document::service_kind::kModel, "quotes", "quote", {}});
  for (int i = 0; i < engines; ++i) {
    document::endpoint_settings endpoint;
    endpoint.name = "engine-" + std::to_string(i);
    endpoint.service = "drafter";
    endpoint.failure_domain = "fd-" + std::to_string(i % 5);
    contents.endpoints.push_back(endpoint);
  }
  return document::operating_document::MakeForTesting(1, std::move(contents));
}

// One reconciliation when every engine has the desired setup.
void BM_ReconcileConverged(benchmark::State& state) {
  order_reconciler reconciler({});
  const document::document_ptr document = MakeDocument(static_cast<int>(state.range(0)));
  reconciler.OnDocument(document);
  const time_point now{std::chrono::hours(1)};
  for (const document::endpoint_settings& endpoint : document->contents().endpoints) {
    reconciler.OnReport(now, {endpoint.name, {"quotes", "v1", {}, "drafter"}, 1, 1, false, false});
  }
  for (auto _ : state) {
    benchmark::DoNotOptimize(reconciler.NextOrders(now, 1));
  }
}
BENCHMARK(BM_ReconcileConverged)->Arg(12)->Arg(64)->Arg(5200);

}  // namespace
}  // namespace tarragon::control
