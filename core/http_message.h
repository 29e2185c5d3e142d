#pragma once

#include "core/buffer_budget.h"
#include "core/http_head.h"
#include "core/tcp_stream.h"

namespace cowslipline {

struct http_request
{
  request_head mHead;
  std::string mBody;
};

struct http_response
{
  response_head mHead;
  std::string mBody;
  /// Accounts for the bytes of the body.
  body_lease mLease{ 0 };
  /// False when the body's length was given by the end of the connection, or
  /// when the sender asked for the connection to be closed.
  bool mIsConnectionReusable = false;
};

/// Reads a head; the bytes are taken from the buffer. Errors: those of the
/// stream, errc::MessageMalformed, errc::TooLarge.
result<std::string>
ReadHeadBytes(tcp_stream& aStream,
              std::size_t aLimitBytes,
              steady_time aDeadline,
              yield_context aYield);

/// Reads the body that the framing announces, without trailers. Errors: as
/// above; errc::TooLarge when the lease does not let the body grow.
result<std::string>
ReadBody(tcp_stream& aStream,
         const body_framing& aFraming,
         body_lease& aLease,
         steady_time aDeadline,
         yield_context aYield);

/// Reads one final response; a few interim ones (1xx) are passed over.
result<http_response>
ReadResponse(tcp_stream& aStream,
             bool aIsHeadRequest,
             body_lease aLease,
             steady_time aDeadline,
             yield_context aYield);

/// "HTTP/1.1 503 Service Unavailable\r\n" and the header lines.
std::string
RenderResponseHead(int aStatus, const header_list& aHeaders);

std::string_view
ReasonPhrase(int aStatus);

} // namespace cowslipline
