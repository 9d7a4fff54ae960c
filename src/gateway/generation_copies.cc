#include "tarragon/gateway/generation_copies.h"

#include <fmt/format.h>

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <iterator>
#include <utility>

namespace tarragon::gateway {

namespace {

/** Shorter generations do not justify the KV cache space that a copy occupies. */
constexpr std::uint32_t kMinTokensForCopies = 1500;

/**
 * Failed standby copies, each at another engine, after which the next one waits for
 * `kStandbyRetryDelay`. The notice period of a leaving engine has time for about this many.
 */
constexpr std::size_t kMaxStandbyAttempts = 4;
/** Delay before full engines are asked again; generations end every few hundred ms. */
constexpr std::chrono::milliseconds kStandbyRetryDelay{400};

/**
 * Time after an engine starts to leave in which only generations without a backup are copied. All
 * copies share the engine's link: eight copies take 1.5 s, most of the notice period.
 */
constexpr std::chrono::milliseconds kUnprotectedPriorityPeriod{400};

}  // namespace

generation_copies::generation_copies(gateway_state& gateway, std::string request_id)
    : gateway_(gateway), request_id_(std::move(request_id)) {}

generation_copies::~generation_copies() {
  *alive_ = false;
  EndSend();
}

bool generation_copies::WantsCopies() const {
  return requirements_.engine != nullptr && requirements_.size.tokens() >= kMinTokensForCopies;
}

std::string generation_copies::BeginSend(const routing::endpoint_ptr& source,
                                         routing::pick_request requirements) {
  source_ = source;
  requirements_ = std::move(requirements);
  requirements_.excluded.push_back(source->entry.id);
  running_ = false;
  requested_backup_.reset();
  backup_reservation_.Release();
  standby_reservation_.Release();
  rejected_targets_.clear();
  if (!WantsCopies() || !requirements_.engine->supports_backups) {
    return {};
  }
  const routing::pick_result pick =
      gateway_.picker.PickCopyTarget(gateway_.time.Now(), gateway_.endpoints, requirements_,
                                     routing::copy_purpose::kBackup, gateway_.random());
  if (!pick.chosen || !pick.has_capacity) {
    return {};
  }
  const std::string& address = pick.chosen->entry.address;
  requested_backup_ =
      copy_location{pick.chosen->entry.id, gateway_.adapter.KvCopyReference(address, request_id_)};
  backup_reservation_ = {pick.chosen, {.tokens = requirements_.size.tokens()}};
  gateway_.used_endpoints.Add(pick.chosen);
  return address;
}

void generation_copies::OnRunStarted() {
  running_ = true;
  // Copies from an earlier run lack the output of this run. The engine updates the backup only
  // while it runs the generation.
  backup_ = std::exchange(requested_backup_, std::nullopt);
  standby_location_.reset();
  EnsureCopy();
}

void generation_copies::EndSend() {
  running_ = false;
  StopStandby();
}

void generation_copies::StopStandby() {
  if (standby_) {
    standby_->Cancel();
    standby_.reset();
  }
}

void generation_copies::OnEndpointLeaving(const routing::endpoint& endpoint) {
  const auto is_at_endpoint = [&](const std::optional<copy_location>& location) {
    return location && location->endpoint_id == endpoint.entry.id;
  };
  if (is_at_endpoint(requested_backup_) || is_at_endpoint(backup_)) {
    requested_backup_.reset();
    backup_.reset();
    backup_reservation_.Release();
  }
  if (standby_target_ == endpoint.entry.id) {
    DropStandby();
  }
  EnsureCopy();
}

void generation_copies::EnsureCopy() {
  if (!running_ || standby_ || !source_->leaving_since) {
    return;
  }
  if (!backup_) {
    StartStandby();
    return;
  }
  // A standby copy besides an adequate backup would use KV cache that running generations need.
  if (!MissesPauseObjective(backup_->endpoint_id)) {
    return;
  }
  const duration wait = *source_->leaving_since + kUnprotectedPriorityPeriod - gateway_.time.Now();
  if (wait <= duration::zero()) {
    StartStandby();
  } else {
    ScheduleEnsureCopy(wait);
  }
}

void generation_copies::ScheduleEnsureCopy(duration wait) {
  auto timer = std::make_shared<asio::steady_timer>(gateway_.loop, wait);
  timer->async_wait([this, alive = alive_, timer](const asio::error_code&) {
    if (*alive) {
      EnsureCopy();
    }
  });
}

bool generation_copies::MissesPauseObjective(const std::string& endpoint_id) const {
  const routing::endpoint_ptr engine = gateway_.endpoints.Find(endpoint_id);
  return engine &&
         routing::endpoint_picker::MissesPauseObjective(gateway_.endpoints, *engine, requirements_)
             .value_or(false);
}

void generation_copies::DropStandby() {
  StopStandby();
  standby_target_.clear();
  standby_location_.reset();
  standby_reservation_.Release();
}

void generation_copies::StartStandby() {
  if (!WantsCopies() || !requirements_.engine->supports_migration) {
    return;
  }
  routing::pick_request requirements = requirements_;
  std::ranges::copy(rejected_targets_, std::back_inserter(requirements.excluded));
  // Copying to another failure domain takes twice as long, and the notice period is short.
  requirements.preferred_failure_domain = source_->entry.failure_domain;
  const routing::pick_result pick =
      gateway_.picker.PickCopyTarget(gateway_.time.Now(), gateway_.endpoints, requirements,
                                     routing::copy_purpose::kStandby, gateway_.random());
  const bool better_than_backup =
      pick.chosen && pick.has_capacity && !MissesPauseObjective(pick.chosen->entry.id);
  if (!pick.chosen || (backup_ && !better_than_backup)) {
    return;
  }
  std::optional<service_call> copy_call =
      gateway_.adapter.CopyKvCacheCall(request_id_, pick.chosen->entry.address);
  if (!copy_call) {
    gateway_.log.LogRequest("standby_failed", {{"request", request_id_},
                                               {"to", pick.chosen->entry.id},
                                               {"reason", "the call cannot name the request"}});
    return;
  }
  standby_target_ = pick.chosen->entry.id;
  standby_reservation_ = {
      pick.chosen, {.requests = 1, .tokens = requirements_.size.tokens(), .long_streams = 1}};
  gateway_.used_endpoints.Add(pick.chosen);
  standby_ = std::make_shared<standby_copy>(gateway_.loop, gateway_.adapter, source_->entry.address,
                                            *std::move(copy_call), *this);
  gateway_.log.LogRequest("standby_started", {{"request", request_id_},
                                              {"from", source_->entry.id},
                                              {"to", standby_target_},
                                              {"room", pick.has_capacity},
                                              {"tokens", requirements_.size.tokens()}});
  standby_->Start();
}

void generation_copies::OnCopyCompleted(const kv_copy& copy) {
  standby_location_ = copy_location{
      standby_target_, gateway_.adapter.KvCopyReference(standby_->source_address(), copy.handle)};
}

void generation_copies::OnCopyFailed(std::string_view reason) {
  gateway_.log.LogRequest("standby_failed",
                          {{"request", request_id_}, {"to", standby_target_}, {"reason", reason}});
  rejected_targets_.push_back(standby_target_);
  standby_.reset();
  if (standby_location_) {
    return;
  }
  standby_reservation_.Release();
  if (rejected_targets_.size() < kMaxStandbyAttempts) {
    EnsureCopy();
    return;
  }
  rejected_targets_.clear();
  ScheduleEnsureCopy(kStandbyRetryDelay);
}

std::optional<copy_location>* generation_copies::PreferredCopy() {
  // The standby copy is preferred because its engine has confirmed it.
  for (std::optional<copy_location>* candidate : {&standby_location_, &backup_}) {
    const routing::endpoint_ptr engine =
        *candidate ? gateway_.endpoints.Find((*candidate)->endpoint_id) : nullptr;
    if (engine && engine->accepts_work()) {
      return candidate;
    }
    candidate->reset();
  }
  return nullptr;
}

std::optional<copy_location> generation_copies::FindCopy() {
  const std::optional<copy_location>* const found = PreferredCopy();
  return found != nullptr ? *found : std::nullopt;
}

std::optional<copy_location> generation_copies::TakeCopy() {
  std::optional<copy_location>* const found = PreferredCopy();
  return found != nullptr ? std::exchange(*found, std::nullopt) : std::nullopt;
}

void generation_copies::Release() {
  if (standby_) {
    standby_->Free();
    standby_.reset();
  }
  running_ = false;
  backup_reservation_.Release();
  standby_reservation_.Release();
}

std::string generation_copies::CopyEndpointIds() const {
  return fmt::format("{}/{}", backup_ ? backup_->endpoint_id : "-",
                     standby_location_ ? standby_location_->endpoint_id : "-");
}

}  // namespace tarragon::gateway
