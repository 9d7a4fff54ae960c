#ifndef TARRAGON_GATEWAY_VERSION_SERIALIZATION_H_
#define TARRAGON_GATEWAY_VERSION_SERIALIZATION_H_

#include "tarragon/routing/store_version.h"

namespace tarragon::routing {

template <class Archive>
void serialize(Archive& archive, store_version& version) {
  archive(version.era, version.number);
}

}  // namespace tarragon::routing

#endif  // TARRAGON_GATEWAY_VERSION_SERIALIZATION_H_
