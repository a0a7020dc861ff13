#pragma once

/// Umbrella header of the request library.

#include "bronzedeal/request/address_chooser.hpp"
#include "bronzedeal/request/admission.hpp"
#include "bronzedeal/request/attempt.hpp"
#include "bronzedeal/request/caller_request.hpp"
#include "bronzedeal/request/hedge_budget.hpp"
#include "bronzedeal/request/latency_digest.hpp"
#include "bronzedeal/request/quarantine.hpp"
#include "bronzedeal/request/query_run.hpp"
#include "bronzedeal/request/replica_chooser.hpp"
#include "bronzedeal/request/ticket_table.hpp"
