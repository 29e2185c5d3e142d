#pragma once

#include "edge.h"
#include "target.h"

#include <fstream>

namespace review {

/// What a case is given.
struct setting
{
  std::string mFolder;  ///< Of the case; record.txt is written there.
  std::string mScratch; ///< Temporary.
  bool mHasTrouble = true;
};

enum exit_code
{
  Held = 0,
  Broken = 1,
  CannotRun = 2,
};

/// record.txt: what was sent, answered and run.
class record
{
public:
  explicit record(const setting& aSetting);
  void Line(const std::string& aText);

private:
  std::mutex mMutex;
  std::ofstream mFile;
};

struct route
{
  std::string mName;
  std::string mHost;
  std::string mPrefix;
  std::string mService;
  bool mIsIdempotent = true;
  double mTimeout = 10;
  double mObjective = 5;
  bool mIsPublic = false;
};

struct tenant
{
  std::string mName;
  std::vector<std::string> mKeys;
  double mRate = 0;
  double mBurst = 0;
};

/// The document of op/config.
std::string
Configuration(int aVersion,
              const std::vector<route>& aRoutes,
              const std::vector<tenant>& aTenants);

/// As Configuration(), with further routes up to aBytes.
std::string
LongConfiguration(int aVersion,
                  std::vector<route> aRoutes,
                  const std::vector<tenant>& aTenants,
                  std::size_t aBytes);

struct request
{
  std::string mMethod = "GET";
  std::string mHost;
  std::string mPath;
  std::string mKey;
  std::string mBody;
  int mDeadlineMs = 10'000;
};

/// A request as it goes over the wire, and its id.
std::string
Render(const request& aRequest, const std::string& aId);

/// A new Attempt-Id.
std::string
NewId();

struct exchange
{
  std::string mId;
  double mSentAt = 0;
  double mAnsweredAt = 0;
  int mStatus = 0; ///< 0: no answer.
  std::string mReason;
  bool mIsLeaving = false; ///< The answer had Server-Leaving.
};

/// A client that keeps its connection open for many requests.
class client
{
public:
  explicit client(const edge& aEdge)
    : mEdge(aEdge)
  {
  }
  exchange Ask(const request& aRequest);

private:
  const edge& mEdge;
  std::unique_ptr<connection> mConnection;
};

int
StalePages(const setting& aSetting);
int
LeavingTarget(const setting& aSetting);
int
SlowReaders(const setting& aSetting);
int
LongChanges(const setting& aSetting);
int
ForeignEntry(const setting& aSetting);

} // namespace review
