#include "tarragon/net/document_syncer.h"

#include <algorithm>
#include <utility>

#include "tarragon/base/log.h"
#include "tarragon/base/metrics.h"
#include "tarragon/net/document_client.h"

namespace tarragon::net {

namespace {

// Every datagram repeats the announcement, so a dropped one is received again.
constexpr std::size_t kMaxQueuedAnnouncements = 64;
// Share of the interval by which reads vary, so that the members do not read at the same time.
constexpr double kJitterShare = 0.2;

}  // namespace

document_syncer::document_syncer(syncer_options options,
                                 document::document_replica& replica,
                                 store::document_service& service,
                                 member_source members,
                                 const clock& time,
                                 metrics& counters,
                                 std::uint64_t seed)
    : options_(std::move(options)),
      replica_(replica),
      service_(service),
      members_(std::move(members)),
      time_(time),
      counters_(counters),
      random_(seed),
      announcements_(kMaxQueuedAnnouncements) {}

document_syncer::~document_syncer() {
  Stop();
}

void document_syncer::Start() {
  thread_ = std::jthread([this] { Run(); });
}

void document_syncer::Stop() {
  announcements_.Close();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void document_syncer::OnNewerDocument(const membership::newer_document& announcement) {
  if (announcement.version > replica_.Version()) {
    announcements_.TryPush(membership::newer_document(announcement));
  }
}

void document_syncer::Run() {
  while (!announcements_.IsClosed() && !IsReady()) {
    LoadInitialDocument();
    if (!IsReady()) {
      announcements_.Pop(options_.initial_load_retry_interval);
    }
  }
  time_point next_head_read = time_.Now();
  while (!announcements_.IsClosed()) {
    if (time_.Now() >= next_head_read) {
      PollPlatformHead();
      next_head_read = time_.Now() + NextHeadReadInterval();
    }
    const auto announcement =
        announcements_.Pop(std::max(duration::zero(), next_head_read - time_.Now()));
    if (announcement) {
      FetchAnnouncedVersion(*announcement);
    }
  }
}

void document_syncer::LoadInitialDocument() {
  if (LoadFromPlatform()) {
    return;
  }
  for (const membership::member_view& member : members_()) {
    wire::peer_address peer = member.gossip;
    peer.port = member.document_port;
    if (member.state == wire::member_state::kAlive && FetchFromPeer(peer)) {
      return;
    }
  }
}

void document_syncer::FetchAnnouncedVersion(const membership::newer_document& announcement) {
  // Several members announce the same version; an earlier announcement may have been handled.
  if (announcement.version <= replica_.Version() || FetchFromPeer(announcement.document_address)) {
    return;
  }
  LoadFromPlatform();
}

void document_syncer::PollPlatformHead() {
  const auto head = service_.ReadHead();
  if (head.has_error()) {
    counters_.Counter("tarragon_document_head_errors_total").Add();
  } else if (head.value().version > replica_.Version()) {
    LoadFromPlatform();
  } else if (head.value().version < replica_.Version()) {
    counters_.Counter("tarragon_document_head_behind_total").Add();
  } else {
    replica_.Confirm(time_.Now(), head.value().version);
  }
  const auto confirmed_or_adopted_at =
      replica_.ConfirmedAt() ? replica_.ConfirmedAt() : replica_.InForceSince();
  const duration unconfirmed_time =
      confirmed_or_adopted_at ? time_.Now() - *confirmed_or_adopted_at : duration::zero();
  counters_.Gauge("tarragon_document_unconfirmed_ms")
      .Set(std::chrono::duration_cast<std::chrono::milliseconds>(unconfirmed_time).count());
}

bool document_syncer::LoadFromPlatform() {
  const auto loaded = service_.LoadDocument();
  if (loaded.has_error()) {
    counters_.Counter("tarragon_document_load_errors_total").Add();
    return false;
  }
  const bool adopted = Adopt(loaded.value(), "platform");
  replica_.Confirm(time_.Now(), loaded.value()->version());
  return adopted;
}

bool document_syncer::FetchFromPeer(const wire::peer_address& peer) {
  const document::document_ptr fetched =
      FetchDocument(peer, options_.key, replica_.Current(), options_.fetch_timeout);
  if (fetched == nullptr) {
    counters_.Counter("tarragon_document_fetch_errors_total").Add();
    return false;
  }
  return Adopt(fetched, "peer");
}

bool document_syncer::Adopt(const document::document_ptr& candidate, const char* source) {
  switch (replica_.Offer(time_.Now(), candidate)) {
    case document::offer_outcome::kAdopted:
      counters_.Gauge("tarragon_document_version")
          .Set(static_cast<std::int64_t>(candidate->version()));
      LogEvent("document_adopted", {{"version", candidate->version()}, {"source", source}});
      return true;
    case document::offer_outcome::kInconsistent:
      counters_.Counter("tarragon_document_inconsistent_total").Add();
      LogEvent("document_inconsistent", {{"version", candidate->version()}, {"source", source}});
      return false;
    case document::offer_outcome::kSame:
    case document::offer_outcome::kOlder:
      return true;
  }
  return false;
}

duration document_syncer::NextHeadReadInterval() {
  const double members = static_cast<double>(members_().size()) + 1;
  const double factor =
      std::max(1.0, members / static_cast<double>(options_.members_at_base_interval));
  std::uniform_real_distribution<double> jitter(1 - kJitterShare, 1 + kJitterShare);
  return std::chrono::duration_cast<duration>(options_.head_read_interval *
                                              (factor * jitter(random_)));
}

}  // namespace tarragon::net
