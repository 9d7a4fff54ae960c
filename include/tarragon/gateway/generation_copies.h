#ifndef TARRAGON_GATEWAY_GENERATION_COPIES_H_
#define TARRAGON_GATEWAY_GENERATION_COPIES_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tarragon/gateway/gateway_state.h"
#include "tarragon/gateway/standby_copy.h"
#include "tarragon/routing/copy_planner.h"
#include "tarragon/routing/endpoint_picker.h"
#include "tarragon/routing/load_reservation.h"

namespace tarragon::gateway {

/** Location of a KV cache copy from which a generation can be resumed. */
struct copy_location {
  /** Endpoint to which the request is sent. */
  std::string endpoint_id;
  /** Reference to the copy, passed in the request. */
  std::string reference;
};

/**
 * Maintains copies of one generation's KV cache at other engines. The serving engine updates a
 * backup from the start of the generation. If the serving engine starts to leave while there is no
 * backup, or while the backup's engine would miss the pause objective, a standby copy is made as
 * well. The generation stays at its engine until the engine ends, and then resumes from a copy
 * after one round trip.
 */
class generation_copies final : public standby_listener {
 public:
  generation_copies(gateway_state& gateway, std::string request_id);
  ~generation_copies() override;

  /**
   * Starts a send to `source`. Copies from an earlier run are kept until `OnRunStarted`.
   * @param requirements requirements on the engines that hold copies.
   * @return address of the engine chosen for the backup; empty for none.
   */
  std::string BeginSend(const routing::endpoint_ptr& source, routing::pick_request requirements);

  /** Called when the engine of the current send has started the generation. */
  void OnRunStarted();

  /** Ends the current send after a failure; copies that exist are kept. */
  void EndSend();

  /** Called when an endpoint starts to leave. */
  void OnEndpointLeaving(const routing::endpoint& endpoint);

  /** @return whether there is a copy to resume from. */
  bool HasCopy() const { return backup_ || standby_location_; }

  /** @return the preferred copy at an engine that accepts work. */
  std::optional<copy_location> FindCopy();

  /** Same, and removes the copy. */
  std::optional<copy_location> TakeCopy();

  /** Frees the standby copy and the reservations of a finished generation. */
  void Release();

  /** @return `backup/standby` engine ids for log lines; `-` for a missing copy. */
  std::string CopyEndpointIds() const;

 private:
  void OnCopyCompleted(const kv_copy& copy) override;
  void OnCopyFailed(routing::copy_failure failure, std::string_view reason) override;

  /** Drops copies at engines that do not accept work. @return the preferred one, or null. */
  std::optional<copy_location>* PreferredCopy();
  bool WantsCopies() const;
  /** Starts a standby copy if the engine is leaving and the planner wants one. */
  void EnsureCopy();
  routing::copy_situation DescribeSituation() const;
  void ScheduleEnsureCopy(duration wait);
  void StartStandby();
  void StopStandby();
  void DropStandby();
  /** @return whether the generation would probably miss its pause objective at that engine. */
  bool MissesPauseObjective(const std::string& endpoint_id) const;

  gateway_state& gateway_;
  std::string request_id_;
  routing::endpoint_ptr source_;
  routing::pick_request requirements_;
  bool running_ = false;

  /** Backup requested in the current send; the engine has not started to copy to it. */
  std::optional<copy_location> requested_backup_;
  /** Maintained by the serving engine, which does not report whether the backup engine has room. */
  std::optional<copy_location> backup_;
  routing::load_reservation backup_reservation_;

  routing::copy_planner planner_;
  /** A timer will call `EnsureCopy`. */
  bool is_copy_scheduled_ = false;
  std::shared_ptr<standby_copy> standby_;
  /** Id of the target endpoint of `standby_`. */
  std::string standby_target_;
  /** Last copy completed by `standby_`. */
  std::optional<copy_location> standby_location_;
  routing::load_reservation standby_reservation_;
  /** Engines at which a standby copy of this generation failed; excluded from the next attempt. */
  std::vector<std::string> rejected_targets_;
  /** False after destruction; checked by timers that outlive the object. */
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_GENERATION_COPIES_H_
