#pragma once

#include <boost/json/object.hpp>
#include <memory>

namespace bronzedeal::standin {

/// Stands for the configuration service and the instance list. Settings:
/// `{"mode": "platform", "http": "127.0.0.1:0", "history": "FILE"}`. Serves the
/// platform paths of the design page; control by HTTP:
/// - `PUT /control/config`: the document, kept as it is; with
/// `?expect=rejected`
///   in the target the history marks it as one that instances must refuse;
/// - `PUT /control/instances`: the instance list, with its revision;
/// - `POST /control/fault`: `{"down", "stale_versions", "delay_ms",
///   "list_lag_ms"}`; fields left out keep their value;
/// - `POST /control/note`: any object, written to the history with its time;
/// - `GET /control/reads`: calls and bytes answered so far.
class Platform
{
public:
  /// Opens the listener. Throws std::exception on bad settings or addresses.
  explicit Platform(const boost::json::object& aSettings);
  Platform(const Platform&) = delete;
  Platform& operator=(const Platform&) = delete;
  ~Platform();

  /// The fields of the `listening` line: `http`.
  [[nodiscard]] boost::json::object Addresses() const;
  /// Runs until SIGTERM or SIGINT, then completes the history.
  void Run();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace bronzedeal::standin
