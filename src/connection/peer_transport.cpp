#include "bronzedeal/connection/peer_transport.hpp"

#include "bronzedeal/peer.grpc.pb.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <grpcpp/grpcpp.h>
#include <map>
#include <mutex>
#include <random>
#include <shared_mutex>
#include <thread>
#include <unordered_map>
#include <utility>

namespace bronzedeal::connection {

namespace {

using Clock = std::chrono::steady_clock;
using peer::Envelope;

/// Interval of the pings that detect dead connections without traffic.
/// Membership detects a lost instance far earlier, so the pings only serve to
/// free sockets; more of them would count against the control-plane budget of
/// 12 KB/s.
constexpr int kKeepAliveTimeMs = 30000;
/// Time after which a connection without a handshake or a stream closes. A peer
/// opens its stream at once and keeps it.
constexpr int kMaxSilenceMs = 3000;
/// Allows a configuration document of 1 MB to be sent without waiting for
/// window updates.
constexpr int kFlowControlWindowBytes = 1 << 21;

/// The `aIndex`-th number, from 0 up to 1, of a random sequence. SplitMix64
/// (Steele, Lea, Flood, OOPSLA 2014) finds it without computing the numbers
/// before it.
double UniformAt(std::uint64_t aSeed, std::uint64_t aIndex)
{
  auto n = aSeed + (aIndex + 1) * 0x9E3779B97F4A7C15ULL;
  n = (n ^ (n >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  n = (n ^ (n >> 27U)) * 0x94D049BB133111EBULL;
  n ^= n >> 31U;
  return static_cast<double>(n >> 11U) * 0x1.0p-53;
}

// The traffic counters are indexed by message kind. A kind that is added to the
// wire format without a larger array would be counted outside of it.
static_assert(kMessageKindCount == Envelope::kBundle + 1);

std::size_t KindOf(const Envelope& aEnvelope)
{
  return static_cast<std::size_t>(aEnvelope.body_case());
}

} // namespace

std::string_view MessageKindName(std::size_t aKind) noexcept
{
  const auto* field =
    aKind == 0
      ? nullptr
      : Envelope::descriptor()->FindFieldByNumber(static_cast<int>(aKind));
  return field && field->containing_oneof() ? field->name()
                                            : std::string_view();
}

bool IsRequestTraffic(std::size_t aKind) noexcept
{
  switch (aKind) {
    case Envelope::kSubRequestBatch:
    case Envelope::kSubResponse:
    case Envelope::kCancelSubRequest:
    case Envelope::kTicketForward:
    case Envelope::kTicketOutcome:
      return true;
    default:
      return false;
  }
}

class PeerTransport::Impl
{
public:
  explicit Impl(PeerTransportOptions aOptions)
    : mOptions(std::move(aOptions))
    , mRandom(mOptions.seed)
    , mTimerThread([this] { RunTimers(); })
    , mClientThread([this] { RunCompletionQueue(mClientQueue); })
  {
  }
  ~Impl() { Shutdown(); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  MessageHandler mMessageHandler;
  StreamBrokenHandler mStreamBrokenHandler;

  Result<unsigned> Listen(const std::string& aAddress)
  {
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(
      aAddress, grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&mService);
    builder.SetMaxReceiveMessageSize(
      static_cast<int>(mOptions.maxMessageBytes));
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_BDP_PROBE, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_STREAM_LOOKAHEAD_BYTES,
                               kFlowControlWindowBytes);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, kKeepAliveTimeMs);
    builder.AddChannelArgument(
      GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
      kKeepAliveTimeMs / 2);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
    builder.AddChannelArgument(GRPC_ARG_SERVER_HANDSHAKE_TIMEOUT_MS,
                               kMaxSilenceMs);
    builder.AddChannelArgument(GRPC_ARG_MAX_CONNECTION_IDLE_MS, kMaxSilenceMs);
    mServerQueue = builder.AddCompletionQueue();
    mServer = builder.BuildAndStart();
    if (mServer) {
      mServerThread =
        std::thread([this] { RunCompletionQueue(*mServerQueue); });
      (new ServerStream(*this))->Accept();
    }
    if (!mServer || port <= 0) {
      return boost::leaf::new_error(Error{
        ResultCode::IoError, "cannot listen for peers on " + aAddress, {} });
    }
    return static_cast<unsigned>(port);
  }

  void SetPeers(const std::map<InstanceId, std::string>& aPeers)
  {
    std::vector<LinkPtr> removed;
    {
      const std::unique_lock lock(mLinksMutex);
      for (auto it = mLinks.begin(); it != mLinks.end();) {
        const auto found = aPeers.find(it->first);
        if (found == aPeers.end() || found->second != it->second->address) {
          removed.push_back(it->second);
          it = mLinks.erase(it);
        } else {
          ++it;
        }
      }
      for (const auto& it : aPeers) {
        if (it.first != mOptions.self && !mLinks.contains(it.first)) {
          mLinks.emplace(it.first, std::make_shared<Link>(it.first, it.second));
        }
      }
    }
    for (const auto& it : removed) {
      CloseLink(*it);
    }
  }

  bool Send(const InstanceId& aPeer, Envelope&& aEnvelope)
  {
    const auto link = FindLink(aPeer);
    if (!link) {
      return false;
    }
    aEnvelope.set_sender(mOptions.self);
    aEnvelope.set_sender_incarnation(mOptions.incarnation);
    aEnvelope.set_receiver(aPeer);
    const std::lock_guard lock(link->mutex);
    const auto& fault = link->fault;
    if (fault.cut || fault.dropProbability > 0) {
      const auto n = link->faultIndex++;
      if (fault.cut || UniformAt(fault.seed, n) < fault.dropProbability) {
        ++link->traffic.messagesLostToFaults;
        return true;
      }
    }
    if (fault.delay > Duration::zero()) {
      RunAt(Clock::now() + fault.delay,
            [this,
             link,
             envelope = std::make_shared<Envelope>(std::move(aEnvelope))] {
              const std::lock_guard delayedLock(link->mutex);
              Enqueue(link, std::move(*envelope));
            });
      return true;
    }
    return Enqueue(link, std::move(aEnvelope));
  }

  void SetLinkFault(const InstanceId& aPeer, const LinkFault& aFault)
  {
    if (const auto link = FindLink(aPeer)) {
      const std::lock_guard lock(link->mutex);
      link->fault = aFault;
      link->faultIndex = 0;
    }
  }

  std::map<InstanceId, PeerTraffic> Traffic() const
  {
    std::map<InstanceId, PeerTraffic> traffic;
    const std::shared_lock lock(mLinksMutex);
    for (const auto& it : mLinks) {
      const std::lock_guard linkLock(it.second->mutex);
      auto& row = traffic.emplace(it.first, it.second->traffic).first->second;
      row.queuedMessages = it.second->queue.size();
      row.connected =
        std::any_of(it.second->streams.begin(),
                    it.second->streams.end(),
                    [](const Stream* aStream) { return aStream->established; });
    }
    return traffic;
  }

  void Shutdown()
  {
    {
      const std::lock_guard lock(mTimerMutex);
      if (mStopping) {
        return;
      }
      mStopping = true;
    }
    mTimerWake.notify_all();
    mTimerThread.join();
    SetPeers({});
    if (mServer) {
      mServer->Shutdown(std::chrono::system_clock::now());
    }
    {
      std::unique_lock lock(mStreamsMutex);
      mStreamsEnded.wait(lock, [this] { return mStreamCount == 0; });
    }
    mClientQueue.Shutdown();
    mClientThread.join();
    if (mServerQueue) {
      mServerQueue->Shutdown();
      if (mServerThread.joinable()) {
        mServerThread.join();
      }
      // A completion queue must be drained before it is destroyed. Without a
      // started server no thread does so.
      void* tag = nullptr;
      bool ok = false;
      while (mServerQueue->Next(&tag, &ok)) {
      }
    }
  }

private:
  struct Link;
  using LinkPtr = std::shared_ptr<Link>;

  /// An asynchronous gRPC operation of a stream; its address is the tag in the
  /// completion queue.
  struct CallOperation
  {
    std::function<void(bool aOk)> onDone;
  };

  /// One end of an `Exchange` call. Its operations complete on the single
  /// thread of its completion queue; writes are started with the link's mutex
  /// locked.
  struct Stream
  {
    virtual ~Stream() = default;
    Stream() = default;
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;

    /// Starts the write of `outgoing`. True `aMore` tells gRPC that another
    /// write follows, so that it may put both into one packet.
    virtual void Write(bool aMore) = 0;
    virtual void Cancel() = 0;

    /// The message that is being written.
    Envelope outgoing;
    bool writing = false;
    /// True when no further message may be written.
    bool closed = false;
    /// True once the other end has sent something.
    bool established = false;
  };

  struct QueuedMessage
  {
    Envelope envelope;
    std::size_t bytes = 0;
    TimePoint queuedAt;
  };

  /// The queue, the streams and the statistics of one peer.
  struct Link
  {
    Link(InstanceId aId, std::string aAddress)
      : id(std::move(aId))
      , address(std::move(aAddress))
    {
    }

    const InstanceId id;
    const std::string address;
    mutable std::mutex mutex;
    std::deque<QueuedMessage> queue;
    std::size_t queuedBytes = 0;
    /// Open streams, whichever end opened them; messages are written to the
    /// first one.
    std::vector<Stream*> streams;
    std::unique_ptr<peer::Peer::Stub> stub;
    /// True when the peer is no longer listed under this address.
    bool removed = false;
    Duration backoff{};
    /// No stream is opened before this time.
    TimePoint retryAt;
    bool retryScheduled = false;
    LinkFault fault;
    /// Position of the next message in the random sequence of `fault`.
    std::uint64_t faultIndex = 0;
    PeerTraffic traffic;
  };

  static grpc::WriteOptions MakeWriteOptions(bool aMore)
  {
    grpc::WriteOptions options;
    if (aMore) {
      options.set_buffer_hint();
    }
    return options;
  }

  class ClientStream final : public Stream
  {
  public:
    ClientStream(Impl& aImpl, LinkPtr aLink)
      : mImpl(aImpl)
      , mLink(std::move(aLink))
    {
      mImpl.ChangeStreamCount(1);
      mStart.onDone = [this](bool aOk) { OnStart(aOk); };
      mMetadata.onDone = [this](bool aOk) { OnMetadata(aOk); };
      mRead.onDone = [this](bool aOk) { OnRead(aOk); };
      mWrite.onDone = [this](bool aOk) { OnWrite(aOk); };
      mFinish.onDone = [this](bool) { OnFinish(); };
    }

    /// Starts the call; its first message is `Hello`. The caller has locked the
    /// link's mutex.
    void Start()
    {
      outgoing.set_sender(mImpl.mOptions.self);
      outgoing.set_sender_incarnation(mImpl.mOptions.incarnation);
      outgoing.set_receiver(mLink->id);
      outgoing.mutable_hello();
      writing = true;
      mCall = mLink->stub->PrepareAsyncExchange(&mContext, &mImpl.mClientQueue);
      mCall->StartCall(&mStart);
    }
    void Write(bool aMore) override
    {
      mCall->Write(outgoing, MakeWriteOptions(aMore), &mWrite);
    }
    void Cancel() override { mContext.TryCancel(); }

  private:
    void OnStart(bool aOk)
    {
      if (!aOk) {
        mReadEnded = true;
        mMetadataEnded = true;
        OnWrite(false);
        return;
      }
      mCall->ReadInitialMetadata(&mMetadata);
      mCall->Read(&mIncoming, &mRead);
      Write(false);
    }
    void OnMetadata(bool aOk)
    {
      {
        const std::lock_guard lock(mLink->mutex);
        established = aOk;
        if (aOk) {
          mLink->backoff = Duration::zero();
        }
      }
      mMetadataEnded = true;
      FinishWhenIdle();
    }
    void OnRead(bool aOk)
    {
      if (aOk) {
        mImpl.OnReceived(mLink.get(), std::move(mIncoming));
        mCall->Read(&mIncoming, &mRead);
        return;
      }
      mReadEnded = true;
      FinishWhenIdle();
    }
    void OnWrite(bool aOk)
    {
      mImpl.OnWritten(mLink, *this, aOk);
      FinishWhenIdle();
    }
    /// Ends the call once its reads have ended and no other operation is in
    /// progress.
    void FinishWhenIdle()
    {
      if (!mReadEnded) {
        return;
      }
      {
        const std::lock_guard lock(mLink->mutex);
        RemoveFromLink(*mLink, *this);
        if (writing) {
          return;
        }
      }
      if (mMetadataEnded) {
        mCall->Finish(&mStatus, &mFinish);
      }
    }
    void OnFinish()
    {
      mImpl.OnStreamEnded(mLink, established);
      auto& impl = mImpl;
      delete this;
      impl.ChangeStreamCount(-1);
    }

    Impl& mImpl;
    LinkPtr mLink;
    grpc::ClientContext mContext;
    std::unique_ptr<grpc::ClientAsyncReaderWriter<Envelope, Envelope>> mCall;
    grpc::Status mStatus;
    Envelope mIncoming;
    CallOperation mStart;
    CallOperation mMetadata;
    CallOperation mRead;
    CallOperation mWrite;
    CallOperation mFinish;
    bool mReadEnded = false;
    bool mMetadataEnded = false;
  };

  class ServerStream final : public Stream
  {
  public:
    explicit ServerStream(Impl& aImpl)
      : mImpl(aImpl)
      , mCall(&mContext)
    {
      mImpl.ChangeStreamCount(1);
      mStart.onDone = [this](bool aOk) { OnStart(aOk); };
      mMetadata.onDone = [this](bool) { OnMetadata(); };
      mRead.onDone = [this](bool aOk) { OnRead(aOk); };
      mWrite.onDone = [this](bool aOk) { OnWrite(aOk); };
      mFinish.onDone = [this](bool) { OnFinish(); };
    }

    void Accept()
    {
      auto* queue = mImpl.mServerQueue.get();
      mImpl.mService.RequestExchange(&mContext, &mCall, queue, queue, &mStart);
    }
    void Write(bool aMore) override
    {
      mCall.Write(outgoing, MakeWriteOptions(aMore), &mWrite);
    }
    void Cancel() override { mContext.TryCancel(); }

  private:
    void OnStart(bool aOk)
    {
      if (!aOk) {
        // The server is shutting down.
        OnFinish();
        return;
      }
      (new ServerStream(mImpl))->Accept();
      mCall.SendInitialMetadata(&mMetadata);
      mCall.Read(&mIncoming, &mRead);
    }
    void OnMetadata()
    {
      mMetadataEnded = true;
      FinishWhenIdle();
    }
    void OnRead(bool aOk)
    {
      if (!aOk) {
        mReadEnded = true;
        FinishWhenIdle();
        return;
      }
      if (!mLink) {
        mLink = mImpl.AttachIncoming(mIncoming.sender(), *this);
      }
      mImpl.OnReceived(mLink.get(), std::move(mIncoming));
      mCall.Read(&mIncoming, &mRead);
    }
    void OnWrite(bool aOk)
    {
      mImpl.OnWritten(mLink, *this, aOk);
      FinishWhenIdle();
    }
    void FinishWhenIdle()
    {
      if (!mReadEnded) {
        return;
      }
      if (mLink) {
        const std::lock_guard lock(mLink->mutex);
        RemoveFromLink(*mLink, *this);
        if (writing) {
          return;
        }
      }
      if (mMetadataEnded) {
        mCall.Finish(grpc::Status::OK, &mFinish);
      }
    }
    void OnFinish()
    {
      if (mLink) {
        mImpl.OnStreamEnded(mLink, true);
      }
      auto& impl = mImpl;
      delete this;
      impl.ChangeStreamCount(-1);
    }

    Impl& mImpl;
    grpc::ServerContext mContext;
    grpc::ServerAsyncReaderWriter<Envelope, Envelope> mCall;
    LinkPtr mLink;
    Envelope mIncoming;
    CallOperation mStart;
    CallOperation mMetadata;
    CallOperation mRead;
    CallOperation mWrite;
    CallOperation mFinish;
    bool mReadEnded = false;
    bool mMetadataEnded = false;
  };

  /// Runs the completions of one queue's operations until it is shut down. With
  /// a single thread for each queue, a message wakes only one thread.
  static void RunCompletionQueue(grpc::CompletionQueue& aQueue)
  {
    void* tag = nullptr;
    bool ok = false;
    while (aQueue.Next(&tag, &ok)) {
      static_cast<CallOperation*>(tag)->onDone(ok);
    }
  }

  LinkPtr FindLink(const InstanceId& aPeer) const
  {
    const std::shared_lock lock(mLinksMutex);
    const auto it = mLinks.find(aPeer);
    return it == mLinks.end() ? nullptr : it->second;
  }

  void ChangeStreamCount(int aChange)
  {
    const std::lock_guard lock(mStreamsMutex);
    mStreamCount += aChange;
    if (mStreamCount == 0) {
      mStreamsEnded.notify_all();
    }
  }

  /// Drops the queue of a link that was removed from `mLinks` and cancels its
  /// streams.
  void CloseLink(Link& aLink)
  {
    const std::lock_guard lock(aLink.mutex);
    aLink.removed = true;
    aLink.queue.clear();
    aLink.queuedBytes = 0;
    for (auto* it : aLink.streams) {
      it->closed = true;
      it->Cancel();
    }
  }

  /// Adds an incoming stream to the link of its sender. Null when the sender is
  /// not listed.
  LinkPtr AttachIncoming(const InstanceId& aSender, Stream& aStream)
  {
    auto link = FindLink(aSender);
    if (link) {
      const std::lock_guard lock(link->mutex);
      aStream.established = true;
      if (link->removed) {
        return nullptr;
      }
      link->streams.push_back(&aStream);
      WriteNext(link);
    }
    return link;
  }

  /// Counts a message and passes it to the message handler. `aLink` is null for
  /// a sender that is not listed.
  void OnReceived(Link* aLink, Envelope&& aEnvelope)
  {
    if (aEnvelope.receiver() != mOptions.self) {
      // The message is for another instance that used this address before.
      return;
    }
    const auto kind = KindOf(aEnvelope);
    if (aLink && kind < kMessageKindCount) {
      const auto bytes = aEnvelope.ByteSizeLong();
      const std::lock_guard lock(aLink->mutex);
      ++aLink->traffic.received[kind].messages;
      aLink->traffic.received[kind].bytes += bytes;
    }
    if (kind != Envelope::kHello && mMessageHandler) {
      mMessageHandler(std::move(aEnvelope));
    }
  }

  // --- the caller has locked the link's mutex ---

  /// False when the message was dropped.
  bool Enqueue(const LinkPtr& aLink, Envelope&& aEnvelope)
  {
    auto& link = *aLink;
    const auto bytes = aEnvelope.ByteSizeLong();
    const auto full = [&] {
      return link.queue.size() >= mOptions.maxQueuedMessages ||
             link.queuedBytes + bytes > mOptions.maxQueuedBytes;
    };
    while (full()) {
      const auto gossip = std::find_if(
        link.queue.begin(), link.queue.end(), [](const QueuedMessage& aQueued) {
          return aQueued.envelope.has_gossip();
        });
      if (gossip == link.queue.end()) {
        break;
      }
      link.queuedBytes -= gossip->bytes;
      link.queue.erase(gossip);
      ++link.traffic.droppedMessages;
    }
    if (link.removed || full()) {
      ++link.traffic.droppedMessages;
      return false;
    }
    link.queue.push_back({ std::move(aEnvelope), bytes, Clock::now() });
    link.queuedBytes += bytes;
    WriteNext(aLink);
    return true;
  }

  /// Starts the write of the next message unless one is in progress; opens a
  /// stream when there is none.
  void WriteNext(const LinkPtr& aLink)
  {
    auto& link = *aLink;
    if (link.queue.empty() || link.removed) {
      return;
    }
    if (link.streams.empty()) {
      OpenStream(aLink);
      return;
    }
    auto& stream = *link.streams.front();
    if (stream.writing || stream.closed) {
      return;
    }
    const auto oldest = Clock::now() - mOptions.maxQueueAge;
    while (!link.queue.empty()) {
      auto next = std::move(link.queue.front());
      link.queue.pop_front();
      link.queuedBytes -= next.bytes;
      if (next.queuedAt < oldest) {
        ++link.traffic.droppedMessages;
        continue;
      }
      auto& count = link.traffic.sent[KindOf(next.envelope)];
      ++count.messages;
      count.bytes += next.bytes;
      stream.outgoing = std::move(next.envelope);
      stream.writing = true;
      stream.Write(!link.queue.empty());
      return;
    }
  }

  /// Opens a stream to the peer, now or after the back-off.
  void OpenStream(const LinkPtr& aLink)
  {
    auto& link = *aLink;
    if (Clock::now() < link.retryAt) {
      if (!link.retryScheduled) {
        link.retryScheduled = true;
        RunAt(link.retryAt, [this, aLink] {
          const std::lock_guard lock(aLink->mutex);
          aLink->retryScheduled = false;
          WriteNext(aLink);
        });
      }
      return;
    }
    if (!link.stub) {
      grpc::ChannelArguments arguments;
      // Peers are reached directly, whatever proxy the environment names.
      arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
      arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
      arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS,
                       Milliseconds(mOptions.initialBackoff));
      arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 1000);
      arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS,
                       Milliseconds(mOptions.maxBackoff));
      arguments.SetInt(GRPC_ARG_HTTP2_BDP_PROBE, 0);
      arguments.SetInt(GRPC_ARG_HTTP2_STREAM_LOOKAHEAD_BYTES,
                       kFlowControlWindowBytes);
      arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, kKeepAliveTimeMs);
      arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
      arguments.SetMaxReceiveMessageSize(
        static_cast<int>(mOptions.maxMessageBytes));
      link.stub = peer::Peer::NewStub(grpc::CreateCustomChannel(
        link.address, grpc::InsecureChannelCredentials(), arguments));
    }
    auto* stream = new ClientStream(*this, aLink);
    link.streams.push_back(stream);
    stream->Start();
  }

  static int Milliseconds(Duration aDuration)
  {
    return static_cast<int>(
      std::chrono::duration_cast<milliseconds>(aDuration).count());
  }

  static void RemoveFromLink(Link& aLink, Stream& aStream)
  {
    aStream.closed = true;
    std::erase(aLink.streams, &aStream);
  }

  // --- completed operations ---

  /// Ends a write and starts the next one.
  void OnWritten(const LinkPtr& aLink, Stream& aStream, bool aOk)
  {
    const std::lock_guard lock(aLink->mutex);
    aStream.writing = false;
    aStream.closed = aStream.closed || !aOk;
    if (!aStream.closed) {
      WriteNext(aLink);
    }
  }

  /// Reconnects after the end of a stream and reports it when the stream was
  /// established.
  void OnStreamEnded(const LinkPtr& aLink, bool aEstablished)
  {
    {
      const std::lock_guard lock(aLink->mutex);
      if (aLink->removed) {
        return;
      }
      if (aLink->streams.empty()) {
        aLink->backoff =
          std::clamp(2 * aLink->backoff,
                     mOptions.initialBackoff,
                     std::max(mOptions.initialBackoff, mOptions.maxBackoff));
        aLink->retryAt = Clock::now() + Jittered(aLink->backoff);
      }
      WriteNext(aLink);
      if (!aEstablished) {
        return;
      }
      ++aLink->traffic.brokenStreams;
    }
    if (mStreamBrokenHandler) {
      mStreamBrokenHandler(aLink->id);
    }
  }

  Duration Jittered(Duration aDuration)
  {
    const std::lock_guard lock(mRandomMutex);
    const auto factor = std::uniform_real_distribution<>(0.5, 1.0)(mRandom);
    return std::chrono::duration_cast<Duration>(aDuration * factor);
  }

  // --- timers ---

  void RunAt(TimePoint aTime, std::function<void()> aCall)
  {
    {
      const std::lock_guard lock(mTimerMutex);
      mTimers.emplace(aTime, std::move(aCall));
    }
    mTimerWake.notify_all();
  }

  void RunTimers()
  {
    std::unique_lock lock(mTimerMutex);
    while (!mStopping) {
      if (mTimers.empty()) {
        mTimerWake.wait(lock);
        continue;
      }
      const auto first = mTimers.begin();
      const auto time = first->first;
      if (time > Clock::now()) {
        mTimerWake.wait_until(lock, time);
        continue;
      }
      const auto call = std::move(first->second);
      mTimers.erase(first);
      lock.unlock();
      call();
      lock.lock();
    }
  }

  const PeerTransportOptions mOptions;
  peer::Peer::AsyncService mService;
  std::unique_ptr<grpc::ServerCompletionQueue> mServerQueue;
  std::unique_ptr<grpc::Server> mServer;
  grpc::CompletionQueue mClientQueue;

  mutable std::shared_mutex mLinksMutex;
  std::unordered_map<InstanceId, LinkPtr> mLinks;

  std::mutex mStreamsMutex;
  std::condition_variable mStreamsEnded;
  int mStreamCount = 0;

  std::mutex mRandomMutex;
  std::minstd_rand mRandom;

  std::mutex mTimerMutex;
  std::condition_variable mTimerWake;
  std::multimap<TimePoint, std::function<void()>> mTimers;
  bool mStopping = false;
  std::thread mTimerThread;
  std::thread mClientThread;
  std::thread mServerThread;
};

PeerTransport::PeerTransport(PeerTransportOptions aOptions)
  : mImpl(std::make_unique<Impl>(std::move(aOptions)))
{
}

PeerTransport::~PeerTransport() = default;

void PeerTransport::SetMessageHandler(MessageHandler aHandler)
{
  mImpl->mMessageHandler = std::move(aHandler);
}

void PeerTransport::SetStreamBrokenHandler(StreamBrokenHandler aHandler)
{
  mImpl->mStreamBrokenHandler = std::move(aHandler);
}

Result<unsigned> PeerTransport::Listen(const std::string& aAddress)
{
  return mImpl->Listen(aAddress);
}

void PeerTransport::SetPeers(const std::map<InstanceId, std::string>& aPeers)
{
  mImpl->SetPeers(aPeers);
}

bool PeerTransport::Send(const InstanceId& aPeer, peer::Envelope&& aEnvelope)
{
  return mImpl->Send(aPeer, std::move(aEnvelope));
}

bool PeerTransport::Send(const InstanceId& aPeer,
                         const peer::Envelope& aEnvelope)
{
  return mImpl->Send(aPeer, peer::Envelope(aEnvelope));
}

void PeerTransport::SetLinkFault(const InstanceId& aPeer,
                                 const LinkFault& aFault)
{
  mImpl->SetLinkFault(aPeer, aFault);
}

std::map<InstanceId, PeerTraffic> PeerTransport::Traffic() const
{
  return mImpl->Traffic();
}

void PeerTransport::Shutdown()
{
  mImpl->Shutdown();
}

} // namespace bronzedeal::connection
