#pragma once

/// Umbrella header of bronzedeal_connection.

#include "bronzedeal/connection/outlier_detector.hpp"
#include "bronzedeal/connection/peer_transport.hpp"
#include "bronzedeal/connection/server_limiter.hpp"
#include "bronzedeal/connection/server_pool.hpp"
#include "bronzedeal/connection/server_queue.hpp"
