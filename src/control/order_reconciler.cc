#include "tarragon/control/order_reconciler.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <ranges>
#include <utility>

#include "tarragon/base/invariant.h"

namespace tarragon::control {

namespace {

std::optional<engine_setup> FindDesiredSetup(const document::operating_document& document,
                                             const document::endpoint_settings& endpoint) {
  const document::service_settings* service = document.FindService(endpoint.service);
  if (service == nullptr || service->kind != document::service_kind::kModel) {
    return std::nullopt;
  }
  const document::model_settings* model = document.FindModel(service->model);
  if (model == nullptr) {
    return std::nullopt;
  }
  return engine_setup{model->name, model->version, model->adapters, service->name};
}

}  // namespace

order_reconciler::order_reconciler(reconcile_options options) : options_(options) {}

void order_reconciler::OnDocument(const document::document_ptr& document) {
  if (document_ && document->version() <= document_->version()) {
    return;
  }
  document_ = document;
  std::map<endpoint_name, engine_record> engines;
  for (const document::endpoint_settings& endpoint : document->contents().endpoints) {
    const std::optional<engine_setup> desired = FindDesiredSetup(*document, endpoint);
    if (!desired) {
      continue;
    }
    engine_record engine;
    if (auto known = engines_.find(endpoint.name); known != engines_.end()) {
      engine = std::move(known->second);
    }
    engine.converged_before = engine.converged_before && engine.desired == *desired;
    engine.failure_domain = endpoint.failure_domain;
    engine.model = desired->model;
    engine.desired = *desired;
    engine.leaving = endpoint.state == document::serving_state::kLeaving;
    if (engine.order && engine.order->desired != *desired) {
      engine.order.reset();
    }
    engines.emplace(endpoint.name, std::move(engine));
  }
  engines_ = std::move(engines);
  for (const document::model_settings& model : document->contents().models) {
    version_progress& progress = progress_[model.name];
    if (progress.version != model.version) {
      progress = version_progress{model.version, 0, {}};
    }
  }
  std::erase_if(progress_, [&document](const auto& item) {
    return document->FindModel(item.first) == nullptr;
  });
}

void order_reconciler::OnReport(time_point now, const engine_report& report) {
  const auto found = engines_.find(report.endpoint);
  if (found == engines_.end()) {
    return;
  }
  engine_record& engine = found->second;
  engine.report = report;
  engine.reported_at = now;
  if (IsConverged(now, engine)) {
    engine.converged_before = true;
    engine.order.reset();
    return;
  }
  if (engine.order && report.order_document_version == engine.order->document_version) {
    engine.order->accepted = true;
  }
}

void order_reconciler::OnOrderResult(time_point now,
                                     const engine_order& order,
                                     order_result result) {
  const auto found = engines_.find(order.endpoint);
  if (found == engines_.end() || !found->second.order ||
      found->second.order->document_version != order.document_version) {
    return;
  }
  engine_record& engine = found->second;
  switch (result) {
    case order_result::kAccepted:
      engine.order->accepted = true;
      break;
    case order_result::kFailed:
      RecordFailure(engine, fmt::format("{} refused the order", order.endpoint));
      engine.order.reset();
      break;
    case order_result::kFenced:
      // Another process has acquired the lease; this process will see that in the lease row.
      engine.order.reset();
      break;
    case order_result::kUnknown:
      engine.order->last_sent_at = now;
      break;
  }
}

void order_reconciler::RestoreFailures(const rollout_record& record) {
  const auto found = progress_.find(record.model);
  // Without failures, the recorded reason is why the rollout waits; `Rollouts` derives it again.
  if (found != progress_.end() && found->second.version == record.version && record.failures > 0) {
    found->second.failures = std::max(found->second.failures, record.failures);
    found->second.reason = record.reason;
  }
}

void order_reconciler::Reset() {
  std::ranges::for_each(engines_ | std::views::values, [](engine_record& engine) {
    engine.order.reset();
    engine.report.reset();
    engine.converged_before = false;
  });
  std::ranges::for_each(progress_ | std::views::values, [](version_progress& progress) {
    progress.failures = 0;
    progress.reason.clear();
  });
}

std::vector<engine_order> order_reconciler::NextOrders(time_point now,
                                                       std::uint64_t fencing_number) {
  TARRAGON_INVARIANT(fencing_number > 0, "orders need a nonzero fencing number");
  std::vector<engine_order> orders;
  if (!document_) {
    return orders;
  }
  ExpireOrders(now);
  for (engine_entry* engine : SortByUrgency(now)) {
    if (ShouldSendOrder(now, engine->second)) {
      orders.push_back(MakeOrder(now, *engine, fencing_number));
    }
  }
  Validate();
  return orders;
}

std::vector<rollout_record> order_reconciler::Rollouts(time_point now) const {
  std::vector<rollout_record> records;
  for (const auto& [model, progress] : progress_) {
    const engine_counts count = CountEngines(now, model);
    rollout_record record{model,           progress.version, rollout_state::kRunning,
                          count.converged, count.engines,    progress.failures,
                          progress.reason};
    if (IsRolloutStopped(model)) {
      record.state = rollout_state::kStopped;
    } else if (count.converged == count.engines) {
      record.state = rollout_state::kDone;
    } else if (IsBlockedByServingShare(now, model)) {
      record.reason = fmt::format("{} of {} engines serve, and min_serving_share lets none stop",
                                  count.serving, count.engines);
    }
    records.push_back(std::move(record));
  }
  return records;
}

std::vector<endpoint_name> order_reconciler::UnconvergedEndpoints(time_point now) const {
  std::vector<endpoint_name> names;
  for (const auto& [name, engine] : engines_) {
    if (!engine.leaving && !IsConverged(now, engine)) {
      names.push_back(name);
    }
  }
  return names;
}

void order_reconciler::Validate() const {
  TARRAGON_INVARIANT(std::ranges::all_of(engines_ | std::views::values,
                                         [](const engine_record& engine) {
                                           return !engine.order ||
                                                  engine.order->desired == engine.desired;
                                         }),
                     "an open order must match the desired setup");
}

bool order_reconciler::IsReachable(time_point now, const engine_record& engine) const {
  return engine.report && now < engine.reported_at + options_.report_timeout;
}

bool order_reconciler::IsServing(time_point now, const engine_record& engine) const {
  return IsReachable(now, engine) && !engine.leaving && !engine.report->leaving &&
         !engine.report->loading && engine.report->setup.model == engine.desired.model &&
         !engine.order;
}

bool order_reconciler::IsConverged(time_point now, const engine_record& engine) const {
  return IsReachable(now, engine) && !engine.report->loading &&
         engine.report->setup == engine.desired;
}

bool order_reconciler::HasConvergedBefore(const engine_record& engine) const {
  return engine.converged_before;
}

order_reconciler::engine_counts order_reconciler::CountEngines(time_point now,
                                                               const std::string& model) const {
  engine_counts count;
  for (const engine_record& engine : engines_ | std::views::values) {
    if (engine.model != model || engine.leaving) {
      continue;
    }
    count.engines += 1;
    count.serving += IsServing(now, engine) ? 1 : 0;
    count.converged += IsConverged(now, engine) ? 1 : 0;
  }
  return count;
}

bool order_reconciler::CanStopServing(time_point now, const engine_record& engine) const {
  if (!IsServing(now, engine)) {
    return true;
  }
  const document::model_settings* model = document_->FindModel(engine.model);
  TARRAGON_INVARIANT(model != nullptr, "an engine's model must be in the document");
  const engine_counts count = CountEngines(now, engine.model);
  const auto needed = static_cast<std::uint32_t>(
      std::ceil(model->min_serving_share * static_cast<double>(count.engines)));
  return count.serving > needed;
}

bool order_reconciler::HasOpenOrderInDomain(time_point now,
                                            const std::string& failure_domain) const {
  return std::ranges::any_of(engines_ | std::views::values, [&](const engine_record& engine) {
    return engine.failure_domain == failure_domain && engine.order && IsReachable(now, engine);
  });
}

bool order_reconciler::IsRolloutStopped(const std::string& model) const {
  const auto found = progress_.find(model);
  return found != progress_.end() && found->second.failures >= options_.max_failures;
}

bool order_reconciler::IsBlockedByServingShare(time_point now, const std::string& model) const {
  const auto is_waiting = [&](const engine_record& engine) {
    return engine.model == model && !engine.leaving && IsReachable(now, engine) &&
           !IsConverged(now, engine);
  };
  auto waiting = engines_ | std::views::values | std::views::filter(is_waiting);
  return !waiting.empty() && std::ranges::none_of(waiting, [&](const engine_record& engine) {
    return engine.order.has_value() || CanStopServing(now, engine);
  });
}

bool order_reconciler::ShouldSendOrder(time_point now, const engine_record& engine) const {
  if (engine.leaving || !IsReachable(now, engine) || engine.report->leaving ||
      IsConverged(now, engine)) {
    return false;
  }
  if (engine.order) {
    return !engine.order->accepted &&
           now >= engine.order->last_sent_at + options_.order_retry_interval;
  }
  // An engine that has left the desired setup accepted a stale order. It gets a new order at once:
  // waiting for the other loads of its failure domain would exceed the documented correction time.
  if (HasConvergedBefore(engine)) {
    return CanStopServing(now, engine);
  }
  return !IsRolloutStopped(engine.model) && now >= last_load_at_ + options_.load_interval &&
         !HasOpenOrderInDomain(now, engine.failure_domain) && CanStopServing(now, engine);
}

void order_reconciler::ExpireOrders(time_point now) {
  for (engine_entry& entry : engines_) {
    engine_record& engine = entry.second;
    if (!engine.order) {
      continue;
    }
    if (now >= engine.order->first_sent_at + options_.load_timeout) {
      RecordFailure(engine,
                    fmt::format("{} did not reach version {} within {} s", entry.first,
                                engine.desired.version, options_.load_timeout.count() / 1000));
      engine.order.reset();
      continue;
    }
    // If a later report does not show an accepted order, another order has replaced it.
    const bool replaced =
        engine.order->accepted &&
        engine.reported_at >= engine.order->last_sent_at + options_.order_retry_interval &&
        engine.report->order_document_version != engine.order->document_version;
    if (replaced) {
      engine.order->accepted = false;
    }
  }
}

void order_reconciler::RecordFailure(const engine_record& engine, std::string reason) {
  version_progress& progress = progress_[engine.model];
  progress.failures += 1;
  progress.reason = std::move(reason);
}

std::vector<order_reconciler::engine_entry*> order_reconciler::SortByUrgency(time_point now) {
  struct ranked_engine {
    engine_entry* engine;
    bool converged_before;
    bool serving;
    double serving_share;
  };
  std::map<std::string, double> shares;
  for (const auto& item : progress_) {
    const engine_counts count = CountEngines(now, item.first);
    shares[item.first] = count.engines == 0 ? 1.0 : double(count.serving) / count.engines;
  }
  std::vector<ranked_engine> ranked;
  ranked.reserve(engines_.size());
  for (engine_entry& entry : engines_) {
    const engine_record& engine = entry.second;
    ranked.push_back(
        {&entry, HasConvergedBefore(engine), IsServing(now, engine), shares[engine.model]});
  }
  std::ranges::stable_sort(ranked, {}, [](const ranked_engine& item) {
    return std::make_tuple(!item.converged_before, item.serving, item.serving_share);
  });
  std::vector<engine_entry*> result;
  std::ranges::transform(ranked, std::back_inserter(result), &ranked_engine::engine);
  return result;
}

engine_order order_reconciler::MakeOrder(time_point now,
                                         engine_entry& entry,
                                         std::uint64_t fencing_number) {
  engine_record& engine = entry.second;
  if (engine.order) {
    engine.order->last_sent_at = now;
  } else {
    // An engine with an open order does not count as serving, even before it reports that it is
    // loading.
    engine.order = open_order{document_->version(), engine.desired, now, now, false};
    last_load_at_ = now;
  }
  engine.order->document_version = document_->version();
  return {entry.first, fencing_number, document_->version(), engine.desired};
}

}  // namespace tarragon::control
