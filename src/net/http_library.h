#ifndef TARRAGON_SRC_NET_HTTP_LIBRARY_H_
#define TARRAGON_SRC_NET_HTTP_LIBRARY_H_

// The packaged library is built with OpenSSL support, which changes the layout of its classes.
#ifndef CPPHTTPLIB_OPENSSL_SUPPORT
#define CPPHTTPLIB_OPENSSL_SUPPORT
#endif
#include <httplib.h>

#endif  // TARRAGON_SRC_NET_HTTP_LIBRARY_H_
