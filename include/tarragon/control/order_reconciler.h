#ifndef TARRAGON_CONTROL_ORDER_RECONCILER_H_
#define TARRAGON_CONTROL_ORDER_RECONCILER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/control/engine_order.h"
#include "tarragon/control/rollout_record.h"
#include "tarragon/document/operating_document.h"

namespace tarragon::control {

struct reconcile_options {
  /** An order that neither an answer nor a report confirms is sent again after this time. */
  std::chrono::milliseconds order_retry_interval{2000};
  /** An engine that has not reached the ordered setup by then counts as a failed load. */
  std::chrono::milliseconds load_timeout{60000};
  /** An engine whose last report is older than this counts as unreachable. */
  std::chrono::milliseconds report_timeout{5000};
  /** Interval between the starts of two loads, limited by the throughput of the weight store. */
  std::chrono::milliseconds load_interval{500};
  /** Failed orders to load one version after which its rollout stops. */
  std::uint32_t max_failures = 2;
};

/**
 * Compares the setups that engines report with the desired setups of the operating document and
 * decides which orders to send. Does not check the lease: the owner calls `NextOrders` only while
 * it holds the lease, and sends the orders at once. An engine that accepted a stale order differs
 * from the document and gets a new order.
 */
class order_reconciler final {
 public:
  explicit order_reconciler(reconcile_options options);

  void OnDocument(const document::document_ptr& document);
  void OnReport(time_point now, const engine_report& report);
  void OnOrderResult(time_point now, const engine_order& order, order_result result);

  /** Restores the failures that an earlier lease holder recorded. */
  void RestoreFailures(const rollout_record& record);

  /** Discards open orders, reports and failures. Called when the fencing number has changed. */
  void Reset();

  /**
   * @param fencing_number fencing number of the lease that the caller holds.
   * @return orders to send now, most urgent first.
   */
  std::vector<engine_order> NextOrders(time_point now, std::uint64_t fencing_number);

  /** @return rollout progress of each model of the document, sorted by model name. */
  std::vector<rollout_record> Rollouts(time_point now) const;

  /** @return endpoints whose reported setup differs from the document. */
  std::vector<endpoint_name> UnconvergedEndpoints(time_point now) const;

  /** Checks that open orders match the document; aborts the process if one does not. */
  void Validate() const;

 private:
  struct open_order {
    std::uint64_t document_version = 0;
    engine_setup desired;
    time_point first_sent_at;
    time_point last_sent_at;
    bool accepted = false;
  };

  struct engine_record {
    std::string failure_domain;
    std::string model;
    engine_setup desired;
    bool leaving = false;
    std::optional<engine_report> report;
    time_point reported_at;
    std::optional<open_order> order;
    /** The engine has reported the present desired setup at least once. */
    bool converged_before = false;
  };

  struct version_progress {
    std::string version;
    std::uint32_t failures = 0;
    std::string reason;
  };

  /** Numbers of engines of one model, in total and by state. */
  struct engine_counts {
    std::uint32_t engines = 0;
    std::uint32_t serving = 0;
    std::uint32_t converged = 0;
  };

  using engine_entry = std::pair<const endpoint_name, engine_record>;

  bool IsReachable(time_point now, const engine_record& engine) const;
  bool IsServing(time_point now, const engine_record& engine) const;
  bool IsConverged(time_point now, const engine_record& engine) const;
  bool HasConvergedBefore(const engine_record& engine) const;
  engine_counts CountEngines(time_point now, const std::string& model) const;
  bool CanStopServing(time_point now, const engine_record& engine) const;
  bool HasOpenOrderInDomain(time_point now, const std::string& failure_domain) const;
  bool IsRolloutStopped(const std::string& model) const;
  bool IsBlockedByServingShare(time_point now, const std::string& model) const;
  bool ShouldSendOrder(time_point now, const engine_record& engine) const;
  void ExpireOrders(time_point now);
  void RecordFailure(const engine_record& engine, std::string reason);
  std::vector<engine_entry*> SortByUrgency(time_point now);
  engine_order MakeOrder(time_point now, engine_entry& engine, std::uint64_t fencing_number);

  const reconcile_options options_;
  document::document_ptr document_;
  std::map<endpoint_name, engine_record> engines_;
  std::map<std::string, version_progress> progress_;
  time_point last_load_at_;
};

}  // namespace tarragon::control

#endif  // TARRAGON_CONTROL_ORDER_RECONCILER_H_
