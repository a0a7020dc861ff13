#pragma once

/// All of the library of configuration documents and routing.

#include "bronzedeal/version/changes.hpp"     // IWYU pragma: export
#include "bronzedeal/version/document.hpp"    // IWYU pragma: export
#include "bronzedeal/version/explain.hpp"     // IWYU pragma: export
#include "bronzedeal/version/merge_patch.hpp" // IWYU pragma: export
#include "bronzedeal/version/selector.hpp"    // IWYU pragma: export
#include "bronzedeal/version/snapshot.hpp"    // IWYU pragma: export
#include "bronzedeal/version/work_ledger.hpp" // IWYU pragma: export
