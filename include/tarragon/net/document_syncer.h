#ifndef TARRAGON_NET_DOCUMENT_SYNCER_H_
#define TARRAGON_NET_DOCUMENT_SYNCER_H_

#include <chrono>
#include <functional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "tarragon/base/bounded_ring.h"
#include "tarragon/base/clock.h"
#include "tarragon/document/document_replica.h"
#include "tarragon/membership/swim_member.h"
#include "tarragon/store/document_service.h"

namespace tarragon {
class metrics;
}

namespace tarragon::net {

struct syncer_options {
  /** Fleet key of the document exchange. */
  std::string key;
  /** Interval between reads of the head row in fleets of up to `members_at_base_interval`. */
  std::chrono::milliseconds head_read_interval{5000};
  /**
   * Above this number of members, the interval grows in proportion, which bounds the read rate of
   * the platform: 65 members every 5 s and 390 every 30 s both make 13 reads/s.
   */
  std::size_t members_at_base_interval = 65;
  std::chrono::milliseconds fetch_timeout{500};
  /** Delay between attempts to load the first document. */
  std::chrono::milliseconds initial_load_retry_interval{250};
};

/**
 * Keeps the replica up to date on its own thread. It loads the first document from the platform or
 * a peer, fetches newer versions from the peer that announced them, and polls the head row slowly.
 */
class document_syncer final {
 public:
  /** @return the other members known by gossip, with their document addresses. */
  using member_source = std::function<std::vector<membership::member_view>()>;

  /** References must outlive the syncer. @param seed seed of the jitter. */
  document_syncer(syncer_options options,
                  document::document_replica& replica,
                  store::document_service& service,
                  member_source members,
                  const clock& time,
                  metrics& counters,
                  std::uint64_t seed);
  ~document_syncer();

  void Start();
  void Stop();

  /** Queues the announcement of a newer version. Never blocks; thread-safe. */
  void OnNewerDocument(const membership::newer_document& announcement);

  /** @return whether a document is in force. */
  bool IsReady() const { return replica_.Version() > 0; }

  /** Reads the head row and, if it is newer, the document. Public for tests. */
  void PollPlatformHead();
  /** Fetches an announced version from the peer or, if that fails, from the platform. */
  void FetchAnnouncedVersion(const membership::newer_document& announcement);
  /** Tries to load the first document from the platform, then from the peers. */
  void LoadInitialDocument();

 private:
  void Run();
  bool LoadFromPlatform();
  bool FetchFromPeer(const wire::peer_address& peer);
  bool Adopt(const document::document_ptr& candidate, const char* source);
  duration NextHeadReadInterval();

  syncer_options options_;
  document::document_replica& replica_;
  store::document_service& service_;
  member_source members_;
  const clock& time_;
  metrics& counters_;
  std::mt19937_64 random_;
  bounded_ring<membership::newer_document> announcements_;
  std::jthread thread_;
};

}  // namespace tarragon::net

#endif  // TARRAGON_NET_DOCUMENT_SYNCER_H_
