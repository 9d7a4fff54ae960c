#include "tarragon/gateway/generation_copies.h"

#include <fmt/format.h>

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <iterator>
#include <utility>
#include <variant>

namespace tarragon::gateway {

namespace {

/** Shorter generations do not justify the KV cache space that a copy occupies. */
constexpr std::uint32_t kMinTokensForCopies = 1500;

std::string_view FailureName(routing::copy_failure failure) {
  switch (failure) {
    case routing::copy_failure::kSourceRefused:
      return "source_refused";
    case routing::copy_failure::kNoSuchRun:
      return "no_such_run";
    case routing::copy_failure::kNoResponse:
      return "no_response";
    case routing::copy_failure::kBusy:
      return "busy";
    case routing::copy_failure::kNoRoom:
      return "no_room";
  }
  return "unknown";
}

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
  // What one version of the software has written cannot be read by another.
  requirements_.software_version = source->entry.software_version;
  running_ = false;
  planner_.BeginRun();
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

routing::copy_situation generation_copies::DescribeSituation() const {
  return {.leaving_for = gateway_.time.Now() - *source_->leaving_since,
          .has_backup = backup_.has_value(),
          .backup_misses_objective = backup_ && MissesPauseObjective(backup_->endpoint_id)};
}

void generation_copies::EnsureCopy() {
  struct visitor {
    generation_copies& copies;

    void operator()(routing::no_copy) const {}
    void operator()(routing::copy_now) const { copies.StartStandby(); }
    void operator()(routing::copy_after after) const { copies.ScheduleEnsureCopy(after.delay); }
  };
  if (running_ && !standby_ && source_->leaving_since) {
    std::visit(visitor{*this}, planner_.Plan(DescribeSituation()));
  }
}

void generation_copies::ScheduleEnsureCopy(duration wait) {
  if (std::exchange(is_copy_scheduled_, true)) {
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(gateway_.loop, wait);
  timer->async_wait([this, alive = alive_, timer](const asio::error_code&) {
    if (*alive) {
      is_copy_scheduled_ = false;
      planner_.OnDelayPassed();
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
  standby_ = std::make_shared<standby_copy>(gateway_, source_->entry.address, *std::move(copy_call),
                                            *this);
  gateway_.log.LogRequest("standby_started", {{"request", request_id_},
                                              {"from", source_->entry.id},
                                              {"to", standby_target_},
                                              {"room", pick.has_capacity},
                                              {"tokens", requirements_.size.tokens()}});
  standby_->Start();
}

void generation_copies::OnCopyCompleted(const kv_copy& copy) {
  planner_.OnCompleted();
  standby_location_ = copy_location{
      standby_target_, gateway_.adapter.KvCopyReference(standby_->source_address(), copy.handle)};
}

void generation_copies::OnCopyFailed(routing::copy_failure failure, std::string_view reason) {
  planner_.OnFailure(failure);
  gateway_.counters
      .Counter("tarragon_gateway_failed_copies_total",
               fmt::format("reason=\"{}\"", FailureName(failure)))
      .Add();
  gateway_.log.LogRequest("standby_failed",
                          {{"request", request_id_}, {"to", standby_target_}, {"reason", reason}});
  rejected_targets_.push_back(standby_target_);
  standby_.reset();
  if (standby_location_) {
    return;
  }
  standby_reservation_.Release();
  if (planner_.is_new_round()) {
    rejected_targets_.clear();
  }
  EnsureCopy();
}

std::optional<copy_location>* generation_copies::PreferredCopy() {
  // The standby copy is preferred because its engine has confirmed it.
  for (std::optional<copy_location>* candidate : {&standby_location_, &backup_}) {
    const routing::endpoint_ptr engine =
        *candidate ? gateway_.endpoints.Find((*candidate)->endpoint_id) : nullptr;
    if (engine && engine->accepts_work() &&
        engine->entry.software_version == source_->entry.software_version) {
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
