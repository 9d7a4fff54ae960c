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
  /** An order whose effect is not reported by then is sent again. */
  std::chrono::milliseconds order_retry{2000};
  /** A load that takes longer counts as failed. */
  std::chrono::milliseconds load_timeout{60000};
  /** An engine whose last report is older counts as unreachable. */
  std::chrono::milliseconds report_timeout{5000};
  /** Time between the starts of two loads, from the rate of the weight store. */
  std::chrono::milliseconds load_interval{500};
  /** Failures of one version after which no further engine is ordered to load it. */
  std::uint32_t max_failures = 2;
};

/**
 * Compares what engines report with what the operating document wants and decides which orders to
 * send. Holds no lease: the owner calls `Next` only while it holds one, and sends the orders at
 * once. An engine that took a stale order differs from the document and is ordered back.
 */
class order_reconciler final {
 public:
  explicit order_reconciler(reconcile_options options);

  void OnDocument(const document::document_ptr& document);
  void OnReport(time_point now, const engine_report& report);
  void OnAnswer(time_point now, const engine_order& order, order_answer answer);

  /** Restores the progress that an earlier holder recorded. */
  void Restore(const rollout_record& record);

  /** Forgets open orders and progress, after a time without the lease. */
  void Reset();

  /**
   * @param fencing_number the caller's tenure.
   * @return orders to send now, most urgent first.
   */
  std::vector<engine_order> Next(time_point now, std::uint64_t fencing_number);

  /** @return progress of all models of the document, in order of name. */
  std::vector<rollout_record> Rollouts(time_point now) const;

  /** @return endpoints whose reported setup differs from the document. */
  std::vector<endpoint_name> Unconverged(time_point now) const;

  /** Checks the bounds on open orders. */
  void Validate() const;

 private:
  struct open_order {
    std::uint64_t document_version = 0;
    engine_setup wanted;
    time_point sent;
    time_point last_sent;
    bool accepted = false;
  };

  struct engine_record {
    std::string failure_domain;
    std::string model;
    engine_setup wanted;
    bool leaving = false;
    std::optional<engine_report> report;
    time_point reported;
    std::optional<open_order> order;
    /** The engine had the wanted setup since the wanted setup last changed. */
    bool converged_once = false;
  };

  struct version_progress {
    std::string version;
    std::uint32_t failures = 0;
    std::string reason;
  };

  /** Engines of one model, counted for the bounds of a rollout. */
  struct model_count {
    std::uint32_t engines = 0;
    std::uint32_t serving = 0;
    std::uint32_t converged = 0;
  };

  using engine_entry = std::pair<const endpoint_name, engine_record>;

  bool IsReachable(time_point now, const engine_record& engine) const;
  bool IsServing(time_point now, const engine_record& engine) const;
  bool IsConverged(time_point now, const engine_record& engine) const;
  bool IsCorrection(const engine_record& engine) const;
  model_count Count(time_point now, const std::string& model) const;
  bool MayStop(time_point now, const engine_record& engine) const;
  bool IsDomainBusy(time_point now, const std::string& failure_domain) const;
  bool IsStopped(const std::string& model) const;
  bool IsHeldByServingShare(time_point now, const std::string& model) const;
  bool MayOrder(time_point now, const engine_record& engine) const;
  void ExpireOrders(time_point now);
  void CountFailure(const engine_record& engine, std::string reason);
  std::vector<engine_entry*> ByUrgency(time_point now);
  engine_order MakeOrder(time_point now, engine_entry& engine, std::uint64_t fencing_number);

  const reconcile_options options_;
  document::document_ptr document_;
  std::map<endpoint_name, engine_record> engines_;
  std::map<std::string, version_progress> progress_;
  time_point last_load_;
};

}  // namespace tarragon::control

#endif  // TARRAGON_CONTROL_ORDER_RECONCILER_H_
