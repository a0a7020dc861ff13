#pragma once

#include <boost/json/object.hpp>
#include <memory>

namespace bronzedeal::standin {

/// Hosts many backend servers in one process. Settings:
/// `{"mode": "backends", "control": "127.0.0.1:0", "threads": 3, "seed": 1,
///   "history": "FILE", "defaults": {options}, "servers": [{options}]}`;
/// the options are those of `ApplyOptions`. Control by HTTP:
/// - `POST /control/server`: `{"servers": [ids]}` or `{"failure_domain": ".."}`
///   or neither for all, `"state"`: `ok`, `slow`, `cold` (silently),
///   `draining`, `down`, and any options to change;
/// - `GET /control/servers`: state, running requests and allowance of each.
class Backends
{
public:
  /// Opens all listeners. Throws std::exception on bad settings or addresses.
  explicit Backends(const boost::json::object& aSettings);
  Backends(const Backends&) = delete;
  Backends& operator=(const Backends&) = delete;
  ~Backends();

  /// The fields of the `listening` line: `http` and `servers`.
  [[nodiscard]] boost::json::object Addresses() const;
  /// Runs until SIGTERM or SIGINT, then completes the history.
  void Run();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace bronzedeal::standin
