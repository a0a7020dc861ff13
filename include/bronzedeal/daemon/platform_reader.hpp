#pragma once

#include "bronzedeal/process/config_distributor.hpp"
#include "bronzedeal/process/metrics.hpp"
#include "bronzedeal/types.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <functional>
#include <memory>
#include <string>

namespace bronzedeal::daemon {

/// Reads configuration documents and instance lists from the platform, at most
/// one of each at a time. Used on one strand, on which the handlers run.
class PlatformReader
{
public:
  using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;
  using ConfigHandler = std::function<void(const process::ServiceReadResult&)>;
  using ListHandler = std::function<void(const std::string&)>;

  /// The address of the platform's service, `ip:port`.
  PlatformReader(boost::asio::io_context& aContext,
                 Strand aStrand,
                 std::string aAddress,
                 process::Metrics& aMetrics);
  /// No handler is called afterwards.
  ~PlatformReader();
  PlatformReader(const PlatformReader&) = delete;
  PlatformReader& operator=(const PlatformReader&) = delete;

  /// Asks for a newer document. The answer to an earlier read is ignored.
  void ReadConfig(const process::ServiceRead& aRead, ConfigHandler aHandler);
  /// Ignores the answer to the read in progress.
  void CancelConfigRead() noexcept;

  /// False during a read of the list and for half a second after a failed one.
  [[nodiscard]] bool MayReadList(TimePoint aNow) const noexcept;
  /// Asks for a list newer than a revision; the handler gets its text, and is
  /// not called when there is none.
  void ReadList(RosterRevision aAfter,
                milliseconds aWait,
                ListHandler aHandler);

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace bronzedeal::daemon
