#ifndef TARRAGON_HTTP_REASON_PHRASE_H_
#define TARRAGON_HTTP_REASON_PHRASE_H_

#include <string_view>

namespace tarragon::http {

/** @return the phrase that RFC 9110, 15 gives for the statuses in use; `Status` for others. */
std::string_view ReasonPhrase(int status);

}  // namespace tarragon::http

#endif  // TARRAGON_HTTP_REASON_PHRASE_H_
