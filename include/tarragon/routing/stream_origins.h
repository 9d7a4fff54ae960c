#ifndef TARRAGON_ROUTING_STREAM_ORIGINS_H_
#define TARRAGON_ROUTING_STREAM_ORIGINS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/routing/software_versions.h"

namespace tarragon::routing {

/** Identifies the attempt of a caller that began a stream. */
struct stream_key {
  std::uint64_t value = 0;

  auto operator<=>(const stream_key&) const = default;
};

/** @param account of the caller, so that accounts cannot name each other's streams. */
stream_key MakeStreamKey(std::string_view account, std::string_view request_id);

/** A stream was sent to an endpoint of this version, and may have begun there. */
struct stream_origin {
  stream_key key;
  software_version version;

  auto operator<=>(const stream_origin&) const = default;
};

/** The stream may go on at endpoints of this version only. */
struct continue_at {
  software_version version;
};
/** Nobody knows which version began the stream. */
struct origin_unknown {};

using take_up_decision = std::variant<continue_at, origin_unknown>;

/**
 * Decides where a stream that a caller takes up may go on.
 * @param recorded versions to which the attempt that began the stream was sent.
 * @param announced all versions of the service at which streams may have begun.
 */
take_up_decision DecideTakeUp(std::span<const software_version> recorded,
                              std::span<const software_version> announced);

/**
 * Remembers to which software versions this daemon has sent streams that their callers may take up,
 * and which of these records the store still lacks. Records are only added, so that the order of
 * writes does not matter: a stream with two recorded versions has an unknown origin.
 */
class stream_origins final {
 public:
  /**
   * Records that a stream is sent.
   * @param keep_until time after which its caller cannot take it up any more.
   * @param for_store whether other daemons need the record.
   */
  void Record(const stream_origin& origin, time_point keep_until, bool for_store);

  /**
   * @return whether the stream may be sent to the version now. A stream that was sent to another
   *     version before waits until the store has the record of the new one: a daemon that finds
   *     only the old record would take the wrong version for the origin.
   */
  bool MaySend(const stream_origin& origin, bool for_store) const;

  /** The endpoint has certainly not run the stream that it was sent. */
  void Retract(const stream_origin& origin);

  /** @return versions at which the stream may have begun; empty if this daemon does not know it. */
  std::vector<software_version> Find(stream_key key) const;

  /** Marks all records of the service as needed by other daemons, as it has a second version. */
  void ShareAll(std::string_view service);

  /** The store has lost what was written. */
  void ShareAgain();

  /** @return up to `count` records that the store lacks, the oldest first. */
  std::vector<stream_origin> Unwritten(std::size_t count) const;
  void OnWritten(std::span<const stream_origin> written);

  /** @return up to `count` written records of streams that cannot be taken up any more. */
  std::vector<stream_origin> Obsolete(std::size_t count) const;
  void OnErased(std::span<const stream_origin> erased);

  /** Forgets the streams that cannot be taken up any more. */
  void Expire(time_point now);

  std::size_t size() const { return streams_.size(); }
  std::size_t unwritten_count() const { return unwritten_.size(); }
  std::size_t obsolete_count() const { return obsolete_.size(); }

  void Validate() const;

 private:
  struct record {
    software_version version;
    bool is_shared = false;
    bool is_written = false;
    /** The stream has not begun at this version; the store may still have the record. */
    bool is_retracted = false;
  };
  struct stream {
    time_point keep_until;
    std::vector<record> records;
  };
  struct expiry {
    time_point at;
    stream_key key;
  };
  struct key_hash {
    std::size_t operator()(const stream_key& key) const { return key.value; }
  };

  record* FindRecord(const stream_origin& origin);
  void Share(stream_key key, record& shared);

  std::unordered_map<stream_key, stream, key_hash> streams_;
  /** Streams in about the order in which they expire. */
  std::deque<expiry> expiries_;
  std::deque<stream_origin> unwritten_;
  std::deque<stream_origin> obsolete_;
};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_STREAM_ORIGINS_H_
