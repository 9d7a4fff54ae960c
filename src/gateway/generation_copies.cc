#include "tarragon/gateway/generation_copies.h"

#include <fmt/format.h>

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <iterator>
#include <utility>

namespace tarragon::gateway {

namespace {

/** A copy takes a second engine's room, which short generations do not repay. */
constexpr std::uint32_t kMinTokens = 1500;

/** Engines that are asked in turn to take a copy; an engine that leaves gives about this much time.
 */
constexpr std::size_t kMaxStandbyTries = 4;
/** Time after which full engines are asked again; generations end every few hundred ms. */
constexpr std::chrono::milliseconds kStandbyPause{400};

/**
 * Time after a notice in which only generations without a backup are copied. All copies of an
 * engine share its link: eight of them take 1.5 s, most of the notice.
 */
constexpr std::chrono::milliseconds kUnprotectedFirst{400};

}  // namespace

generation_copies::generation_copies(gateway_state& gateway, std::string request_id)
    : gateway_(gateway), request_id_(std::move(request_id)) {}

generation_copies::~generation_copies() {
  *alive_ = false;
  SendEnded();
}

bool generation_copies::WantsCopies() const {
  return wanted_.engine != nullptr && wanted_.size.tokens() >= kMinTokens;
}

std::string generation_copies::Begin(const routing::endpoint_ptr& source,
                                     routing::pick_request wanted) {
  source_ = source;
  wanted_ = std::move(wanted);
  wanted_.excluded.push_back(source->entry.id);
  running_ = false;
  named_backup_.reset();
  backup_booking_.Release();
  standby_booking_.Release();
  refused_.clear();
  if (!WantsCopies() || !wanted_.engine->supports_backups) {
    return {};
  }
  const routing::pick_result pick =
      gateway_.picker.PickCopyTarget(gateway_.time.Now(), gateway_.endpoints, wanted_,
                                     routing::copy_purpose::kBackup, gateway_.random());
  if (!pick.chosen || !pick.has_capacity) {
    return {};
  }
  const std::string& address = pick.chosen->entry.address;
  named_backup_ =
      copy_place{pick.chosen->entry.id, gateway_.adapter.CopyReference(address, request_id_)};
  backup_booking_ = {pick.chosen, {.tokens = wanted_.size.tokens()}};
  return address;
}

void generation_copies::RunBegan() {
  running_ = true;
  // Copies of an earlier run lack what this one adds. The engine sends the memory to the backup
  // only while it runs the generation.
  backup_ = std::exchange(named_backup_, std::nullopt);
  standby_place_.reset();
  EnsureCopy();
}

void generation_copies::SendEnded() {
  running_ = false;
  StopStandby();
}

void generation_copies::StopStandby() {
  if (standby_) {
    standby_->Cancel();
    standby_.reset();
  }
}

void generation_copies::EndpointLeaving(const routing::endpoint& which) {
  const auto is_there = [&](const std::optional<copy_place>& place) {
    return place && place->endpoint_id == which.entry.id;
  };
  if (is_there(named_backup_) || is_there(backup_)) {
    named_backup_.reset();
    backup_.reset();
    backup_booking_.Release();
  }
  if (standby_target_ == which.entry.id) {
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
  // A second copy beside a good backup would take memory that running generations need.
  if (!PausesTooLong(backup_->endpoint_id)) {
    return;
  }
  const duration wait = *source_->leaving_since + kUnprotectedFirst - gateway_.time.Now();
  if (wait <= duration::zero()) {
    StartStandby();
  } else {
    EnsureCopyAfter(wait);
  }
}

void generation_copies::EnsureCopyAfter(duration wait) {
  auto timer = std::make_shared<asio::steady_timer>(gateway_.loop, wait);
  timer->async_wait([this, alive = alive_, timer](const asio::error_code&) {
    if (*alive) {
      EnsureCopy();
    }
  });
}

bool generation_copies::PausesTooLong(const std::string& endpoint_id) const {
  const routing::endpoint_ptr engine = gateway_.endpoints.Find(endpoint_id);
  return engine &&
         routing::endpoint_picker::MissesPauseObjective(gateway_.endpoints, *engine, wanted_)
             .value_or(false);
}

void generation_copies::DropStandby() {
  StopStandby();
  standby_target_.clear();
  standby_place_.reset();
  standby_booking_.Release();
}

void generation_copies::StartStandby() {
  if (!WantsCopies() || !wanted_.engine->supports_migration) {
    return;
  }
  routing::pick_request wanted = wanted_;
  std::ranges::copy(refused_, std::back_inserter(wanted.excluded));
  // Copies between failure domains take twice as long, and the notice is short.
  wanted.preferred_failure_domain = source_->entry.failure_domain;
  const routing::pick_result pick =
      gateway_.picker.PickCopyTarget(gateway_.time.Now(), gateway_.endpoints, wanted,
                                     routing::copy_purpose::kStandby, gateway_.random());
  const bool better_than_backup =
      pick.chosen && pick.has_capacity && !PausesTooLong(pick.chosen->entry.id);
  if (!pick.chosen || (backup_ && !better_than_backup)) {
    return;
  }
  standby_target_ = pick.chosen->entry.id;
  standby_booking_ = {pick.chosen,
                      {.requests = 1, .tokens = wanted_.size.tokens(), .long_streams = 1}};
  standby_ = std::make_shared<standby_copy>(gateway_.loop, gateway_.adapter, source_->entry.address,
                                            pick.chosen->entry.address, request_id_, *this);
  gateway_.log.Request("standby_started", {{"request", request_id_},
                                           {"from", source_->entry.id},
                                           {"to", standby_target_},
                                           {"room", pick.has_capacity},
                                           {"tokens", wanted_.size.tokens()}});
  standby_->Start();
}

void generation_copies::OnCopy(const memory_copy& copy) {
  standby_place_ = copy_place{
      standby_target_, gateway_.adapter.CopyReference(standby_->source_address(), copy.handle)};
}

void generation_copies::OnCopyFailed(std::string_view reason) {
  gateway_.log.Request("standby_failed",
                       {{"request", request_id_}, {"to", standby_target_}, {"reason", reason}});
  refused_.push_back(standby_target_);
  standby_.reset();
  if (standby_place_) {
    return;
  }
  standby_booking_.Release();
  if (refused_.size() < kMaxStandbyTries) {
    EnsureCopy();
    return;
  }
  refused_.clear();
  EnsureCopyAfter(kStandbyPause);
}

std::optional<copy_place> generation_copies::Take() {
  // The standby comes first, as its engine has confirmed it.
  for (std::optional<copy_place>* kept : {&standby_place_, &backup_}) {
    std::optional<copy_place> place = std::exchange(*kept, std::nullopt);
    const routing::endpoint_ptr engine =
        place ? gateway_.endpoints.Find(place->endpoint_id) : nullptr;
    if (engine && engine->accepts_work()) {
      return place;
    }
  }
  return std::nullopt;
}

void generation_copies::Free() {
  if (standby_) {
    standby_->Free();
    standby_.reset();
  }
  running_ = false;
  backup_booking_.Release();
  standby_booking_.Release();
}

std::string generation_copies::Names() const {
  return fmt::format("{}/{}", backup_ ? backup_->endpoint_id : "-",
                     standby_place_ ? standby_place_->endpoint_id : "-");
}

}  // namespace tarragon::gateway
