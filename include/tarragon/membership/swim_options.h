#ifndef TARRAGON_MEMBERSHIP_SWIM_OPTIONS_H_
#define TARRAGON_MEMBERSHIP_SWIM_OPTIONS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "tarragon/wire/member_record.h"

namespace tarragon::membership {

struct swim_options {
  std::string name;
  wire::peer_address gossip;
  std::uint16_t document_port = 0;
  /** Wall-clock milliseconds at the start of the process. */
  std::uint64_t incarnation = 0;
  /** Addresses of members to contact as long as no live member is known at them. */
  std::vector<wire::peer_address> seeds;
  /** Key that authenticates datagrams; the same on all members. */
  std::string key;

  std::chrono::milliseconds period{1000};
  /** Timeout of a direct probe. Indirect probes by other members use the rest of the period. */
  std::chrono::milliseconds ack_timeout{400};
  int indirect_probes = 3;
  /** Minimum suspicion timeout in periods per log10(member count). */
  double suspicion_factor = 5;
  /** Ratio of the suspicion timeout without any confirmation to the minimum one (Lifeguard). */
  double max_suspicion_ratio = 6;
  /** Confirmations of a suspicion that reduce its timeout to the minimum. */
  int target_confirmations = 3;
  int max_local_health = 8;
  /** Number of sends of one update per log10(member count + 1). */
  int retransmit_factor = 4;
  /** Number of members to which each round announces a new document version. */
  int announce_fanout = 3;
  /** Interval between probes of a dead member or seed, which merge the halves of a partition. */
  int rejoin_interval_periods = 5;
  /** Dead members are removed after this time; longer than any expected partition of regions. */
  std::chrono::minutes dead_member_retention{30};
};

}  // namespace tarragon::membership

#endif  // TARRAGON_MEMBERSHIP_SWIM_OPTIONS_H_
