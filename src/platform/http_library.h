#ifndef TARRAGON_SRC_PLATFORM_HTTP_LIBRARY_H_
#define TARRAGON_SRC_PLATFORM_HTTP_LIBRARY_H_

// The shared library is built with these features. The layout of its classes depends on them, so
// every file that includes httplib.h has to define the same ones.
#ifndef CPPHTTPLIB_OPENSSL_SUPPORT
#define CPPHTTPLIB_OPENSSL_SUPPORT
#endif
#ifndef CPPHTTPLIB_ZLIB_SUPPORT
#define CPPHTTPLIB_ZLIB_SUPPORT
#endif
#ifndef CPPHTTPLIB_BROTLI_SUPPORT
#define CPPHTTPLIB_BROTLI_SUPPORT
#endif
#include <httplib.h>

#endif  // TARRAGON_SRC_PLATFORM_HTTP_LIBRARY_H_
