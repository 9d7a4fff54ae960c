#ifndef TARRAGON_FAKES_FAKE_ENDPOINT_GENERATION_STORE_H_
#define TARRAGON_FAKES_FAKE_ENDPOINT_GENERATION_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "tarragon/base/clock.h"
#include "tarragon/base/ids.h"

namespace tarragon::fakes {

enum class generation_state : std::uint8_t { kActive, kFinished, kCancelled };

/** Tokens that a reader of a generation can send next, and the state of the generation. */
struct generation_progress {
  /** Times at which the tokens from the requested index on were produced. */
  std::vector<time_point> produced_at;
  generation_state state = generation_state::kActive;
  std::string finish_reason;
};

/** Entry of a generation in `GET /stats`. */
struct generation_summary {
  generation_id id;
  std::uint32_t tokens = 0;
  std::uint32_t prompt_tokens = 0;
  int priority = 0;
  int attached = 0;
  generation_state state = generation_state::kActive;
};

std::string_view ToString(generation_state state);

/** @return text of a token; it identifies the index and the generation. */
std::string TokenText(const generation_id& id, std::uint32_t index);

/** One generation; it outlives the connections that read it. Thread-safe. */
class generation final {
 public:
  generation(generation_id id, std::uint32_t prompt_tokens, int priority, time_point now);

  const generation_id& id() const { return id_; }

  /** @param finish_reason empty unless this is the last token. */
  void Append(time_point now, std::string finish_reason);
  /** Ends the generation without another token. */
  void End(generation_state state, std::string finish_reason, time_point now);

  void Attach();
  void Detach(time_point now);

  /** Waits up to `wait` for the token at index `from` or for the end of the generation. */
  generation_progress WaitFor(std::uint32_t from, duration wait);

  /** @return whether the generation is active and has had no reader for `limit`. */
  bool IsOrphan(time_point now, duration limit) const;
  /** @return whether the generation ended more than `limit` ago. */
  bool IsExpired(time_point now, duration limit) const;
  bool IsActive() const;

  /** Releases the tokens, which can no longer be read. */
  void ReleaseTokens();

  generation_summary Summary() const;

 private:
  const generation_id id_;
  const std::uint32_t prompt_tokens_;
  const int priority_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<time_point> produced_at_;
  std::uint32_t tokens_ = 0;
  generation_state state_ = generation_state::kActive;
  std::string finish_reason_;
  int attached_ = 0;
  time_point attachment_changed_at_;
  time_point ended_at_{};
};

using generation_ptr = std::shared_ptr<generation>;

/** All generations that ever ran, by id. Thread-safe. */
class generation_store final {
 public:
  /** @param retention time for which a generation can be read after its end. */
  explicit generation_store(duration retention);

  /** @return a new generation, or null if the id is known, even if it has expired. */
  generation_ptr Add(const generation_id& id,
                     std::uint32_t prompt_tokens,
                     int priority,
                     time_point now);

  /** Removes a generation that was not accepted. */
  void Remove(const generation_id& id);

  /** @return the generation, or null if it is unknown or expired. */
  generation_ptr Find(const generation_id& id, time_point now) const;

  /** Releases expired generations. @return active ones without a reader for `orphan_limit`. */
  std::vector<generation_ptr> Sweep(time_point now, duration orphan_limit);

  std::vector<generation_summary> Summaries() const;

 private:
  const duration retention_;
  mutable std::mutex mutex_;
  std::map<generation_id, generation_ptr> generations_;
};

}  // namespace tarragon::fakes

#endif  // TARRAGON_FAKES_FAKE_ENDPOINT_GENERATION_STORE_H_
