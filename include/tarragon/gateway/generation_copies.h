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
#include "tarragon/routing/endpoint_picker.h"
#include "tarragon/routing/load_reservation.h"

namespace tarragon::gateway {

/** A copy of a generation's memory from which it can go on. */
struct copy_place {
  /** Endpoint to send the request to. */
  std::string endpoint_id;
  /** What the request names the copy with. */
  std::string reference;
};

/**
 * Keeps copies of one generation's memory at other engines, and decides which are worth their room:
 * a backup that the engine keeps in step from the start, and, if the engine leaves when no backup
 * is left or the backup's engine pauses too long, a standby copy. A generation stays where it is
 * until its engine ends, and then goes on from a copy after one round trip.
 */
class generation_copies final : public standby_listener {
 public:
  generation_copies(gateway_state& gateway, std::string request_id);
  ~generation_copies() override;

  /**
   * A send to `source` begins; copies of an earlier run stay until `RunBegan`.
   * @param wanted what the request needs of an engine.
   * @return address of the engine that is to keep a backup; empty for none.
   */
  std::string Begin(const routing::endpoint_ptr& source, routing::pick_request wanted);

  /** The engine of the present send has begun the generation. */
  void RunBegan();

  /** The present send has failed; its copies stay. */
  void SendEnded();

  /** An endpoint begins to leave. */
  void EndpointLeaving(const routing::endpoint& which);

  /** @return whether there is a copy to go on from. */
  bool Has() const { return backup_ || standby_place_; }

  /** Takes the best copy whose engine takes work; it can be used once. */
  std::optional<copy_place> Take();

  /** Frees what the finished generation no longer needs. */
  void Free();

  /** @return ids of the engines with a backup and a standby copy, for log lines. */
  std::string Names() const;

 private:
  void OnCopy(const memory_copy& copy) override;
  void OnCopyFailed(std::string_view reason) override;

  bool WantsCopies() const;
  /** Begins a standby copy if the engine leaves and the generation has no good copy. */
  void EnsureCopy();
  void EnsureCopyAfter(duration wait);
  void StartStandby();
  void StopStandby();
  void DropStandby();
  /** @return whether the generation is likely to pause too long at that engine. */
  bool PausesTooLong(const std::string& endpoint_id) const;

  gateway_state& gateway_;
  std::string request_id_;
  routing::endpoint_ptr source_;
  routing::pick_request wanted_;
  bool running_ = false;

  /** Named to the engine of the present send, which has not begun to send the memory there. */
  std::optional<copy_place> named_backup_;
  /** Kept in step by the engine; it says nothing if the backup engine has no room. */
  std::optional<copy_place> backup_;
  routing::load_reservation backup_booking_;

  std::shared_ptr<standby_copy> standby_;
  /** Id of the endpoint that `standby_` copies to. */
  std::string standby_target_;
  /** Last copy that `standby_` has completed. */
  std::optional<copy_place> standby_place_;
  routing::load_reservation standby_booking_;
  /** Engines that took no copy of the generation. */
  std::vector<std::string> refused_;
  /** Tells a timer that outlives the object that it does. */
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_GENERATION_COPIES_H_
