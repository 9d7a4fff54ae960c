#ifndef TARRAGON_ROUTING_RATE_LIMIT_H_
#define TARRAGON_ROUTING_RATE_LIMIT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "tarragon/base/clock.h"

namespace tarragon::routing {

/** What an endpoint has said last about the rate of requests that it takes from all daemons. */
struct limit_statement {
  /**
   * Increases with each change that any daemon sees in the endpoint's answers, so that the
   * statements of daemons can be merged in any order. 0 if the endpoint has never been limited.
   */
  std::uint32_t revision = 0;
  /** Requests per second; empty if the endpoint has ceased to name a rate. */
  std::optional<double> per_second;

  bool operator==(const limit_statement&) const = default;
};

/** @return the later of two statements about an endpoint; of two at once, the lower limit. */
limit_statement Latest(const limit_statement& a, const limit_statement& b);

/** Which requests an endpoint with a limit is to take. */
enum class limit_use : std::uint8_t {
  kWithinLimit,
  /** Streams that have begun and would be lost: an endpoint takes a few beyond its limit. */
  kBegunStream,
};

/** How an answer has changed what is known about an endpoint's limit. */
enum class limit_change : std::uint8_t { kNone, kBegun, kChanged, kEnded };

/**
 * Keeps the requests that all daemons send to an endpoint within the rate that the endpoint names
 * in its answers, and within the rate of its service for cold endpoints while it is cold. Each
 * daemon counts its own sends and learns those of the others some milliseconds later, so that
 * several may send at once when there is room for one; what is sent in excess counts, and is saved
 * afterwards.
 */
class rate_limit final {
 public:
  /** @param per_second requests per second that the answer named; empty if it named none. */
  limit_change RecordAnswer(std::optional<double> per_second);

  void RecordSend(time_point now);

  /** Sets what the other daemons know, and how much they have sent within the window. */
  void SetPeers(time_point now, const limit_statement& statement, std::uint32_t sends);

  /** @param per_second rate of a cold endpoint; empty if the endpoint is warm. */
  void SetColdRate(std::optional<double> per_second) { cold_per_second_ = per_second; }
  bool is_cold() const { return cold_per_second_.has_value(); }

  /** @return the latest statement that is known to any daemon. */
  const limit_statement& statement() const { return statement_; }
  bool is_limited() const { return statement_.per_second.has_value() || is_cold(); }

  /** @return requests that this daemon has sent within `Window`; 0 while there is no limit. */
  std::uint32_t OwnSends(time_point now) const;

  /** @return requests that the endpoint takes now; infinite if there is no limit. */
  double Room(time_point now, limit_use use = limit_use::kWithinLimit) const;

  /** @return whether the endpoint takes one more request now. */
  bool HasRoom(time_point now) const { return Room(now) >= 1; }

  /** @return time for which there has been room and nothing was sent; zero without room. */
  duration UnusedRoomAge(time_point now, limit_use use = limit_use::kWithinLimit) const;

  /** @return estimated time until the endpoint takes one more request; zero if it does now. */
  duration TimeToRoom(time_point now, limit_use use = limit_use::kWithinLimit) const;

 private:
  /**
   * In a shorter window requests arrive more evenly, but sends in excess, which happen once in each
   * window, add up to more.
   */
  static constexpr std::chrono::seconds kMinWindow{4};
  static constexpr std::chrono::seconds kMaxWindow{10};
  /** A cold endpoint crashes if its rate is exceeded within a second. */
  static constexpr std::chrono::seconds kColdWindow{1};
  /** Sent even to an endpoint that takes nothing: only its answers show when it recovers. */
  static constexpr double kMinPerSecond = 0.1;
  /** Answers may name a slightly different rate each time; smaller changes are ignored. */
  static constexpr double kMinRelativeChange = 0.05;
  /**
   * Streams that have begun may exceed what is allowed within the window by this share and number:
   * less than the platform tolerates, as several daemons may send at once.
   */
  static constexpr double kBegunStreamShare = 0.25;
  static constexpr double kBegunStreams = 1;

  /** Requests that the endpoint may get within a time. */
  struct bound {
    double per_second = 0;
    duration window{0};

    double Allowed(limit_use use) const;
  };

  /** Drops the times before the longest window. */
  static void DropOld(time_point now, std::deque<time_point>& sends);
  /** @return what the endpoint's statement allows; empty if it names no rate. */
  std::optional<bound> StatedBound() const;
  /** @return what a cold endpoint bears; empty if the endpoint is warm. */
  std::optional<bound> ColdBound() const;
  /** @return time for which daemons tell each other their sends. */
  duration Window() const;
  std::size_t PeerSends(time_point now) const;
  double Room(time_point now, const bound& in_force, limit_use use) const;
  duration UnusedRoomAge(time_point now, const bound& in_force, limit_use use) const;

  limit_statement statement_;
  std::optional<double> cold_per_second_;
  /** Times of the sends within `kMaxWindow`, the oldest first. */
  std::deque<time_point> sends_;
  /**
   * Times at which sends of the other daemons were first reported, the oldest first. They are kept
   * for the whole window, so that losing the connection to the daemons that have sent makes no
   * room.
   */
  std::deque<time_point> peer_sends_;
};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_RATE_LIMIT_H_
