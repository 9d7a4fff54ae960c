#include "tarragon/routing/engine_silence.h"

#include <algorithm>

#include "tarragon/base/invariant.h"
#include "tarragon/routing/sound_silence.h"

namespace tarragon::routing {

void engine_silence::OnStreamEnded() {
  TARRAGON_INVARIANT(running_streams_ > 0, "more streams have ended than have begun");
  --running_streams_;
}

void engine_silence::OnEvent(time_point now) {
  if (running_streams_ > 0 && now - last_event_at_ >= kShortestSilence) {
    silence_start_ = last_event_at_;
    silence_end_ = now;
  }
  last_event_at_ = now;
}

duration engine_silence::Within(time_point from, time_point to) const {
  const duration overlap = std::min(to, silence_end_) - std::max(from, silence_start_);
  return std::clamp<duration>(overlap, duration::zero(), kLongestSoundSilence);
}

}  // namespace tarragon::routing
