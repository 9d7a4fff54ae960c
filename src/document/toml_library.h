#ifndef TARRAGON_SRC_DOCUMENT_TOML_LIBRARY_H_
#define TARRAGON_SRC_DOCUMENT_TOML_LIBRARY_H_

// This library includes toml++ only through this header, so that all its files use the same
// configuration: parse errors are returned instead of thrown.
#define TOML_EXCEPTIONS 0
#define TOML_ENABLE_FORMATTERS 0
#include <toml++/toml.h>

#endif  // TARRAGON_SRC_DOCUMENT_TOML_LIBRARY_H_
